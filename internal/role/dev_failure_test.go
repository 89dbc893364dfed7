package role

import (
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// failureTargets holds the target of each failure in the default settings.
var failureTargets = map[FailureName]string{
	FailKillEngine:   "decode-1",
	FailFreezeEngine: "decode-2",
	FailSlowEngine:   "prefill-1",
	FailStallLink:    "prefill-2",
	FailLoseAnswer:   "dispatch-1",
	FailKillSidecar:  "decode-3",
	FailStopSidecar:  "prefill-1",
	FailKillEntry:    "entry-2",
	FailStopEntry:    "entry-2",
	FailKillControl:  "control-1",
	FailStopControl:  "control-2",
}

// Guards against a scheduled failure that never ends, so that all later load fails:
// a role might be started again on other ports, or twice. Each failure is injected
// and ended in turn, followed by a request that needs all roles.
func TestEveryFailureEnds(t *testing.T) {
	is := is.New(t)
	d := startDev(t)
	for _, name := range slices.Sorted(maps.Keys(injectors)) {
		is.NoErr(d.Fail(Failure{Do: name, Target: failureTargets[name], For: oriolebend.Duration(50 * time.Millisecond)}))
		d.failures.Wait()
		is.NoErr(d.Ready(t.Context()))
		status, _ := post(t, d.Entries[1].Address(), "/v1/completions", string(name), shortCompletion)
		is.Equal(status, http.StatusOK) // answered after the failure
	}
}

func TestUnknownFailuresAreRefused(t *testing.T) {
	is := is.New(t)
	d := startDev(t)
	var refused *FailureError
	is.True(errors.As(d.Fail(Failure{Do: "earthquake"}), &refused))
	is.True(errors.As(d.Fail(Failure{Do: FailKillEngine, Target: "nobody"}), &refused))
	response, err := http.Post("http://"+d.MetricsAddress()+"/dev/failures", "application/json", strings.NewReader("{"))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusBadRequest)
}
