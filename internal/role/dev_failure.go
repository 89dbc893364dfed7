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

// FailureName names a failure that Dev can inject.
type FailureName string

// Failures that Dev injects into its own stand-ins and roles.
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
	// defaultFailureDuration is the duration of a failure that sets none.
	defaultFailureDuration = 2 * time.Second
	// slowFactor is the factor by which the steps of a slow engine take longer.
	slowFactor = 5
	// maxFailureBody bounds the size of a failure's description in bytes.
	maxFailureBody = 4 << 10
	// failureStopTimeout bounds a graceful stop that is part of a failure.
	failureStopTimeout = time.Minute
)

// Failure is one failure of a schedule.
type Failure struct {
	Do     FailureName         `json:"do"`
	Target string              `json:"target"`
	For    oriolebend.Duration `json:"for,omitempty"`
}

// FailureError reports a failure that can't be injected.
type FailureError struct{ Detail string }

// Error implements error.
func (e *FailureError) Error() string { return e.Detail }

// injector injects a failure and returns the function that ends it.
type injector func(d *Dev, target string) (end func() error, err error)

// injectors holds the injector of each failure.
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

// Fail injects a failure and ends it after its duration. It returns a *FailureError
// for a failure or target that Dev does not know.
func (d *Dev) Fail(f Failure) error {
	inject, known := injectors[f.Do]
	if !known {
		return &FailureError{Detail: fmt.Sprintf("no failure %q; there are %v", f.Do, slices.Sorted(maps.Keys(injectors)))}
	}
	d.logger.Info("failure injected", "do", f.Do, "target", f.Target, "for", f.For)
	d.failureMutex.Lock()
	end, err := inject(d, f.Target)
	d.failureMutex.Unlock()
	if err != nil {
		return err
	}
	d.failures.Go(func() {
		d.waitForFailureEnd(f.For.Or(defaultFailureDuration))
		d.failureMutex.Lock()
		defer d.failureMutex.Unlock()
		if err := end(); err != nil {
			d.logger.Error("failure could not be ended", "do", f.Do, "target", f.Target, "error", err)
		}
	})
	return nil
}

// waitForFailureEnd waits until a failure must end. A stop of Dev ends it at once,
// as requests in progress must be able to end.
func (d *Dev) waitForFailureEnd(lasts time.Duration) {
	timer := time.NewTimer(lasts)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.stopping:
	}
}

// serveFailures injects failures over HTTP; each request describes one in JSON.
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

func onEngine(inject func(*standin.Engine) (end func())) injector {
	return func(d *Dev, target string) (func() error, error) {
		e := d.Engines[target]
		if e == nil {
			return nil, unknownTarget("engine", target)
		}
		end := inject(e)
		return func() error { end(); return nil }, nil
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

func onSidecar(stop func(*SidecarProcess) error) injector {
	return func(d *Dev, target string) (func() error, error) {
		s := d.Sidecars[target]
		if s == nil {
			return nil, unknownTarget("server", target)
		}
		return func() error {
			started, err := StartSidecar(s.process)
			if err != nil {
				return err
			}
			d.Sidecars[target] = started
			return nil
		}, stop(s)
	}
}

func onEntry(stop func(*EntryProcess) error) injector {
	return func(d *Dev, target string) (func() error, error) {
		n := slices.IndexFunc(d.Entries, func(e *EntryProcess) bool { return e.process.Settings.Node.Name == target })
		if n < 0 {
			return nil, unknownTarget("entry", target)
		}
		p := d.Entries[n].process
		p.Settings.Caller.Listen = d.Entries[n].Address()
		return func() error {
			started, err := StartEntry(p)
			if err != nil {
				return err
			}
			d.Entries[n] = started
			return nil
		}, stop(d.Entries[n])
	}
}

func onControl(stop func(*ControlProcess) error) injector {
	return func(d *Dev, target string) (func() error, error) {
		n := slices.IndexFunc(d.Controls, func(c *ControlProcess) bool { return c.process.Settings.Node.Name == target })
		if n < 0 {
			return nil, unknownTarget("control VM", target)
		}
		p := d.Controls[n].process
		p.Socket, p.Operators = nil, nil
		return func() error {
			started, err := StartControl(p)
			if err != nil {
				return err
			}
			d.Controls[n] = started
			return nil
		}, stop(d.Controls[n])
	}
}

func unknownTarget(kind, target string) error {
	return &FailureError{Detail: fmt.Sprintf("no %s %q here", kind, target)}
}

// gracefully returns a function that stops a process gracefully without a context.
func gracefully[P any](stop func(P, context.Context) error) func(P) error {
	return func(p P) error {
		ctx, cancel := context.WithTimeout(context.Background(), failureStopTimeout)
		defer cancel()
		return stop(p, ctx)
	}
}
