package forwarder

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// listenRaw starts a server on loopback and returns its address. It passes each connection to serve,
// which closes it, together with a function that ends the server.
func listenRaw(t *testing.T, serve func(conn net.Conn, stop func())) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	stop := func() { _ = listener.Close() }
	t.Cleanup(stop)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, stop)
		}
	}()
	return listener.Addr().String()
}
