package role

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Symptom: right after an entry is ready it answers a request for an existing
// model with 404. Sequence: a prefill server announces itself first, and a request
// comes before the decode server's announcement. Cause: an entry that is ready
// with any server, and takes a model that nobody has announced yet for one that
// does not exist.
func TestEntryKnowsTheFleetBeforeItSaysNo(t *testing.T) {
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
		is.True(!e.Settled()) // others may be about to announce themselves
		time.Sleep(announcementsSettleDelay)
		is.True(e.Settled())
	})
}
