package ranks

import (
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Guards against a rank out of range that overflows and becomes the most urgent, and against a
// rank of a route that puts a request before those of a more urgent organisation.
func TestCombine(t *testing.T) {
	is := is.New(t)
	inOrder := []int{
		Combine(math.MinInt, 0), Combine(-1, 0), Combine(0, -20), Combine(0, 5), Combine(0, math.MaxInt),
		Combine(1, -20), Combine(1, 1), Combine(2, 0), Combine(math.MaxInt, 0),
	}
	is.True(slices.IsSorted(inOrder))
	is.Equal(len(slices.Compact(inOrder)), 9)
	is.Equal(Combine(0, -20), Combine(0, 0))
	is.Equal(Combine(0, math.MaxInt), Combine(0, routeRanks-1))
}
