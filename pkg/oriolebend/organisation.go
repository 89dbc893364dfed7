package oriolebend

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Organisation is an organisation whose callers use declared routes.
type Organisation struct {
	Name string `json:"name" cbor:"name"`
	// Keys are the digests of the credentials that its callers present; without a key,
	// nobody can call on behalf of the organisation.
	Keys []KeyDigest `json:"keys,omitempty" cbor:"keys,omitempty"`
	// Rank overrides the rank of the route; nil means the rank of the route.
	Rank *int `json:"rank,omitempty" cbor:"rank,omitempty"`
	// Quota bounds the requests or tokens of its callers over all forwarders together.
	Quota Quota `json:"quota,omitzero" cbor:"quota"`
}

// QuotaUnit is what a quota counts.
type QuotaUnit string

// Units of quotas.
const (
	// QuotaRequests counts each request as one.
	QuotaRequests QuotaUnit = "requests"
	// QuotaTokens counts the tokens of a request's prompt and the maximum of its output.
	QuotaTokens QuotaUnit = "tokens"
)

// Quota is a token bucket: PerSecond is the average rate, Burst the capacity.
type Quota struct {
	// Unit is the unit that is counted; empty means QuotaRequests.
	Unit QuotaUnit `json:"unit,omitempty" cbor:"unit,omitempty"`
	// PerSecond bounds the units per second; zero means no bound.
	PerSecond float64 `json:"perSecond,omitempty" cbor:"perSecond,omitempty"`
	// Burst is how many unused units may accumulate.
	Burst float64 `json:"burst,omitempty" cbor:"burst,omitempty"`
	// PlainTokens is the cost under QuotaTokens of a request that states no tokens.
	PlainTokens int `json:"plainTokens,omitempty" cbor:"plainTokens,omitempty"`
}

// Bounded reports whether the quota sets a bound.
func (q Quota) Bounded() bool { return q.PerSecond > 0 }

// Cost returns the units that a request consumes; tokens is zero for a request that
// states none.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case q.Unit != QuotaTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(q.PlainTokens)
}

// KeyDigest is the SHA-256 of a key that callers present. It replaces the key wherever the
// key itself is not needed, so that a reader of a routing, a log or a snapshot can't call
// on behalf of the organisation.
type KeyDigest [sha256.Size]byte

// digestPrefix is the prefix of the text form of a digest.
const digestPrefix = "sha256:"

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String implements fmt.Stringer.
func (d KeyDigest) String() string { return digestPrefix + hex.EncodeToString(d[:]) }

// Short returns the beginning of String, which is enough to distinguish the keys of one
// routing.
func (d KeyDigest) Short() string { return digestPrefix + hex.EncodeToString(d[:shortDigest]) }

// shortDigest is how many bytes of a digest Short includes.
const shortDigest = 4

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a key or the text form of its digest. Errors are *KeyError.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		return &KeyError{Detail: "is empty"}
	}
	encoded, isDigest := strings.CutPrefix(string(text), digestPrefix)
	if !isDigest {
		*d = DigestKey(string(text))
		return nil
	}
	raw, err := hex.DecodeString(encoded)
	if err != nil || len(raw) != len(d) {
		return &KeyError{Detail: fmt.Sprintf("begins with %q and is no digest", digestPrefix)}
	}
	copy(d[:], raw)
	return nil
}

// KeyError reports an invalid key. Its text does not quote the key.
type KeyError struct{ Detail string }

// Error implements error.
func (e *KeyError) Error() string { return "a key " + e.Detail }

// checkOrganisations validates the organisations of a routing.
func (r Routing) checkOrganisations(c *checker) {
	names := map[string]bool{}
	owners := map[KeyDigest]string{}
	for i, o := range r.Organisations {
		if o.Name == "" {
			c.add(indexed("organisations", i, "name"), "is empty", "a name")
		}
		if names[o.Name] {
			c.add(indexed("organisations", i, "name"), "is given twice", "names that differ")
		}
		names[o.Name] = true
		for _, key := range o.Keys {
			if owner, taken := owners[key]; taken && owner != o.Name {
				c.add(indexed("organisations", i, "keys"), fmt.Sprintf("of %q hold a key that %q has as well", o.Name, owner), "keys that one organisation holds")
			}
			owners[key] = o.Name
		}
		o.Quota.check(c, i)
	}
}

func (q Quota) check(c *checker, at int) {
	switch q.Unit {
	case "", QuotaRequests, QuotaTokens:
	default:
		c.add(indexed("organisations", at, "quota.unit"), "is not known", "requests or tokens")
	}
	if q.PerSecond < 0 || q.Burst < 0 || q.PlainTokens < 0 {
		c.add(indexed("organisations", at, "quota"), "has a number below 0", "numbers from 0")
	}
}
