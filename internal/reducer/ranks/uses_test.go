package ranks

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against ranks that are taken for each other. Ranks are requested in any order and with
// gaps, and only those with enough requests count.
func TestUsesByRank(t *testing.T) {
	is := is.New(t)
	at := time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)
	var u Uses
	u.Advance(at)
	for range 3 {
		u.Request(22, 30)
		u.Request(Max-1, 10)
		u.Request(11, 60)
	}
	u.Request(0, 100)
	is.Equal(u.MostUrgent(), 11) // a single request of rank 0 is not enough
	is.True(u.Several())
	is.True(u.MoreUrgent(11).None())
	is.Equal(u.MoreUrgent(22), Demand{requests: 3, units: 180})
	is.Equal(u.MoreUrgent(Max), Demand{requests: 9, units: 300})
	is.Equal(u.Part(22), 90.0/400)
	is.Equal(u.Part(12), 0.0)
	is.True(!u.InUse(12) && !u.Behind(12))
	u.Advance(at.Add(time.Minute))
	is.True(!u.Several())
	is.Equal(u.MostUrgent(), 0)
}

// Guards against work on each request that grows with the number of possible ranks: few of them
// are requested.
func TestUsesHoldOnlyRequestedRanks(t *testing.T) {
	is := is.New(t)
	var u Uses
	for rank := 0; rank < Max; rank += Max / 4 {
		u.Request(rank, 1)
		u.Settle(rank, 1, 1)
	}
	is.True(!u.Behind(Max-1) && u.Part(1) == 0)
	is.Equal(len(u.uses), 4)
}

func TestLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(Limit(-1), 0)
	is.Equal(Limit(Max), Max-1)
}
