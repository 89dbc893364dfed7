package settings

import (
	"fmt"
	"strings"
)

// maxSuggestionDistance is the largest edit distance at which a name is suggested. For
// short names the limit is lower, because otherwise every other short name would match.
const maxSuggestionDistance = 2

// allowed lists the allowed names in place of an unknown one, and the name that was
// probably meant.
func allowed(unknown string, names []string) string {
	list := "allowed are " + strings.Join(names, ", ")
	if near := suggest(unknown, names); near != "" {
		return fmt.Sprintf("did you mean %q? %s", near, list)
	}
	return list
}

// suggest returns the most similar name, or "" if none is similar enough.
func suggest(unknown string, names []string) string {
	best, bound := "", min(maxSuggestionDistance, (len(unknown)+1)/2)+1
	for _, name := range names {
		if d := editDistance(strings.ToLower(unknown), strings.ToLower(name)); d < bound {
			best, bound = name, d
		}
	}
	return best
}

// editDistance returns the number of insertions, deletions and replacements of a byte that
// turn a into b.
func editDistance(a, b string) int {
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
