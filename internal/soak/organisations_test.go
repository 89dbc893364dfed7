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

// Organisations of the soak test. The callers of bounded send several times their quota. The
// callers of stranger use a key that no organisation holds. The callers of ranked request
// generations of several ranks, more of them than their quota in tokens allows.
const (
	regular  = "regular"
	bounded  = "bounded"
	stranger = "stranger"
	ranked   = "ranked"
)

const (
	// quotaWindow and quotaOvershoot are the default window and tolerance of quota checks.
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.1
	// hotCallers is the number of callers of bounded. Each of them waits hotEvery on average
	// between two requests.
	hotCallers = 3
	hotEvery   = 10 * time.Millisecond
)

// quotaOf returns a lower quota for every second version.
func quotaOf(version uint64) oriolebend.Quota {
	if version%2 == 0 {
		return oriolebend.Quota{PerSecond: 20, Burst: 10}
	}
	return oriolebend.Quota{PerSecond: 40, Burst: 40}
}

// keyOf returns the key of an organisation, versionKey a key that regular holds in one version
// only.
func keyOf(organisation string) string       { return "key-of-" + organisation }
func versionKey(version uint64) string       { return fmt.Sprintf("key-of-version-%d", version) }
func digest(key string) oriolebend.KeyDigest { return oriolebend.DigestKey(key) }

func organisations(version uint64) []oriolebend.Organisation {
	return []oriolebend.Organisation{
		{Name: regular, Keys: []oriolebend.KeyDigest{digest(keyOf(regular)), digest(versionKey(version))}},
		{Name: bounded, Keys: []oriolebend.KeyDigest{digest(keyOf(bounded))}, Quota: quotaOf(version)},
		{Name: ranked, Keys: []oriolebend.KeyDigest{digest(keyOf(ranked))}, Quota: rankedQuota},
	}
}

// identities records for which organisations servers ran requests.
type identities struct {
	mutex sync.Mutex
	// faults describes the requests that were run for a wrong organisation, or with a key.
	faults []string
	// bounded holds the requests of the organisation with a quota that ran.
	bounded []charge
	// charges holds the generations of ranked that ran, each with its tokens.
	charges []charge
}

// charge is the part of a quota that a request used.
type charge struct {
	at    time.Time
	units float64
}

// noteTokens records a generation of ranked that runs for the first time.
func (i *identities) noteTokens(tokens int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.charges = append(i.charges, charge{at: time.Now(), units: float64(tokens)})
}

// note records a request that a server runs.
func (i *identities) note(r *http.Request) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	id, organisation := r.Header.Get("Oriolebend-Request"), r.Header.Get("Oriolebend-Organisation")
	if want := ownerOf(id); organisation != want || len(r.Header["Authorization"]) > 0 {
		i.faults = append(i.faults, fmt.Sprintf("%s ran for %q, its key's owner is %q; keys seen: %d",
			id, organisation, want, len(r.Header["Authorization"])))
	}
	if organisation == bounded {
		i.bounded = append(i.bounded, charge{at: time.Now(), units: 1})
	}
}

// ownerOf returns the organisation whose key is sent with a request, which follows from its
// ID.
func ownerOf(id string) string {
	switch id[0] {
	case 'b':
		return bounded
	case 'g':
		return ranked
	case 's':
		return stranger
	}
	return regular
}

// sendOrganisations sends requests of the organisation with a quota, and some of stranger.
func (l *load) sendOrganisations(ctx context.Context, s *system, random *rand.Rand) {
	callers := &http.Client{Timeout: 5 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		address := s.callers[random.IntN(len(s.callers))]
		id, key := fmt.Sprintf("b%d-%d", random.Uint32(), n), keyOf(bounded)
		if random.IntN(10) == 0 {
			id, key = fmt.Sprintf("s%d-%d", random.Uint32(), n), keyOf(stranger)
		}
		t := result{id: id, once: true, want: "ran " + id + " on once"}
		began := time.Now()
		t.status, t.body = sendWithKey(callers, address, "once", id, key)
		l.note(t, began)
		time.Sleep(time.Duration(random.Int64N(int64(2 * hotEvery))))
	}
}

// check compares the requests that servers ran with keys and quotas.
//
// It guards against an organisation that is served beyond its quota, or with the key of
// another one, while processes are killed, paused and restarted. Its callers send several
// times their quota through all forwarders, quotas are lowered and raised, and keys are added
// and removed. The cause is state that a process has lost, or outdated state that it still
// uses.
func (i *identities) check(t *testing.T) {
	t.Helper()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, fault := range i.faults {
		t.Error(fault)
	}
	checkQuota(t, bounded, quotaOf(1), i.bounded)
	checkQuota(t, ranked, rankedQuota, i.charges)
}

// checkQuota compares the charges of an organisation with the highest quota that it had.
func checkQuota(t *testing.T, organisation string, highest oriolebend.Quota, charges []charge) {
	t.Helper()
	most := (highest.PerSecond*quotaWindow.Seconds() + highest.Burst) * (1 + quotaOvershoot)
	worst, sum, from := 0.0, 0.0, 0
	for _, c := range charges {
		for sum += c.units; c.at.Sub(charges[from].at) > quotaWindow; from++ {
			sum -= charges[from].units
		}
		worst = max(worst, sum)
	}
	t.Logf("%d requests of %s ran, at most %.0f units within %s, %.0f are allowed", len(charges), organisation, worst, quotaWindow, most)
	if worst > most {
		t.Errorf("%.0f units of %s were used within %s, %.0f are allowed", worst, organisation, quotaWindow, most)
	}
	if len(charges) == 0 {
		t.Errorf("no request of %s ran", organisation)
	}
}
