package saturation

import "net"

// Conn is a TCP connection whose bytes are counted.
type Conn struct {
	*net.TCPConn
	meter *Meter
}

// Wrap returns a connection whose bytes the meter counts. Other than TCP connections, and all
// connections without a meter, are returned as they are.
func (m *Meter) Wrap(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || m == nil {
		return conn
	}
	return &Conn{TCPConn: tcp, meter: m}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.meter.count(0, n)
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.meter.count(n, 0)
	return n, err
}
