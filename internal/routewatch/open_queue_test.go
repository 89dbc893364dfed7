package routewatch

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/policy"
)

func withSession() time.Duration    { return openLimit }
func withoutSession() time.Duration { return firstOpenLimit }

var errNoAnswer = errors.New("no answer")

// handshakeTakes is the processor time of a control VM for the handshake of one session.
const handshakeTakes = 1500 * time.Microsecond

// queue models a control VM that carries out one handshake after the other.
type queue struct {
	mutex   sync.Mutex
	free    time.Time
	longest time.Duration
}

func (q *queue) handshake() error {
	q.mutex.Lock()
	q.free = later(q.free, time.Now()).Add(handshakeTakes)
	wait := time.Until(q.free)
	q.longest = max(q.longest, wait)
	q.mutex.Unlock()
	time.Sleep(wait)
	return nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// runStorm starts forwarders at one moment, each of which opens a session with each control VM. It
// returns the longest time that a vote would have waited behind handshakes, and the time until
// all sessions were open.
func runStorm(t *testing.T, forwarders, controls int, queued bool) (longest, all time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		vms := make([]queue, controls)
		var group sync.WaitGroup
		for n := range forwarders {
			queue := &openQueue{}
			for c := range vms {
				open := vms[c].handshake
				weight := policy.Rendezvous(fmt.Sprint("forwarder-", n), fmt.Sprint("control-", c))
				group.Go(func() {
					if !queued {
						_ = open()
						return
					}
					if err := queue.run(t.Context(), weight, withSession, open); err != nil {
						t.Error(err)
					}
				})
			}
		}
		group.Wait()
		all = time.Since(began)
		for c := range vms {
			longest = max(longest, vms[c].longest)
		}
	})
	return longest, all
}

// Guards against handshakes that delay votes and heartbeats. After a crash of the whole system a
// fleet of 361 forwarders had no leader for 0.8 s, and elected a second one 0.3 s later; small
// sites have a leader after 0.2 s. All forwarders reconnect within a tenth of a second, and each
// opens a session with each of ten control VMs, so the work of a control VM at one moment grows
// with the number of forwarders.
func TestHerdOfForwardersLeavesRoomForVotes(t *testing.T) {
	const controls = 10
	is := is.New(t)
	for _, forwarders := range []int{90, 180, 361, 722} {
		atOnce, _ := runStorm(t, forwarders, controls, false)
		longest, all := runStorm(t, forwarders, controls, true)
		t.Logf("%d forwarders: votes wait %s, without a queue %s; all sessions open after %s", forwarders, longest, atOnce, all)
		is.True(longest <= atOnce/4)
		is.True(all <= 2*time.Second) // all forwarders soon receive what any control VM acknowledges
	}
}

// Guards against a control VM that is down and keeps a forwarder from connecting to the others.
func TestDeadControlVMDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue := &openQueue{}
		began := time.Now()
		var opened time.Duration
		var group sync.WaitGroup
		for n := range 3 {
			group.Go(func() {
				_ = queue.run(t.Context(), uint64(10-n), withoutSession, func() error {
					time.Sleep(openTimeout)
					return errNoAnswer
				})
			})
		}
		synctest.Wait()
		group.Go(func() {
			_ = queue.run(t.Context(), 1, withoutSession, func() error {
				opened = time.Since(began)
				return nil
			})
		})
		group.Wait()
		is.True(opened <= 3*firstOpenLimit+maxStartJitter)
	})
}
