package service

import "net/http"

// unforwardedHeaders holds the headers that concern one connection or the router
// itself. They are forwarded in neither direction. The map is never changed.
var unforwardedHeaders = map[string]bool{
	"Authorization":       true,
	"Connection":          true,
	"Content-Length":      true,
	"Cookie":              true,
	"Host":                true,
	"Idempotency-Key":     true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Set-Cookie":          true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// forwards reports whether a header is forwarded.
func forwards(name string) bool {
	return !unforwardedHeaders[http.CanonicalHeaderKey(name)]
}

// forwardedHeaders returns the first values of the headers that are forwarded.
func forwardedHeaders(h http.Header) map[string]string {
	forwarded := make(map[string]string, len(h))
	for name, values := range h {
		if forwards(name) && len(values) > 0 {
			forwarded[name] = values[0]
		}
	}
	return forwarded
}
