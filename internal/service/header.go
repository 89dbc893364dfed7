package service

import "net/http"

// hopHeaders belong to one connection or to the router itself and are not
// passed on, in either direction. It is read and never changed.
var hopHeaders = map[string]bool{
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

// passes reports whether a header goes through the router.
func passes(name string) bool {
	return !hopHeaders[http.CanonicalHeaderKey(name)]
}

// passing returns the first values of the headers that pass.
func passing(h http.Header) map[string]string {
	passed := make(map[string]string, len(h))
	for name, values := range h {
		if passes(name) && len(values) > 0 {
			passed[name] = values[0]
		}
	}
	return passed
}
