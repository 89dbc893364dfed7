package settings

import (
	"fmt"
	"strings"
)

// nearMiss is the largest number of edits at which a name is suggested; short
// names allow fewer, or every other short name would be a suggestion.
const nearMiss = 2

// allowed says which names may stand in place of one that is not known, and
// which of them was probably meant.
func allowed(got string, names []string) string {
	list := "allowed are " + strings.Join(names, ", ")
	if near := suggest(got, names); near != "" {
		return fmt.Sprintf("did you mean %q? %s", near, list)
	}
	return list
}

// suggest returns the nearest name, or "" if none is near.
func suggest(got string, names []string) string {
	best, bound := "", min(nearMiss, (len(got)+1)/2)+1
	for _, name := range names {
		if d := distance(strings.ToLower(got), strings.ToLower(name)); d < bound {
			best, bound = name, d
		}
	}
	return best
}

// distance counts the insertions, deletions and replacements of a byte that
// turn a into b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
