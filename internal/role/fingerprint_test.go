package role

import (
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
)

func TestFingerprintCoversTheCommand(t *testing.T) {
	is := is.New(t)
	request := func(header, value, body string) entry.Request {
		return entry.Request{Service: "tips", Call: &message.Call{
			Method: "POST", Path: "/tips", Body: []byte(body), Header: map[string]string{header: value},
		}}
	}
	base := fingerprintOf(request("If-Match", "1", `{"a":1,"b":2}`))
	is.Equal(fingerprintOf(request("If-Match", "1", `{"b":2, "a":1}`)), base)
	is.True(fingerprintOf(request("If-Match", "2", `{"a":1,"b":2}`)) != base)
	is.Equal(fingerprintOf(request("Traceparent", "1", "x")), fingerprintOf(request("Traceparent", "2", "x")))
	is.True(fingerprintOf(entry.Request{Prompt: "p"}) != fingerprintOf(entry.Request{Model: "p"}))
}
