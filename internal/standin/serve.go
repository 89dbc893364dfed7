package standin

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// headerTimeout is the timeout for reading the header of a request.
const headerTimeout = 5 * time.Second

// ListenError reports that a stand-in could not listen.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("standin: listen on %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Server serves a stand-in on loopback. It can be closed and started again on the same
// port, like a VM that restarts.
type Server struct {
	handler http.Handler
	address string
	server  *http.Server
}

// Serve serves a handler on a free port of 127.0.0.1. It returns errors of type
// *ListenError.
func Serve(h http.Handler) (*Server, error) {
	s := &Server{handler: h, address: "127.0.0.1:0"}
	return s, s.Start()
}

// Start starts the server. After Close, it listens on the same port again.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return &ListenError{Address: s.address, Cause: err}
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// URL returns the base URL.
func (s *Server) URL() string {
	return "http://" + s.address
}

// Close stops listening and closes all connections immediately.
func (s *Server) Close() error {
	return s.server.Close()
}
