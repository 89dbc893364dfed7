package forwarder

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/http1"
)

// Two tries at one request have the same fingerprint, and any other request has a different one.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	request := func(method, host, target, body, id string) *http1.Request {
		return &http1.Request{
			Method: method, Host: host, Target: target, Body: []byte(body), Header: http.Header{headerRequest: {id}},
		}
	}
	first := fingerprintOf(request("POST", "h", "/a?b", "body", "r1"), "o")
	is.Equal(fingerprintOf(request("POST", "h", "/a?b", "body", "r2"), "o"), first)
	for _, other := range []*http1.Request{
		request("PUT", "h", "/a?b", "body", "r1"),
		request("POST", "g", "/a?b", "body", "r1"),
		request("POST", "h", "/a?c", "body", "r1"),
		request("POST", "h", "/a?b", "bodz", "r1"),
		request("POST", "h", "/a?bb", "ody", "r1"),
	} {
		is.True(fingerprintOf(other, "o") != first)
	}
	// One organisation can't get the requests of another one quarantined for its own.
	is.True(fingerprintOf(request("POST", "h", "/a?b", "body", "r1"), "other") != first)
	is.Equal(len(first.String()), 16)
}

// The shared parts of a prompt have one fingerprint each, which differs from service to service.
func TestPartFingerprints(t *testing.T) {
	is := is.New(t)
	parts := partFingerprints("s", []string{"a", "b", "a"})
	is.Equal(len(parts), 2)
	is.Equal(partFingerprints("s", []string{"b"})[0], parts[1])
	is.True(partFingerprints("other", []string{"a"})[0] != parts[0])
	is.Equal(len(partFingerprints("s", nil)), 0)
	is.Equal(partsText(parts), parts[0].String()+" "+parts[1].String())
	var many []string
	for i := range 2 * maxParts {
		many = append(many, strconv.Itoa(i))
	}
	is.Equal(len(partFingerprints("s", many)), maxParts)
	is.Equal(len(strings.Fields(partsText(partFingerprints("s", many)))), maxLoggedParts)
}
