package client_test

import (
	"testing"

	"github.com/oriolebend/oriolebend/internal/http1/http1test"
	"github.com/oriolebend/oriolebend/pkg/oriolebend/client"
)

// Guards against operators who see a part of a routing, or none, as the routing in force, because a control
// VM broke off its answer.
func TestCutRoutingIsNotRead(t *testing.T) {
	server := http1test.Serve(t)
	operator := client.New(client.Config{Addresses: []string{server.URL()}, Tries: 1})
	const routing = `{"version":12,"services":[{"name":"s"}],"routes":[]}`
	for _, answer := range http1test.Frame(routing) {
		for n := range len(answer.Text) + 1 {
			server.Set(answer.Text[:n], http1test.Closed)
			got, err := operator.Routing(t.Context())
			whole := err == nil && got.Version == 12 && len(got.Services) == 1
			// A routing ends with its last brace: only the end of the framing may be missing.
			if err == nil != whole || n == len(answer.Text) != whole && n < answer.HeadBytes()+len(routing) {
				t.Errorf("%s, %d bytes: routing %v, error %v", answer.Name, n, got, err)
			}
		}
	}
}
