package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TestWaitIsForTheChange guards against an `apply --wait` that reports a change as in force
// although the next `get` does not find the resource. The queried control VM has not applied
// the change yet, and its followers have its older revision in force. Followers must be
// counted by the revision of the change, not by the revision of the queried control VM.
func TestWaitIsForTheChange(t *testing.T) {
	is := is.New(t)
	var queries atomic.Int32
	const accepted, behind = 13, 12
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			_ = json.NewEncoder(w).Encode(oriolebend.ChangeResult{Outcome: oriolebend.ChangeApplied, Revision: accepted})
			return
		}
		status := oriolebend.Status{Revision: behind, Control: "c1", InForce: 8, Total: 8}
		if queries.Add(1) > 2 {
			status.Revision = accepted
		}
		_ = json.NewEncoder(w).Encode(status)
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "model.toml")
	is.NoErr(os.WriteFile(file, []byte("[[resources]]\nkind = \"model\"\nname = \"planner-lm\"\n[resources.spec]\nversions = [\"1\"]\n"), 0o600))
	var out, errOut bytes.Buffer
	command := applyCommand(&out, &errOut)
	is.NoErr(command.Parse([]string{"-f", file, "--wait", "5s", "--control", server.URL}, ff.WithEnvVarPrefix("NONE")))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	is.NoErr(command.Run(ctx))
	is.Equal(queries.Load(), int32(3)) // the status does not count while the queried control VM is behind
}
