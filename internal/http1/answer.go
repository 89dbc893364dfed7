package http1

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 10 * time.Second

// writePieceBytes is the most of an answer that is written at a time. The connection of a
// caller that reads less within writeTimeout is closed. A caller that reads more gets its
// complete answer, however long that takes.
const writePieceBytes = 32 << 10

// Body is the body of an answer, part by part.
type Body interface {
	// Length returns the length of the parts that Next has not returned yet, negative if it is not known.
	Length() int64
	// Next returns the next part, which is valid until the next call. The error is io.EOF
	// after the last part of a complete body.
	Next() ([]byte, error)
}

// Bytes is a body in one part.
type Bytes []byte

// Length implements Body.
func (b *Bytes) Length() int64 { return int64(len(*b)) }

// Next implements Body.
func (b *Bytes) Next() ([]byte, error) {
	if len(*b) == 0 {
		return nil, io.EOF
	}
	part := *b
	*b = nil
	return part, nil
}

// Answer writes the answer to one request: with SendBytes or SendBody, or with Begin, any number
// of Write, and End. If an answer is begun and not ended, its connection is reset.
type Answer struct {
	conn net.Conn
	// keepAlive is true if the connection can be used for another request.
	keepAlive bool
	// headOnly is true for a request with method HEAD.
	headOnly bool
	// closing reports whether the answer must announce the end of the connection.
	closing func() bool

	begun, ended, failed bool
	streaming            bool
	// bodiless is set once an answer was begun that has no body, whatever its headers say.
	bodiless bool
}

// Begun reports whether a part of the answer may have been sent to the caller.
func (a *Answer) Begun() bool { return a.begun }

// SendBytes sends a complete answer.
func (a *Answer) SendBytes(status int, header http.Header, body []byte) {
	a.begun = true
	var out bytes.Buffer
	a.writeHead(&out, status, header)
	// The body of a GET may have another length than that of the answer to HEAD.
	if !hasNoBody(status) && (!a.headOnly || len(body) > 0) {
		out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	out.WriteString("\r\n")
	if a.bodiless {
		body = nil
	}
	if len(body) <= writePieceBytes {
		out.Write(body)
		body = nil
	}
	a.ended = a.send(out.Bytes()) && a.sendPieces(body)
}

// sendPieces sends data in pieces of at most writePieceBytes.
func (a *Answer) sendPieces(data []byte) bool {
	for piece := range slices.Chunk(data, writePieceBytes) {
		if !a.send(piece) {
			return false
		}
	}
	return !a.failed
}

// SendBody sends an answer part by part. It returns an error of the body only; WritesSucceeded
// reports an error of the caller's connection.
func (a *Answer) SendBody(status int, header http.Header, body Body) error {
	length := body.Length()
	first, err := body.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if errors.Is(err, io.EOF) || length == int64(len(first)) || hasNoBody(status) {
		a.SendBytes(status, header, first)
		return nil
	}
	if length < 0 {
		a.Begin(status, header)
		return a.copyParts(first, body, a.Write, a.End)
	}
	a.begun = true
	var head bytes.Buffer
	a.writeHead(&head, status, header)
	head.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n\r\n")
	a.send(head.Bytes())
	if a.bodiless {
		a.ended = !a.failed
		return nil
	}
	return a.copyParts(first, body, a.sendPieces, func() { a.ended = !a.failed })
}

// copyParts writes all parts and ends the answer after the last one.
func (a *Answer) copyParts(part []byte, body Body, write func([]byte) bool, end func()) error {
	for {
		if !write(part) {
			return nil
		}
		next, err := body.Next()
		if errors.Is(err, io.EOF) {
			end()
			return nil
		}
		if err != nil {
			return err
		}
		part = next
	}
}

// WritesSucceeded reports whether all writes to the caller's connection succeeded so far.
func (a *Answer) WritesSucceeded() bool { return !a.failed }

// Begin sends the head of an answer whose length is not known.
func (a *Answer) Begin(status int, header http.Header) bool {
	a.begun, a.streaming = true, true
	var out bytes.Buffer
	a.writeHead(&out, status, header)
	if !hasNoBody(status) {
		out.WriteString("Transfer-Encoding: chunked\r\n")
	}
	out.WriteString("\r\n")
	return a.send(out.Bytes())
}

// Write sends a part of an answer that was begun; it returns false if a write to the
// caller's connection failed.
func (a *Answer) Write(part []byte) bool {
	if len(part) == 0 || a.bodiless {
		return !a.failed
	}
	out := make([]byte, 0, len(part)+16)
	out = strconv.AppendInt(out, int64(len(part)), 16)
	out = append(out, "\r\n"...)
	out = append(out, part...)
	out = append(out, "\r\n"...)
	return a.send(out)
}

// End ends an answer that was begun and marks it as complete.
func (a *Answer) End() {
	if a.bodiless {
		a.ended = !a.failed
		return
	}
	a.ended = a.send([]byte("0\r\n\r\n"))
}

// hasNoBody reports whether answers with a status end with their head. A byte after it would be read as
// the start of the next answer.
func hasNoBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// writeHead writes the head without the lines for the body's length and without the
// empty line.
func (a *Answer) writeHead(out *bytes.Buffer, status int, header http.Header) {
	if a.closing() {
		a.keepAlive = false
	}
	a.bodiless = a.headOnly || hasNoBody(status)
	out.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	header = EndToEnd(header)
	delete(header, "Content-Length")
	_ = header.Write(out) // writes to a buffer do not fail
	if !a.keepAlive {
		out.WriteString("Connection: close\r\n")
	}
}

func (a *Answer) send(data []byte) bool {
	if a.failed {
		return false
	}
	_ = a.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.conn.Write(data); err != nil {
		a.failed = true
	}
	return !a.failed
}

// finish reports whether the connection can be used for another request. If the answer was
// begun and is incomplete, it makes the close reset the connection: a normal close could be
// taken for the end of an answer without a length.
func (a *Answer) finish() bool {
	if a.ended && !a.failed {
		return a.keepAlive
	}
	if tcp, ok := a.conn.(interface{ SetLinger(seconds int) error }); ok && a.begun {
		_ = tcp.SetLinger(0)
	}
	return false
}
