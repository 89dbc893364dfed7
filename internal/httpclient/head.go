package httpclient

import (
	"fmt"
	"net/http"
)

// MalformedHeadError is the error of a head that net/http accepts, but that other parsers refuse or read in
// another way.
type MalformedHeadError struct{ Detail string }

// Error implements error.
func (e *MalformedHeadError) Error() string { return "malformed head of the answer: " + e.Detail }

// maxStatus is the highest status of RFC 9110, section 15.
const maxStatus = 599

// CheckHead refuses the head of an answer, final or interim, that has no valid status.
func CheckHead(answer *http.Response) error {
	switch status := answer.StatusCode; {
	case status < http.StatusContinue, status > maxStatus:
		return &MalformedHeadError{Detail: fmt.Sprintf("status %q", answer.Status)}
	case status == http.StatusSwitchingProtocols:
		return &MalformedHeadError{Detail: "another protocol that was not asked for"}
	}
	return nil
}
