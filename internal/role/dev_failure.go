package role

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/standin"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// FailureName names something that Dev can make fail.
type FailureName string

// Failures that Dev brings about on its own stand-ins and roles.
const (
	FailKillEngine   FailureName = "killEngine"
	FailFreezeEngine FailureName = "freezeEngine"
	FailSlowEngine   FailureName = "slowEngine"
	FailStallLink    FailureName = "stallLink"
	FailLoseAnswer   FailureName = "loseAnswer"
	FailKillSidecar  FailureName = "killSidecar"
	FailStopSidecar  FailureName = "stopSidecar"
	FailKillEntry    FailureName = "killEntry"
	FailStopEntry    FailureName = "stopEntry"
	FailKillControl  FailureName = "killControl"
	FailStopControl  FailureName = "stopControl"
)

const (
	// failFor is how long a failure lasts that names no time.
	defaultFailureDuration = 2 * time.Second
	// slowFactor is how much longer the steps of a slow engine take.
	slowFactor = 5
	// failureBody bounds the description of a failure.
	maxFailureBody = 4 << 10
	// failureStop bounds a graceful stop that is part of a failure.
	failureStopTimeout = time.Minute
)

// Failure is one failure of a schedule.
type Failure struct {
	Do     FailureName         `json:"do"`
	Target string              `json:"target"`
	For    oriolebend.Duration `json:"for,omitempty"`
}

// FailureError is a failure that can't be brought about.
type FailureError struct{ Detail string }

// Error implements error.
func (e *FailureError) Error() string { return e.Detail }

// strike brings a failure about and returns what ends it.
type injector func(d *Dev, target string) (mend func() error, err error)

// strikes holds how each failure is brought about; a new failure is a new row.
var injectors = map[FailureName]injector{
	FailKillEngine: onEngine(func(e *standin.Engine) func() { e.Kill(); return e.Restart }),
	FailFreezeEngine: onEngine(func(e *standin.Engine) func() {
		e.Freeze(true)
		return func() { e.Freeze(false) }
	}),
	FailSlowEngine: onEngine(func(e *standin.Engine) func() {
		e.SlowBy(slowFactor)
		return func() { e.SlowBy(1) }
	}),
	FailStallLink: onEngine(func(e *standin.Engine) func() {
		e.StallLinks(true)
		return func() { e.StallLinks(false) }
	}),
	FailLoseAnswer:  loseAnswer,
	FailKillSidecar: onSidecar((*SidecarProcess).Kill),
	FailStopSidecar: onSidecar(gracefully((*SidecarProcess).Stop)),
	FailKillEntry:   onEntry((*EntryProcess).Kill),
	FailStopEntry:   onEntry(gracefully((*EntryProcess).Stop)),
	FailKillControl: onControl((*ControlProcess).Kill),
	FailStopControl: onControl(gracefully((*ControlProcess).Stop)),
}

// Fail brings a failure about and has it end after its time. It returns a
// *FailureError for one that Dev does not know.
func (d *Dev) Fail(f Failure) error {
	bring, known := injectors[f.Do]
	if !known {
		return &FailureError{Detail: fmt.Sprintf("no failure %q; there are %v", f.Do, slices.Sorted(maps.Keys(injectors)))}
	}
	d.logger.Info("a failure is brought about", "do", f.Do, "target", f.Target, "for", f.For)
	d.failureMutex.Lock()
	mend, err := bring(d, f.Target)
	d.failureMutex.Unlock()
	if err != nil {
		return err
	}
	d.failures.Go(func() {
		d.waitForFailureEnd(f.For.Or(defaultFailureDuration))
		d.failureMutex.Lock()
		defer d.failureMutex.Unlock()
		if err := mend(); err != nil {
			d.logger.Error("a failure did not end", "do", f.Do, "target", f.Target, "error", err)
		}
	})
	return nil
}

// waitToMend waits for the end of a failure. A Dev that stops ends it at once:
// requests in progress must be able to end.
func (d *Dev) waitForFailureEnd(lasts time.Duration) {
	timer := time.NewTimer(lasts)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.stopping:
	}
}

// serveFailures takes failures over HTTP, one as JSON in each request.
func (d *Dev) serveFailures(w http.ResponseWriter, r *http.Request) {
	var f Failure
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFailureBody))
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, "not a failure: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := d.Fail(f); err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func onEngine(bring func(*standin.Engine) (mend func())) injector {
	return func(d *Dev, target string) (func() error, error) {
		e := d.Engines[target]
		if e == nil {
			return nil, unknownTarget("engine", target)
		}
		mend := bring(e)
		return func() error { mend(); return nil }, nil
	}
}

func loseAnswer(d *Dev, target string) (func() error, error) {
	s := d.Services[target]
	if s == nil {
		return nil, unknownTarget("service", target)
	}
	s.FailNext(standin.FaultAfter)
	return func() error { return nil }, nil
}

func onSidecar(end func(*SidecarProcess) error) injector {
	return func(d *Dev, target string) (func() error, error) {
		s := d.Sidecars[target]
		if s == nil {
			return nil, unknownTarget("server", target)
		}
		return func() error {
			again, err := StartSidecar(s.process)
			if err != nil {
				return err
			}
			d.Sidecars[target] = again
			return nil
		}, end(s)
	}
}

func onEntry(end func(*EntryProcess) error) injector {
	return func(d *Dev, target string) (func() error, error) {
		n := slices.IndexFunc(d.Entries, func(e *EntryProcess) bool { return e.process.Settings.Node.Name == target })
		if n < 0 {
			return nil, unknownTarget("entry", target)
		}
		p := d.Entries[n].process
		p.Settings.Caller.Listen = d.Entries[n].Address()
		return func() error {
			again, err := StartEntry(p)
			if err != nil {
				return err
			}
			d.Entries[n] = again
			return nil
		}, end(d.Entries[n])
	}
}

func onControl(end func(*ControlProcess) error) injector {
	return func(d *Dev, target string) (func() error, error) {
		n := slices.IndexFunc(d.Controls, func(c *ControlProcess) bool { return c.process.Settings.Node.Name == target })
		if n < 0 {
			return nil, unknownTarget("control VM", target)
		}
		p := d.Controls[n].process
		p.Socket, p.Operators = nil, nil
		return func() error {
			again, err := StartControl(p)
			if err != nil {
				return err
			}
			d.Controls[n] = again
			return nil
		}, end(d.Controls[n])
	}
}

func unknownTarget(kind, target string) error {
	return &FailureError{Detail: fmt.Sprintf("no %s %q here", kind, target)}
}

// gracefully makes a graceful stop one that takes no context.
func gracefully[P any](stop func(P, context.Context) error) func(P) error {
	return func(p P) error {
		ctx, cancel := context.WithTimeout(context.Background(), failureStopTimeout)
		defer cancel()
		return stop(p, ctx)
	}
}
