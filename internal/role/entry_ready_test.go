package role

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Guards against an entry that answers a request for an existing model with 404 right
// after it has become ready. A prefill server announces itself first, and a request
// arrives before the announcement of the decode server. The entry must not become
// ready with any server, nor treat a model that is not announced yet as unknown.
func TestEntryIsNotReadyOrSettledTooEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := NewEntry(EntryConfig{Logger: slog.New(slog.DiscardHandler)})
		server := func(name string, role oriolebend.PoolRole) oriolebend.Server {
			return oriolebend.Server{
				Name: name, Role: role, State: oriolebend.ServerServing,
				Models: []oriolebend.LoadedModel{{Model: "planner-lm", Version: "1"}},
			}
		}
		e.ApplyServers([]oriolebend.Server{server("prefill-1", oriolebend.Prefill)}, true)
		is.True(!e.Ready())
		is.True(!e.Settled())
		e.ApplyServers([]oriolebend.Server{server("decode-1", oriolebend.Decode)}, false)
		is.True(e.Ready())
		is.True(!e.Settled()) // other servers may still announce themselves
		time.Sleep(announcementsSettleDelay)
		is.True(e.Settled())
	})
}
