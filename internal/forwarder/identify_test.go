package forwarder

import (
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/reducer/ranks"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Guards against an organisation whose least urgent work competes as equal with its most urgent
// work: the rank of the organisation goes first, and then the rank of the route decides.
func TestRankOfOrganisationThenOfRoute(t *testing.T) {
	is := is.New(t)
	rank := func(organisation, route int) int {
		w := work{route: &oriolebend.Route{Rank: route}, organisation: &oriolebend.Organisation{}}
		if organisation >= 0 {
			w.organisation.Rank = &organisation
		}
		return ranks.Combine(w.rank(), w.route.Rank)
	}
	inOrder := []int{rank(0, 0), rank(0, 2), rank(0, 40), rank(1, 0), rank(1, 1), rank(2, 0)}
	is.True(slices.IsSorted(inOrder))
	is.Equal(len(slices.Compact(inOrder)), 6)
	is.Equal(rank(-1, 1), rank(1, 1)) // without a rank of the organisation, the route's takes its place
	is.True(rank(-1, 0) < rank(-1, 1))
	// Ranks beyond what the product can hold, or below zero, do not change the order.
	is.True(rank(math.MaxInt, 0) > rank(1, 0))
	is.True(rank(-1, math.MaxInt) > rank(-1, 1))
	is.True(rank(1, -20) > rank(0, 0))
}
