package placements

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// rankCounts returns counts by rank as text, the most urgent rank first. The log withholds maps.
func rankCounts(counts map[int]int) string {
	var list []string
	for _, rank := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%d=%d", rank, counts[rank]))
	}
	return strings.Join(list, " ")
}
