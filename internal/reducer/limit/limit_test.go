package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The limit shrinks to the work that the servers carry, once in each period,
// and grows again while it holds work back.
func TestConcurrencyAdapts(t *testing.T) {
	is := is.New(t)
	c := NewConcurrency(Config{Start: 40})
	for range 20 {
		is.True(c.Acquire())
	}
	c.Refused(start)
	shrunk := c.Limit()
	is.True(shrunk < 20)
	is.True(!c.Acquire())
	c.Refused(start.Add(time.Millisecond))
	is.Equal(c.Limit(), shrunk)
	now := start
	for range 100 {
		now = now.Add(time.Hour)
		c.Refused(now)
	}
	is.Equal(c.Limit(), 4.0) // the minimum: work always continues
	for range 200 {
		c.Succeeded()
	}
	is.True(c.Limit() > 40 && c.Limit() < 41) // with 20 running the limit holds nothing back
	for range 20 {
		c.Release()
	}
	is.Equal(c.Running(), 0)
}

func TestRate(t *testing.T) {
	is := is.New(t)
	var free Rate
	for range 100 {
		_, allowed := free.Allow(start)
		is.True(allowed)
	}
	r := Rate{PerSecond: 2, Burst: 3}
	for range 3 {
		_, allowed := r.Allow(start)
		is.True(allowed)
	}
	after, allowed := r.Allow(start)
	is.True(!allowed)
	is.Equal(after, 500*time.Millisecond)
	_, allowed = r.Allow(start.Add(after))
	is.True(allowed)
}
