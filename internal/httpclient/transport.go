// Package httpclient adds to net/http's client what it does not detect: malformed heads and trailers of answers,
// and answers that were broken off by a reset which the write of the request has received.
package httpclient

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport sends requests through another transport, and refuses malformed answers. If the other one
// opens its connections with Dial, an answer is not complete if the write of its request failed.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *requestConn
	trace := &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn = requestConnOf(info.Conn) },
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return checkNames(http.Header(header)) },
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if conn != nil {
				conn.endRequest()
			}
		},
	}
	answer, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(answer); err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	CheckTrailer(answer)
	return answer, nil
}

// requestConnOf returns the requestConn below a connection, nil if there is none.
func requestConnOf(conn net.Conn) *requestConn {
	if secure, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secure.NetConn()
	}
	c, _ := conn.(*requestConn)
	return c
}

// CloseIdleConnections closes the idle connections of the other transport.
func (t *Transport) CloseIdleConnections() {
	if idle, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		idle.CloseIdleConnections()
	}
}
