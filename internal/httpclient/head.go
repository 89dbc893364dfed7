package httpclient

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// MalformedError is the error of an answer that net/http accepts, but that other parsers refuse or read in
// another way.
type MalformedError struct{ Detail string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed answer: " + e.Detail }

// maxStatus is the highest status of RFC 9110, section 15.
const maxStatus = 599

// CheckHead refuses the head of an answer, final or interim, that has no valid status or an invalid header
// name.
func CheckHead(answer *http.Response) error {
	switch status := answer.StatusCode; {
	case status < http.StatusContinue, status > maxStatus:
		return &MalformedError{Detail: fmt.Sprintf("status %q", answer.Status)}
	case status == http.StatusSwitchingProtocols:
		return &MalformedError{Detail: "another protocol that was not asked for"}
	}
	return checkNames(answer.Header)
}

// checkNames refuses names that are no tokens. "Content-Length " would be another header than Content-Length:
// the answer would have another body here than for the server.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedError{Detail: fmt.Sprintf("header name %q", name)}
		}
	}
	return nil
}

// CheckTrailer makes the body of an answer end with an error if its trailer has an invalid name.
func CheckTrailer(answer *http.Response) {
	if len(answer.TransferEncoding) > 0 { // only chunks have a trailer
		answer.Body = &trailerBody{ReadCloser: answer.Body, answer: answer}
	}
}

// trailerBody is the body of an answer whose trailer is checked at its end.
type trailerBody struct {
	io.ReadCloser
	answer *http.Response
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkNames(b.answer.Trailer); malformed != nil {
			err = malformed
		}
	}
	return n, err
}
