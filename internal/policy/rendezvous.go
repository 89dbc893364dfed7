package policy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the weight of a member for a key in rendezvous hashing. All processes
// that know the same members agree on their order, and adding or removing a member moves
// only the keys of that member.
func Rendezvous(key, member string) uint64 {
	return xxhash.Sum64String(key + "\x00" + member)
}

// Nearest returns the members, at most count, with the lowest weights for a key in rendezvous
// hashing, in ascending order of the weights.
func Nearest(key string, members []string, count int) []string {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b string) int {
		return cmp.Compare(Rendezvous(key, a), Rendezvous(key, b))
	})
	return sorted[:min(count, len(sorted))]
}
