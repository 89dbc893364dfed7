package routing

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Guards against a leader that loses its lease to its own command: a routing of more than a
// thousand routes takes the links of the control VMs longer than that lease lasts.
func TestLargeRoutingIsCompressed(t *testing.T) {
	is := is.New(t)
	large := Replace{Routing: oriolebend.Routing{Version: 7}}
	for n := range 1500 {
		name := fmt.Sprintf("route-%d-%x", n, n*7919)
		large.Routing.Routes = append(large.Routing.Routes, oriolebend.Route{Name: name, Host: "h.example", PathPrefix: "/" + name + "/"})
		large.Document = fmt.Appendf(large.Document, `{"name":%q,"host":"h.example","pathPrefix":"/%s/"},`, name, name)
	}
	plain, err := cbor.Marshal(large)
	is.NoErr(err)
	command, err := EncodeReplace(large)
	is.NoErr(err)
	is.True(len(command) < len(plain)/4)
	s, other := NewStore(), NewStore()
	is.Equal(s.Apply(1, command), other.Apply(1, plain)) // commands of earlier programs are in the log
	current, _ := s.Current()
	same, _ := other.Current()
	is.Equal(current, same)
	is.Equal(current.Document, large.Document)

	is.Equal(NewStore().Apply(1, command[:len(command)-9]), nil) // cut short
	torn, err := cbor.Marshal(compressed{Deflate: []byte("no deflate")})
	is.NoErr(err)
	is.Equal(NewStore().Apply(1, torn), nil)
}

// Guards against a command that changes its form although it is small.
func TestSmallRoutingIsNotCompressed(t *testing.T) {
	is := is.New(t)
	small := Replace{Routing: oriolebend.Routing{Version: 1}, Document: []byte("{}")}
	plain, err := cbor.Marshal(small)
	is.NoErr(err)
	command, err := EncodeReplace(small)
	is.NoErr(err)
	is.Equal(command, plain)
}
