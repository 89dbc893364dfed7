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

// requestHeaders are the caller's headers that a service sees. The caller's
// token is not among them.
var requestHeaders = []string{
	"Accept", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type",
	"If-Match", "If-None-Match", "Traceparent", "Tracestate",
}

// responseHeaders are the service's headers that a caller sees.
var responseHeaders = []string{
	"Cache-Control", "Content-Encoding", "Content-Language", "Content-Type",
	"Etag", "Last-Modified", "Location", "Retry-After",
}

// maxStatus is the highest status that HTTP defines.
const maxStatus = 599

// ServiceOperation returns the operation of calls that name none.
func ServiceOperation(service string) string {
	return "service:" + service
}

// call takes a call of a plain service from its headers to its answer.
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

// fillCall puts the call into the request. A call that the settings do not
// name may run at most once: to repeat a payment is worse than not to repeat
// a query.
func (h *handler) fillCall(request *entry.Request, r *http.Request, service settings.ServiceRoute, path servicePath) {
	route := matchRoute(service.Calls, r.Method, path.Plain)
	request.Service = service.Name
	request.Once = !route.Repeatable
	request.StatusPath = route.StatusPath
	if r.Header.Get(HeaderUrgency) == "" && route.Urgency != "" {
		request.Urgency = route.Urgency
	}
	request.Call = &message.Call{
		Method:   r.Method,
		Path:     path.Sent,
		Header:   pick(requestHeaders, r.Header.Get),
		Identity: IdentityOf(request.Scope),
	}
}

// matchRoute returns the settings of the longest path prefix that covers a
// call.
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

// covers reports whether a path is the prefix itself or stands below it.
func covers(prefix, path string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

// servicePath is the path of a call behind the service's name.
type servicePath struct {
	// Plain is the path that the settings are matched against.
	Plain string
	// Sent is the path and query to ask of the service, escaped as the caller
	// had it.
	Sent string
}

// servicePathOf refuses paths that a service might read as another path than
// the one that the settings are matched against: a call that may not be
// repeated could otherwise pass as one that may.
func servicePathOf(u *url.URL) (servicePath, error) {
	const partsBefore = 3 // "", "services" and the name
	parts := strings.Split(u.EscapedPath(), "/")
	segments := parts[min(partsBefore, len(parts)):]
	for i, segment := range segments {
		last := i == len(segments)-1
		if !plainSegment(segment) && !(last && segment == "") {
			return servicePath{}, refuse(oriolebend.ReasonMalformed,
				"the path holds an empty or dot segment, an escaped slash or a control character")
		}
	}
	escaped := "/" + strings.Join(segments, "/")
	plain, err := url.PathUnescape(escaped)
	if err != nil {
		return servicePath{}, refuse(oriolebend.ReasonMalformed, "the path can't be read")
	}
	if strings.ContainsFunc(u.RawQuery, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return servicePath{}, refuse(oriolebend.ReasonMalformed, "the query holds a space or a control character")
	}
	path := servicePath{Plain: plain, Sent: escaped}
	if u.RawQuery != "" {
		path.Sent += "?" + u.RawQuery
	}
	return path, nil
}

func plainSegment(escaped string) bool {
	segment, err := url.PathUnescape(escaped)
	if err != nil || segment == "" || segment == "." || segment == ".." {
		return false
	}
	return !strings.ContainsFunc(segment, func(r rune) bool {
		return r == '/' || r == '\\' || r == ';' || r < ' ' || r == 0x7f
	})
}

func pick(names []string, value func(string) string) map[string]string {
	picked := map[string]string{}
	for _, name := range names {
		if v := value(name); v != "" {
			picked[name] = v
		}
	}
	return picked
}

// answerCall submits a call and passes its answer on.
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
	h.extendWrite(c)
	c.Response().WriteHeader(a.Status)
	_, err := c.Response().Write(a.Body)
	return err
}
