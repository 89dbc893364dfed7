package policy

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestPatientItemsAdvanceUnderUrgentLoad guards against the starvation of patient items
// under a steady load of urgent items.
func TestPatientItemsAdvanceUnderUrgentLoad(t *testing.T) {
	is := is.New(t)
	var q FairQueue[string]
	q.Push(false, "org", 1, "brief")
	taken := 0
	for {
		q.Push(true, "org", 1, "ping")
		item, _ := q.Pop()
		if item == "brief" {
			break
		}
		taken++
	}
	is.Equal(taken, maxUrgentRun)
}

// TestSharesOfOrganisations guards against one organisation's burst of items that delays
// all other organisations.
func TestSharesOfOrganisations(t *testing.T) {
	is := is.New(t)
	var q FairQueue[string]
	for range 100 {
		q.Push(false, "flood", 1, "flood")
	}
	for range 20 {
		q.Push(false, "double", 2, "double")
		q.Push(false, "small", 1, "small")
	}
	got := map[string]int{}
	for range 40 {
		item, _ := q.Pop()
		got[item]++
	}
	is.Equal(got["double"], 20)
	is.True(got["small"] >= 9 && got["small"] <= 11)
	is.True(got["flood"] >= 9 && got["flood"] <= 11)
}

// TestIdleOrganisationAccumulatesNoTurns checks that an organisation that had no items for
// a while gets no extra turns afterwards.
func TestIdleOrganisationAccumulatesNoTurns(t *testing.T) {
	is := is.New(t)
	var q FairQueue[string]
	for range 50 {
		q.Push(false, "steady", 1, "steady")
		_, _ = q.Pop()
	}
	for range 10 {
		q.Push(false, "steady", 1, "steady")
		q.Push(false, "back", 1, "back")
	}
	got := map[string]int{}
	for range 10 {
		item, _ := q.Pop()
		got[item]++
	}
	is.True(got["steady"] >= 4)
}

// TestFairQueueKeepsItems checks that no item is lost, duplicated or reordered within one
// organisation and urgency.
func TestFairQueueKeepsItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q FairQueue[string]
		held := map[string]bool{}
		lastOf := map[string]int{}
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			org := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org")
			urgent := rapid.Bool().Draw(t, "urgent")
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0, 1:
				item := fmt.Sprintf("%v %s %d", urgent, org, i)
				q.Push(urgent, org, 1, item)
				held[item] = true
			case 2:
				item, found := q.Pop()
				if found != (len(held) > 0) || found && !held[item] {
					t.Fatalf("popped %q from a queue of %d items", item, len(held))
				}
				delete(held, item)
				checkOrder(t, item, lastOf)
			default:
				for item := range held {
					var itemUrgent bool
					var itemOrg string
					var n int
					_, _ = fmt.Sscanf(item, "%t %s %d", &itemUrgent, &itemOrg, &n)
					if !q.Remove(itemUrgent, itemOrg, item) {
						t.Fatalf("item %q not found", item)
					}
					delete(held, item)
					break
				}
			}
			if q.Len() != len(held) {
				t.Fatalf("length is %d, want %d", q.Len(), len(held))
			}
		}
	})
}

func checkOrder(t *rapid.T, item string, lastOf map[string]int) {
	if item == "" {
		return
	}
	var urgent bool
	var org string
	var n int
	_, _ = fmt.Sscanf(item, "%t %s %d", &urgent, &org, &n)
	key := fmt.Sprint(urgent, org)
	if last, seen := lastOf[key]; seen && n < last {
		t.Fatalf("item %q was popped after item %d", item, last)
	}
	lastOf[key] = n
}
