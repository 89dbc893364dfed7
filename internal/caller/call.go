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

// call takes a call of a plain service from its headers to its answer.
func (h *handler) call(c *echo.Context) error {
	r := c.Request()
	request, err := h.newRequest(r, "service:"+c.Param("service"))
	if err != nil {
		return err
	}
	c.Response().Header().Set(HeaderKey, request.Scope.Key)
	service, found := h.services[c.Param("service")]
	if !found {
		return refuse(oriolebend.ReasonUnknownService, "no service of this name is set")
	}
	path, err := servicePath(r.URL)
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
func (h *handler) fillCall(request *entry.Request, r *http.Request, service settings.ServiceRoute, path string) {
	route := matchRoute(service.Calls, r.Method, r.URL.Path[len("/services/"+service.Name):])
	request.Service = service.Name
	request.Once = !route.Repeatable
	request.StatusPath = route.StatusPath
	if r.Header.Get(HeaderUrgency) == "" && route.Urgency != "" {
		request.Urgency = route.Urgency
	}
	request.Call = &message.Call{
		Method:   r.Method,
		Path:     path,
		Header:   pick(requestHeaders, r.Header.Get),
		Identity: identityOf(request.Scope),
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

// servicePath returns the path and query to ask of the service. It refuses
// paths that a service might read as another path than the one that the
// settings were matched against: a call that may not be repeated could
// otherwise pass as one that may.
func servicePath(u *url.URL) (string, error) {
	escaped := u.EscapedPath()
	rest := strings.SplitN(escaped, "/", 4)
	if len(rest) < 4 {
		return "/", nil
	}
	for _, segment := range strings.Split(rest[3], "/") {
		if !plainSegment(segment) {
			return "", refuse(oriolebend.ReasonMalformed, "the path holds an empty or dot segment, an escaped slash or a control character")
		}
	}
	path := "/" + rest[3]
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
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
