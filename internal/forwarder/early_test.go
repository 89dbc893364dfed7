package forwarder

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/oriolebend/oriolebend/internal/http1/http1test"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
)

// Guards against callers who get a part of an answer as all of it, because its server answered a long
// upload early and then reset the connection; and against complete early answers that they lose.
func TestEarlyAnswerOfAServer(t *testing.T) {
	for _, answer := range earlyAnswers() {
		for _, path := range []string{"/once/", "/safe/", "/cut/", "/stream/"} {
			if answer.body == "" && (path == "/cut/" || path == "/stream/") {
				continue // a stream without an event is never complete
			}
			for _, early := range http1test.EarlyCases(answer.Text) {
				t.Run(fmt.Sprintf("%s%s/%s", answer.Name, path, early), func(t *testing.T) {
					t.Parallel()
					status, body := uploadEarly(t, path, early)
					complete := status == http.StatusOK && !strings.HasSuffix(body, "[cut]")
					if complete && body != answer.body {
						t.Errorf("body %q", body)
					}
					if complete != (answer.Framed() || early.Ending.InOrder()) {
						t.Errorf("status %d, body %q", status, body)
					}
				})
			}
		}
	}
}

// earlyAnswer is an answer with its body.
type earlyAnswer struct {
	http1test.Answer
	body string
}

// earlyAnswers returns answers that state their end, and answers that end with their connection.
func earlyAnswers() []earlyAnswer {
	answers := []earlyAnswer{{http1test.Answer{Name: "empty", Text: "HTTP/1.1 200 OK\r\n\r\n"}, ""}}
	for _, answer := range http1test.Frame(http1test.Body) {
		answers = append(answers, earlyAnswer{answer, http1test.Body})
	}
	return answers
}

// Guards against a stream that looks complete after its caller has resumed it, because its server broke off
// before the next event.
func TestEarlyAnswerToAResumedStream(t *testing.T) {
	events := http1test.Frame(http1test.Body)[0].Text
	for _, early := range http1test.EarlyCases("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n") {
		t.Run(early.String(), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 0)
			s.setServer(http1test.ServeEarly(t, http1test.Early{Answer: events, Ending: http1test.EarlyDrained}))
			_, _, first := s.sendBody("/stream/", nil, upload)
			s.setServer(http1test.ServeEarly(t, early))
			status, _, rest := s.sendBody("/stream/", map[string]string{headerRequest: "r2", headerResumes: "r1", headerAfter: "2"}, upload)
			complete := status == http.StatusOK && rest == ""
			if first != http1test.Body || complete != early.Ending.InOrder() {
				t.Errorf("first %q, then status %d, body %q", first, status, rest)
			}
		})
	}
}

// upload is the body of a long request.
var upload = strings.Repeat("u", http1test.UploadBytes)

// uploadEarly sends a long request to a server that answers early.
func uploadEarly(t *testing.T, path string, e http1test.Early) (int, string) {
	s := newSite(t, 0)
	s.setServer(http1test.ServeEarly(t, e))
	status, _, body := s.sendBody(path, nil, upload)
	return status, body
}

// setServer makes the only server of the site the one with an address.
func (s *site) setServer(address string) {
	s.servers = []message.BackendServer{{
		Instance: "only", Service: "s", Address: address, FailureDomain: "a", Phase: message.PhaseReady, SoftwareVersion: "v1",
	}}
	s.forwarder.ChangeServers(registry.Changes{Servers: s.servers}, 1)
}
