package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Organisations of the soak. The callers of bounded ask for several times their quota;
// strangers show a key that nobody holds.
const (
	regular  = "regular"
	bounded  = "bounded"
	stranger = "stranger"
)

const (
	// quotaWindow and quotaOvershoot are how quotas are judged by default.
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.1
	// hotCallers ask for bounded, one request each hotEvery or so.
	hotCallers = 3
	hotEvery   = 10 * time.Millisecond
)

// quotaOf goes down with every second version.
func quotaOf(version uint64) oriolebend.Quota {
	if version%2 == 0 {
		return oriolebend.Quota{PerSecond: 20, Burst: 10}
	}
	return oriolebend.Quota{PerSecond: 40, Burst: 40}
}

// keyOf is the key of an organisation; versionKey is held by regular in one version only.
func keyOf(organisation string) string       { return "key-of-" + organisation }
func versionKey(version uint64) string       { return fmt.Sprintf("key-of-version-%d", version) }
func digest(key string) oriolebend.KeyDigest { return oriolebend.DigestKey(key) }

func organisations(version uint64) []oriolebend.Organisation {
	return []oriolebend.Organisation{
		{Name: regular, Keys: []oriolebend.KeyDigest{digest(keyOf(regular)), digest(versionKey(version))}},
		{Name: bounded, Keys: []oriolebend.KeyDigest{digest(keyOf(bounded))}, Quota: quotaOf(version)},
	}
}

// identities is what servers saw of who they run requests for.
type identities struct {
	mutex sync.Mutex
	// faults are requests that were run for another organisation, or with a key.
	faults []string
	// bounded is when requests of the organisation with a quota ran.
	bounded []time.Time
}

// note takes in a request that a server runs.
func (i *identities) note(r *http.Request) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	id, organisation := r.Header.Get("Oriolebend-Request"), r.Header.Get("Oriolebend-Organisation")
	if want := ownerOf(id); organisation != want || len(r.Header["Authorization"]) > 0 {
		i.faults = append(i.faults, fmt.Sprintf("%s ran for %q, its key's owner is %q; keys seen: %d",
			id, organisation, want, len(r.Header["Authorization"])))
	}
	if organisation == bounded {
		i.bounded = append(i.bounded, time.Now())
	}
}

// ownerOf tells from the name of a request who holds the key that it is sent with.
func ownerOf(id string) string {
	switch id[0] {
	case 'b':
		return bounded
	case 's':
		return stranger
	}
	return regular
}

// sendOrganisations has callers ask for the organisation with a quota, and strangers.
func (l *load) sendOrganisations(ctx context.Context, s *system, random *rand.Rand) {
	callers := &http.Client{Timeout: 5 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		address := s.callers[random.IntN(len(s.callers))]
		id, key := fmt.Sprintf("b%d-%d", random.Uint32(), n), keyOf(bounded)
		if random.IntN(10) == 0 {
			id, key = fmt.Sprintf("s%d-%d", random.Uint32(), n), keyOf(stranger)
		}
		t := told{id: id, once: true}
		t.status, t.body = askWith(callers, address, "once", id, key)
		l.mutex.Lock()
		l.told = append(l.told, t)
		l.mutex.Unlock()
		time.Sleep(time.Duration(random.Int64N(int64(2 * hotEvery))))
	}
}

// check holds what servers saw against keys and quotas.
//
// Symptom: an organisation is served beyond its quota, or for another one's key, on a site
// on which processes are killed, paused and restarted all the while. Sequence: its callers
// ask for several times as much as it may, at all forwarders; limits go down and up, keys
// come and go. Cause: what a process has forgotten, or still believes.
func (i *identities) check(t *testing.T) {
	t.Helper()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, fault := range i.faults {
		t.Error(fault)
	}
	highest := quotaOf(1)
	most := (highest.PerSecond*quotaWindow.Seconds() + highest.Burst) * (1 + quotaOvershoot)
	worst, from := 0, 0
	for at, ran := range i.bounded {
		for ran.Sub(i.bounded[from]) > quotaWindow {
			from++
		}
		worst = max(worst, at-from+1)
	}
	t.Logf("%d requests of the organisation with a quota ran, at most %d within %s, allowed are %.0f", len(i.bounded), worst, quotaWindow, most)
	if float64(worst) > most {
		t.Errorf("%d requests ran within %s, allowed are %.0f", worst, quotaWindow, most)
	}
	if len(i.bounded) == 0 {
		t.Error("no request of the organisation with a quota ran")
	}
}
