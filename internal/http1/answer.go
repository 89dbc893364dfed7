package http1

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// writeWithin bounds one write to a caller that does not read.
const writeWithin = 10 * time.Second

// Answer is the answer to one request: Whole, or Begin, any number of Write,
// and End. An answer that is begun and not ended is cut.
type Answer struct {
	conn    net.Conn
	keep    bool
	head    bool
	closing *atomic.Bool

	begun, ended, failed bool
	streaming            bool
}

// Begun reports whether a part of the answer may have reached the caller.
func (a *Answer) Begun() bool { return a.begun }

// Whole sends a whole answer.
func (a *Answer) Whole(status int, header http.Header, body []byte) {
	a.begun = true
	var out bytes.Buffer
	a.writeHead(&out, status, header)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	out.WriteString("\r\n")
	if !a.head {
		out.Write(body)
	}
	a.ended = a.send(out.Bytes())
}

// Begin sends the head of an answer whose length is not known.
func (a *Answer) Begin(status int, header http.Header) bool {
	a.begun, a.streaming = true, true
	var out bytes.Buffer
	a.writeHead(&out, status, header)
	out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	return a.send(out.Bytes())
}

// Write sends a part of an answer that was begun; false means that the caller
// can't be reached.
func (a *Answer) Write(part []byte) bool {
	if len(part) == 0 {
		return !a.failed
	}
	out := make([]byte, 0, len(part)+16)
	out = strconv.AppendInt(out, int64(len(part)), 16)
	out = append(out, "\r\n"...)
	out = append(out, part...)
	out = append(out, "\r\n"...)
	return a.send(out)
}

// End ends an answer that was begun as a whole one.
func (a *Answer) End() {
	a.ended = a.send([]byte("0\r\n\r\n"))
}

// writeHead writes all of the head but the lines on the body's length and the
// empty line.
func (a *Answer) writeHead(out *bytes.Buffer, status int, header http.Header) {
	if a.closing.Load() {
		a.keep = false
	}
	out.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	header = EndToEnd(header)
	delete(header, "Content-Length")
	_ = header.Write(out) // a buffer takes every write
	if !a.keep {
		out.WriteString("Connection: close\r\n")
	}
}

func (a *Answer) send(data []byte) bool {
	if a.failed {
		return false
	}
	_ = a.conn.SetWriteDeadline(time.Now().Add(writeWithin))
	if _, err := a.conn.Write(data); err != nil {
		a.failed = true
	}
	return !a.failed
}

// finish reports whether the connection can take another request. One whose
// answer is not whole is reset: a plain close could pass for the end of an
// answer without a length.
func (a *Answer) finish() bool {
	if a.ended && !a.failed {
		return a.keep
	}
	if tcp, ok := a.conn.(*net.TCPConn); ok && a.begun {
		_ = tcp.SetLinger(0)
	}
	return false
}
