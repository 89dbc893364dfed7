package policy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous is the weight of a member for a key, by rendezvous hashing: all who know the
// members agree on their order, and one that comes or goes moves only its own keys.
func Rendezvous(key, member string) uint64 {
	return xxhash.Sum64String(key + "\x00" + member)
}

// Nearest are the members, count at most, that come first for a key by rendezvous hashing.
func Nearest(key string, members []string, count int) []string {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b string) int {
		return cmp.Compare(Rendezvous(key, a), Rendezvous(key, b))
	})
	return sorted[:min(count, len(sorted))]
}
