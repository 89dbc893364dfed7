package oriolebend

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Organisation is one organisation of callers of declared routes.
type Organisation struct {
	Name string `json:"name" cbor:"name"`
	// Keys are the credentials that its callers show; without one, nobody can call for it.
	Keys []KeyDigest `json:"keys,omitempty" cbor:"keys,omitempty"`
	// Rank goes before the rank of routes; nil leaves it to them.
	Rank *int `json:"rank,omitempty" cbor:"rank,omitempty"`
	// Quota bounds what its callers may ask for, over all forwarders together.
	Quota Quota `json:"quota,omitzero" cbor:"quota"`
}

// QuotaUnit is what a quota counts.
type QuotaUnit string

// Units of quotas.
const (
	// QuotaRequests counts each request as one.
	QuotaRequests QuotaUnit = "requests"
	// QuotaTokens counts the tokens of a request's prompt and those of its output at most.
	QuotaTokens QuotaUnit = "tokens"
)

// Quota is a token bucket: PerSecond on average, and Burst at once.
type Quota struct {
	// Unit is what is counted; empty means QuotaRequests.
	Unit QuotaUnit `json:"unit,omitempty" cbor:"unit,omitempty"`
	// PerSecond bounds the units a second; zero means no bound.
	PerSecond float64 `json:"perSecond,omitempty" cbor:"perSecond,omitempty"`
	// Burst is how many units may be saved up for later.
	Burst float64 `json:"burst,omitempty" cbor:"burst,omitempty"`
	// PlainTokens is what a request counts under QuotaTokens that states no tokens.
	PlainTokens int `json:"plainTokens,omitempty" cbor:"plainTokens,omitempty"`
}

// Bounded reports whether there is a bound at all.
func (q Quota) Bounded() bool { return q.PerSecond > 0 }

// Cost is what a request counts; tokens is zero for one that states none.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case q.Unit != QuotaTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(q.PlainTokens)
}

// KeyDigest is the SHA-256 of a key that callers show. It stands for the key wherever the
// key itself is not needed, so that who reads a routing, a log or a snapshot can't call as
// the organisation.
type KeyDigest [sha256.Size]byte

// digestPrefix begins the text of a digest.
const digestPrefix = "sha256:"

// DigestKey is the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String implements fmt.Stringer.
func (d KeyDigest) String() string { return digestPrefix + hex.EncodeToString(d[:]) }

// Short begins String: enough to tell the keys of one routing apart.
func (d KeyDigest) Short() string { return digestPrefix + hex.EncodeToString(d[:shortDigest]) }

// shortDigest is the bytes of a digest that Short shows.
const shortDigest = 4

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a key, or the text of a digest of one. Errors are *KeyError.
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

// KeyError is a key that can't be used. It does not quote the key.
type KeyError struct{ Detail string }

// Error implements error.
func (e *KeyError) Error() string { return "a key " + e.Detail }

// checkOrganisations finds what is wrong with a routing's organisations.
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
