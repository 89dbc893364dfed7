package adversary

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// SearchConfig configures a Search. Server and Start are required.
type SearchConfig struct {
	Server *Server
	// Start starts a target for one conversation, and returns a function that stops it.
	Start func() (Target, func())
	Seed  uint64
	// Tries and For bound the search; zero means no bound.
	Tries int
	For   time.Duration
	// RandomOnly draws each conversation anew, without regard to what earlier ones have shown.
	RandomOnly bool
}

// Search draws conversations, keeps those with an outcome that no other has shown, and changes them.
type Search struct {
	config SearchConfig
	random *rand.Rand
	kept   []Conversation
	seen   map[string]bool
	// Tried is the number of conversations that were played.
	Tried int
}

// Result is a conversation with a violation, as short as the search could make it.
type Result struct {
	Conversation Conversation
	Finding      Finding
	// Tries and Took are what it took to find it, without shortening it.
	Tries int
	Took  time.Duration
}

// NewSearch returns a search.
func NewSearch(c SearchConfig) *Search {
	return &Search{config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), seen: map[string]bool{}}
}

// changedShare is the share of the tries that change a conversation which was kept.
const changedShare = 0.6

// Run searches until it finds a violation; it returns nil at the end of its bounds.
func (s *Search) Run(ctx context.Context) *Result {
	began := time.Now()
	for ctx.Err() == nil && !s.exhausted(began) {
		c := s.next()
		p := s.play(ctx, c)
		s.keep(c, p)
		if found := judge(c, p); len(found) > 0 {
			r := &Result{Tries: s.Tried, Took: time.Since(began)}
			r.Conversation, r.Finding = s.shorten(ctx, c, found[0])
			return r
		}
	}
	return nil
}

func (s *Search) exhausted(began time.Time) bool {
	return (s.config.Tries > 0 && s.Tried >= s.config.Tries) || (s.config.For > 0 && time.Since(began) >= s.config.For)
}

func (s *Search) next() Conversation {
	if s.config.RandomOnly || len(s.kept) == 0 || s.random.Float64() >= changedShare {
		return Draw(s.random)
	}
	return Mutate(s.random, s.kept[s.random.IntN(len(s.kept))])
}

// Judge plays a conversation and returns its violations.
func (s *Search) Judge(ctx context.Context, c Conversation) []Finding {
	return judge(c, s.play(ctx, c))
}

func (s *Search) play(ctx context.Context, c Conversation) played {
	s.Tried++
	target, stop := s.config.Start()
	defer stop()
	return play(ctx, s.config.Server, target, c, s.Tried)
}

// keep keeps a conversation whose outcome is new: the statuses that callers received, whether the answers
// were complete, and how often each request arrived.
func (s *Search) keep(c Conversation, p played) {
	var outcome strings.Builder
	for i, r := range p.replies {
		if r.body != "" && c[i].Request != "" {
			r.status = strings.Count(r.body, "HTTP/1.1 ")
		}
		fmt.Fprint(&outcome, c[i].Route, " ", r.status, r.complete, len(arrivalsOf(p, exchangeID(p.prefix, i))), ";")
	}
	if !s.seen[outcome.String()] {
		s.seen[outcome.String()] = true
		s.kept = append(s.kept, c)
	}
}

// shortenTries bounds the plays that shorten a conversation.
const shortenTries = 60

// shorten leaves out exchanges and steps for as long as the violation remains.
func (s *Search) shorten(ctx context.Context, c Conversation, f Finding) (Conversation, Finding) {
	tries := 0
	for again := true; again; {
		again = false
		for _, shorter := range shorterThan(c) {
			if tries++; tries > shortenTries || ctx.Err() != nil {
				return c, f
			}
			if kept, ok := s.violates(ctx, shorter, f.Violation); ok {
				c, f, again = shorter, kept, true
				break
			}
		}
	}
	return c, f
}

func (s *Search) violates(ctx context.Context, c Conversation, v Violation) (Finding, bool) {
	for _, f := range s.Judge(ctx, c) {
		if f.Violation == v {
			return f, true
		}
	}
	return Finding{}, false
}

// shorterThan returns copies of a conversation that lack an exchange or a step.
func shorterThan(c Conversation) []Conversation {
	var shorter []Conversation
	for i := range c {
		if len(c) > 1 {
			shorter = append(shorter, append(append(Conversation(nil), c[:i]...), c[i+1:]...))
		}
	}
	for i, e := range c {
		for j := range e.Steps {
			changed := append(Conversation(nil), c...)
			changed[i].Steps = append(append([]Step(nil), e.Steps[:j]...), e.Steps[j+1:]...)
			shorter = append(shorter, changed)
		}
	}
	return shorter
}
