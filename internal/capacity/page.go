package capacity

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// TableError reports a page without the markers of a table.
type TableError struct{ Table string }

// Error implements error.
func (e *TableError) Error() string {
	return fmt.Sprintf("the page has no <!-- table %s --> followed by <!-- end -->", e.Table)
}

// measured returns the table of slopes.
func (d Data) measured() Table {
	t := Table{Name: "slopes", Head: []string{"slope", "measured", "of", "points", "fitted line", "by"}}
	for _, s := range d.Slopes {
		var points []string
		for _, p := range s.Points {
			if len(s.Points) == 1 {
				points = append(points, fmt.Sprintf("%g %s", p[1], s.Unit))
				continue
			}
			points = append(points, fmt.Sprintf("%g: %g", p[0], p[1]))
		}
		fitted := ""
		if line, err := s.Fit(); err == nil && len(s.Points) > 1 {
			factor := units[s.Unit]
			fitted = fmt.Sprintf("%.3g + %.3g × n %s", line.Fixed/factor, line.Each/factor, s.Unit)
			if s.Flat {
				fitted = fmt.Sprintf("%.3g %s, mean", line.Fixed/factor, s.Unit)
			}
		}
		t.Rows = append(t.Rows, []string{s.Name, s.Description, s.SizeName, strings.Join(points, ", "), fitted, s.Command})
	}
	return t
}

// commandTable returns the table of commands.
func (d Data) commandTable() Table {
	t := Table{Name: "commands", Head: []string{"by", "command"}}
	for _, name := range slices.Sorted(maps.Keys(d.Commands)) {
		t.Rows = append(t.Rows, []string{name, "`" + d.Commands[name] + "`"})
	}
	return t
}

// markdown formats the table in Markdown.
func (t Table) markdown() string {
	var b strings.Builder
	row := func(cells []string) { fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | ")) }
	row(t.Head)
	rule := make([]string, len(t.Head))
	for i := range rule {
		rule[i] = "---"
	}
	row(rule)
	for _, r := range t.Rows {
		row(r)
	}
	return b.String()
}

// Rewrite returns the page with its tables recomputed. Each table is between
// <!-- table NAME --> and <!-- end -->.
func Rewrite(page string, d Data) (string, error) {
	tables, err := Tables(d)
	if err != nil {
		return "", err
	}
	for _, t := range tables {
		marker := fmt.Sprintf("<!-- table %s -->\n", t.Name)
		before, rest, found := strings.Cut(page, marker)
		_, after, ended := strings.Cut(rest, "<!-- end -->")
		if !found || !ended {
			return "", &TableError{Table: t.Name}
		}
		page = before + marker + t.markdown() + "<!-- end -->" + after
	}
	return page, nil
}
