package quota

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/policy"
)

const (
	// holderLifetime is for how long a holder of quota leases is queried first after an answer
	// has named it. A holder that fails is replaced within two lease times.
	holderLifetime = time.Second
	// searchInterval is the interval at which a forwarder searches for a second holder while a
	// holder of half refuses requests.
	searchInterval = 200 * time.Millisecond
	// maxHolders is the number of control VMs that can each hold half.
	maxHolders = 2
)

// holders are the control VMs that have answered under quota leases, or were named by others.
type holders struct {
	// named maps an address to when it was named last.
	named map[string]time.Time
	// searched is when a second holder was last searched for.
	searched time.Time
}

// list returns the holders named last, the latest at the end.
func (h *holders) list(now time.Time) []string {
	if len(h.named) == 0 {
		return nil
	}
	maps.DeleteFunc(h.named, func(_ string, at time.Time) bool { return now.Sub(at) > holderLifetime })
	list := slices.SortedFunc(maps.Keys(h.named), func(a, b string) int {
		return cmp.Or(h.named[a].Compare(h.named[b]), cmp.Compare(a, b))
	})
	return list[max(0, len(list)-maxHolders):]
}

// noteHolder records what an answer states about the holders.
func (c *Client) noteHolder(address string, answer message.QuotaAnswer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	named, now := c.holders.named, time.Now()
	_, known := named[address]
	switch {
	case answer.Share > 0 || known && answer.Known: // a holder of all states no share
		named[address] = now
	case answer.Holder != "":
		delete(named, address)
		named[answer.Holder] = now
	}
}

// queueAfter returns the control VMs to query after an answer that granted nothing. The first queried of
// them were queried already.
func (c *Client) queueAfter(ctx context.Context, organisation string, queue []string, queried int, answer message.QuotaAnswer) []string {
	done := queue[:queried]
	holder := answer.Holder
	switch {
	case answer.Known && answer.Share == 0:
		return done // the answer counts for the whole quota
	case answer.Known:
		// Only another holder may grant more. Reserves must not serve requests beyond the quota.
		return append(done, c.otherHolders(ctx, organisation, done)...)
	case holder != "" && !slices.Contains(done, holder) && c.reachable(holder):
		return queueNext(queue, queried, holder)
	}
	return queue
}

// queueNext moves or inserts an address at an index of the queue, so that it is queried only once.
func queueNext(queue []string, index int, address string) []string {
	rest := slices.DeleteFunc(queue[index:], func(a string) bool { return a == address })
	return slices.Insert(queue[:index+len(rest)], index, address)
}

// otherHolders returns the holders to query after a holder of half has refused.
func (c *Client) otherHolders(ctx context.Context, organisation string, queried []string) []string {
	others := c.unqueried(queried)
	if len(others) == 0 && c.beginSearch(len(queried)) {
		c.searchHolders(ctx, organisation, queried)
		others = c.unqueried(queried)
	}
	return others
}

func (c *Client) unqueried(queried []string) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	return slices.DeleteFunc(c.holders.list(now), func(a string) bool {
		return slices.Contains(queried, a) || now.Before(c.unreachable[a])
	})
}

// beginSearch reports whether a search for a second holder is due.
func (c *Client) beginSearch(queried int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	if queried > maxHolders || now.Sub(c.holders.searched) < searchInterval {
		return false
	}
	c.holders.searched = now
	return true
}

// searchHolders asks control VMs for the holder of their leases until one names a holder that was
// not queried.
func (c *Client) searchHolders(ctx context.Context, organisation string, queried []string) {
	controls := slices.DeleteFunc(c.Controls(), func(a string) bool {
		return slices.Contains(queried, a) || !c.reachable(a)
	})
	for _, address := range policy.Nearest(organisation, controls, maxFollowers) {
		answer, err := c.request(ctx, address, false, message.QuotaAsk{})
		if err != nil && ctx.Err() == nil {
			c.markUnreachable(address, err)
		}
		if err == nil && (answer.Share > 0 || answer.Holder != "" && !slices.Contains(queried, answer.Holder)) {
			return
		}
	}
}
