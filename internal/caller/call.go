package caller

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// requestHeaders are the headers of a caller's request that are forwarded to a
// service. The caller's token is not among them.
var requestHeaders = []string{
	"Accept", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type",
	"If-Match", "If-None-Match", "Traceparent", "Tracestate",
}

// responseHeaders are the headers of a service's answer that are forwarded to
// the caller.
var responseHeaders = []string{
	"Cache-Control", "Content-Encoding", "Content-Language", "Content-Type",
	"Etag", "Last-Modified", "Location", "Retry-After",
}

// maxStatus is the highest status that HTTP defines.
const maxStatus = 599

// ServiceOperation returns the operation of a service's calls that name none.
func ServiceOperation(service string) string {
	return "service:" + service
}

// call serves a call of a plain service.
func (h *handler) call(c *echo.Context) error {
	r := c.Request()
	request, err := h.newRequest(r, ServiceOperation(c.Param("service")))
	if err != nil {
		return err
	}
	c.Response().Header().Set(HeaderKey, request.Scope.Key)
	service, found := h.services[c.Param("service")]
	if !found {
		return refuse(oriolebend.ReasonUnknownService, "no service of this name is set")
	}
	path, err := servicePathOf(r.URL)
	if err != nil {
		return err
	}
	body, err := h.readBody(c)
	if err != nil {
		return err
	}
	h.fillCall(&request, r, service, path)
	request.Call.Body = body
	request.Fingerprint = h.Fingerprint(request)
	return h.answerCall(c, request)
}

// fillCall sets the call in the request. A call that the settings do not name
// may run at most once: repeating a payment is worse than not repeating a query.
func (h *handler) fillCall(request *entry.Request, r *http.Request, service settings.ServiceRoute, path servicePath) {
	route := matchRoute(service.Calls, r.Method, path.Decoded)
	request.Service = service.Name
	request.Once = !route.Repeatable
	request.StatusPath = route.StatusPath
	if r.Header.Get(HeaderUrgency) == "" && route.Urgency != "" {
		request.Urgency = route.Urgency
	}
	request.Call = &message.Call{
		Method:   r.Method,
		Path:     path.Target,
		Header:   selectHeaders(requestHeaders, r.Header.Get),
		Identity: IdentityOf(request.Scope),
	}
}

// matchRoute returns the route with the longest path prefix that covers a call,
// or the zero value.
func matchRoute(routes []settings.CallRoute, method, path string) settings.CallRoute {
	var best settings.CallRoute
	for _, route := range routes {
		methodFits := route.Method == "" || route.Method == method
		if methodFits && covers(route.Path, path) && len(route.Path) >= len(best.Path) {
			best = route
		}
	}
	return best
}

// covers reports whether a path is the prefix itself or lies below it.
func covers(prefix, path string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

// servicePath is the part of a call's path after the service's name.
type servicePath struct {
	// Decoded is the unescaped path that is matched against the settings.
	Decoded string
	// Target is the path and query that are sent to the service, escaped as in the
	// caller's request.
	Target string
}

// servicePathOf returns the path of a call. It refuses paths that a service might
// read as a path other than the one that is matched against the settings: a call
// that may not be repeated could otherwise pass for a call that may.
func servicePathOf(u *url.URL) (servicePath, error) {
	const prefixParts = 3 // "", "services" and the name
	parts := strings.Split(u.EscapedPath(), "/")
	segments := parts[min(prefixParts, len(parts)):]
	for i, segment := range segments {
		last := i == len(segments)-1
		if !unambiguousSegment(segment) && !(last && segment == "") {
			return servicePath{}, refuse(oriolebend.ReasonMalformed,
				"the path holds an empty or dot segment, an escaped slash or a control character")
		}
	}
	escaped := "/" + strings.Join(segments, "/")
	decoded, err := url.PathUnescape(escaped)
	if err != nil {
		return servicePath{}, refuse(oriolebend.ReasonMalformed, "the path can't be read")
	}
	if strings.ContainsFunc(u.RawQuery, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return servicePath{}, refuse(oriolebend.ReasonMalformed, "the query holds a space or a control character")
	}
	path := servicePath{Decoded: decoded, Target: escaped}
	if u.RawQuery != "" {
		path.Target += "?" + u.RawQuery
	}
	return path, nil
}

// unambiguousSegment reports whether all services read a path segment in the same way.
func unambiguousSegment(escaped string) bool {
	segment, err := url.PathUnescape(escaped)
	if err != nil || segment == "" || segment == "." || segment == ".." {
		return false
	}
	return !strings.ContainsFunc(segment, func(r rune) bool {
		return r == '/' || r == '\\' || r == ';' || r < ' ' || r == 0x7f
	})
}

// selectHeaders returns the named headers that have a value.
func selectHeaders(names []string, value func(string) string) map[string]string {
	selected := map[string]string{}
	for _, name := range names {
		if v := value(name); v != "" {
			selected[name] = v
		}
	}
	return selected
}

// answerCall submits a call and forwards its answer to the caller.
func (h *handler) answerCall(c *echo.Context, r entry.Request) error {
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	out := &output{chunks: h.Router.Submit(ctx, r), requestID: r.ID}
	next, err := out.next(ctx)
	out.setHeaders(c.Response().Header())
	if err != nil {
		return err
	}
	if next.Call == nil {
		return out.problem(oriolebend.ReasonInternal, "a model's output where a service's answer was due")
	}
	return h.writeCall(c, next.Call)
}

func (h *handler) writeCall(c *echo.Context, a *message.CallAnswer) error {
	if a.Status < http.StatusOK || a.Status > maxStatus {
		return &oriolebend.Problem{
			Reason: oriolebend.ReasonInternal,
			Ran:    oriolebend.RanYes,
			Detail: "the service answered with a status that can't be passed on",
		}
	}
	header := c.Response().Header()
	for name, value := range a.Header {
		canonical := http.CanonicalHeaderKey(name)
		if slices.Contains(responseHeaders, canonical) {
			header.Set(canonical, value)
		}
	}
	h.extendWriteDeadline(c)
	c.Response().WriteHeader(a.Status)
	_, err := c.Response().Write(a.Body)
	return err
}
