package experiment

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const modelName = "model"

// arrival is one request of the load. Arrivals are drawn before any policy runs, so
// that all policies get the same requests at the same times for one seed.
type arrival struct {
	id    string
	at    time.Duration
	class *Class
	// entry is the index of the entry to which the platform's load balancer sends
	// the request.
	entry        int
	organisation string
	promptTokens int
	outputTokens int
	// prefixID identifies the shared prefix of the prompt and is zero if the prompt has
	// none. ownID identifies the rest of the prompt.
	prefixID uint64
	ownID    uint64
}

// plan draws the arrivals of a seed: an open load with a Poisson process for each
// class.
func plan(s *Scenario, seed uint64, factor float64) []arrival {
	var all []arrival
	for i := range s.Classes {
		c := &s.Classes[i]
		rate := c.Rate
		if c.Name == s.Vary.Class {
			rate *= factor
		}
		// Each class has its own random stream, so that its arrivals stay the same
		// when the rate of another class varies.
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		all = append(all, c.draw(s, rng, rate)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

func (c *Class) draw(s *Scenario, rng *rand.Rand, rate float64) []arrival {
	var drawn []arrival
	if rate <= 0 {
		return nil
	}
	at := 0.0
	for n := uint64(1); ; n++ {
		at += rng.ExpFloat64() / rate
		if at >= time.Duration(min(s.Duration, c.Until)).Seconds() {
			return drawn
		}
		a := arrival{
			id:           fmt.Sprintf("%s-%d", c.Name, n),
			at:           time.Duration(at * float64(time.Second)),
			class:        c,
			entry:        rng.IntN(s.Entries),
			organisation: fmt.Sprintf("org-%d", rng.IntN(c.Organisations)),
			promptTokens: c.PromptTokens.draw(rng),
			outputTokens: c.OutputTokens.draw(rng),
			ownID:        rng.Uint64() | 1,
		}
		if c.Prefixes > 0 {
			a.prefixID = hashPair(uint64(rng.IntN(c.Prefixes)+1), uint64(len(c.Name)))
		}
		if a.at >= time.Duration(c.From) {
			drawn = append(drawn, a)
		}
	}
}

func (r Range) draw(rng *rand.Rand) int {
	if rng.IntN(2) == 0 {
		return r.Min + rng.IntN(r.Median-r.Min+1)
	}
	return r.Median + rng.IntN(r.Max-r.Median+1)
}

// block returns the hash of the first n blocks of the prompt.
func (a *arrival) block(n int) uint64 {
	if a.prefixID != 0 && n*prefix.BlockTokens <= a.class.PrefixTokens {
		return hashPair(a.prefixID, uint64(n))
	}
	return hashPair(a.ownID, uint64(n))
}

// hashPair returns a hash of two numbers.
func hashPair(a, b uint64) uint64 {
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:8], a)
	binary.LittleEndian.PutUint64(bytes[8:], b)
	return xxhash.Sum64(bytes[:])
}

// hashes returns the hashes of the prompt's prefixes that the entry sends, at block
// counts that double: 1, 2, 4 and so on.
func (a *arrival) hashes() []uint64 {
	var hashes []uint64
	for n := 1; n <= a.promptTokens/prefix.BlockTokens && len(hashes) < prefix.MaxHashes; n *= 2 {
		hashes = append(hashes, a.block(n))
	}
	return hashes
}

func (a *arrival) request() entry.Request {
	return entry.Request{
		ID:            a.id,
		Scope:         message.Scope{Organisation: a.organisation, Operation: a.class.Name, Key: a.id},
		Generated:     true,
		Urgency:       a.class.Urgency,
		Model:         modelName,
		PromptTokens:  a.promptTokens,
		Prefix:        a.hashes(),
		MaxTokens:     a.class.OutputTokens.Max,
		FirstWithin:   time.Duration(a.class.FirstWithin),
		BetweenWithin: time.Duration(a.class.BetweenWithin),
		KeepRunning:   a.class.Urgency == oriolebend.Patient,
	}
}
