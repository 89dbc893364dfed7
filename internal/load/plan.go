package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Request is one planned request.
type Request struct {
	Number int
	// At is when the request is due, from the start of the load.
	At           time.Duration
	Class        int
	Organisation int
	PromptTokens int
	OutputTokens int
	// Prefix is the number of the prompt's shared prefix.
	Prefix int
	// CancelAfter is the time from when the request is due to its cancellation; zero
	// means that it is not cancelled.
	CancelAfter time.Duration
	// Duplicate is true if the request is sent a second time with the same key.
	Duplicate bool
}

// Plan returns the requests of a description in the order in which they are due. The
// same description always gives the same plan.
func Plan(d Description) []Request {
	random := rand.New(rand.NewPCG(d.Seed, d.Seed^0x9e3779b97f4a7c15))
	clock := arrivalClock{arrivals: d.Arrivals, rate: d.Rate, random: random}
	var plan []Request
	for len(plan) < d.Requests {
		at := clock.next()
		if at >= time.Duration(d.Duration) {
			break
		}
		plan = append(plan, d.planRequest(random, len(plan), at))
	}
	return plan
}

func (d *Description) planRequest(random *rand.Rand, number int, at time.Duration) Request {
	r := Request{Number: number, At: at}
	r.Class = pickShare(random, len(d.Classes), func(i int) float64 { return d.Classes[i].Share })
	r.Organisation = pickShare(random, len(d.Organisations), func(i int) float64 { return d.Organisations[i].Share })
	c := d.Classes[r.Class]
	r.PromptTokens = c.PromptTokens.draw(random)
	if c.Kind != KindCall {
		r.OutputTokens = c.OutputTokens.draw(random)
	}
	if c.Prefixes > 0 {
		r.Prefix = random.IntN(c.Prefixes)
	}
	drawn := random.Float64()
	switch {
	case drawn < c.CancelShare:
		r.CancelAfter = 1 + time.Duration(random.Int64N(int64(c.CancelAfter)))
	case drawn < c.CancelShare+c.DuplicateShare:
		r.Duplicate = true
	}
	return r
}

// pickShare draws an index at random, with probabilities proportional to the shares.
func pickShare(random *rand.Rand, count int, share func(int) float64) int {
	total := 0.0
	for i := range count {
		total += share(i)
	}
	left := random.Float64() * total
	for i := range count {
		left -= share(i)
		if left < 0 {
			return i
		}
	}
	return count - 1
}

// draw draws a value of the distribution.
func (s Spread) draw(random *rand.Rand) int {
	low, high := s.Min, s.Median
	if random.Float64() < 0.5 {
		low, high = s.Median, s.Max
	}
	from, to := math.Log(float64(low)), math.Log(float64(high))
	return int(math.Round(math.Exp(from + random.Float64()*(to-from))))
}

// arrivalClock draws the times at which requests are due.
type arrivalClock struct {
	arrivals Arrivals
	rate     float64
	random   *rand.Rand
	now      time.Duration
	started  bool
}

// next returns the next time. Bursts are drawn by thinning: arrivals are drawn at the
// rate within bursts, and dropped at random where the present rate is lower.
func (c *arrivalClock) next() time.Duration {
	if c.arrivals.Kind == ArriveEven {
		if c.started {
			c.now += time.Duration(float64(time.Second) / c.rate)
		}
		c.started = true
		return c.now
	}
	highest := c.rate
	if c.arrivals.Kind == ArriveBursts {
		highest = c.rate * c.arrivals.BurstFactor
	}
	for {
		c.now += time.Duration(c.random.ExpFloat64() / highest * float64(time.Second))
		if c.random.Float64()*highest < c.currentRate() {
			return c.now
		}
	}
}

// currentRate returns the rate at the clock's time. Between bursts the rate is reduced so
// that the mean is the rate of the description.
func (c *arrivalClock) currentRate() float64 {
	a := c.arrivals
	if a.Kind != ArriveBursts {
		return c.rate
	}
	every, length := time.Duration(a.BurstEvery), time.Duration(a.BurstFor)
	if c.now%every < length {
		return c.rate * a.BurstFactor
	}
	share := float64(length) / float64(every)
	return c.rate * (1 - share*a.BurstFactor) / (1 - share)
}

// words are the words of prompts; each counts as one token.
var words = strings.Fields("road bridge camp depot truck medicine river ford tent water rice fuel driver " +
	"manifest crossing load axle ton north south rain mud gate warehouse pallet route hour night tab bill " +
	"waiter table bottle card receipt tip split total guest round dispute bank settle amount peso order closed")

// prompt builds the prompt of a request: its shared prefix, then its number and
// random words. The same request of the same description has the same prompt.
func (d *Description) prompt(r Request) string {
	c := d.Classes[r.Class]
	var text strings.Builder
	shared := 0
	if c.Prefixes > 0 {
		shared = c.PrefixTokens
		writeWords(&text, rand.New(rand.NewPCG(uint64(r.Class)+1, uint64(r.Prefix)+1)), shared)
	}
	fmt.Fprintf(&text, " n%d", r.Number)
	writeWords(&text, rand.New(rand.NewPCG(d.Seed, uint64(r.Number))), r.PromptTokens-shared-1)
	return text.String()
}

func writeWords(text *strings.Builder, random *rand.Rand, count int) {
	for range count {
		text.WriteByte(' ')
		text.WriteString(words[random.IntN(len(words))])
	}
}
