package capacity

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const pageFile = "../../docs/CAPACITY.md"

// TestPageFollowsFromTheSlopes checks the figures of the page. A figure that does not follow
// from the slopes would mislead capacity planning.
func TestPageFollowsFromTheSlopes(t *testing.T) {
	is := is.New(t)
	data, err := Load()
	is.NoErr(err)
	page, err := os.ReadFile(pageFile)
	is.NoErr(err)
	want, err := Rewrite(string(page), data)
	is.NoErr(err)
	if want != string(page) {
		t.Error("docs/CAPACITY.md does not follow from slopes.toml; run: go run ./internal/tools/capacity")
	}
}

func TestChangedSlopeChangesThePage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(pageFile)
	is.NoErr(err)
	data, err := Load()
	is.NoErr(err)
	for i := range data.Slopes {
		changed := data
		changed.Slopes = append([]Slope(nil), data.Slopes...)
		changed.Slopes[i].Points = [][2]float64{{0, 7e5}, {1, 8e5}}
		changed.Slopes[i].Flat = false
		rewritten, err := Rewrite(string(page), changed)
		is.NoErr(err)
		figures, _, _ := strings.Cut(rewritten, "## Slopes")
		before, _, _ := strings.Cut(string(page), "## Slopes")
		if figures == before {
			t.Errorf("slope %s changes no figure", data.Slopes[i].Name)
		}
	}
}

func TestFit(t *testing.T) {
	for name, c := range map[string]struct {
		slope Slope
		want  Line
		err   bool
	}{
		"constant":     {Slope{Unit: "ms", Points: [][2]float64{{1, 5}}}, Line{Fixed: 0.005}, false},
		"line":         {Slope{Unit: "B", Points: [][2]float64{{0, 2}, {10, 22}, {20, 42}}}, Line{Fixed: 2, Each: 2}, false},
		"least square": {Slope{Unit: "B", Points: [][2]float64{{0, 0}, {1, 2}, {2, 1}}}, Line{Fixed: 0.5, Each: 0.5}, false},
		"flat":         {Slope{Unit: "B", Flat: true, Points: [][2]float64{{0, 1}, {10, 3}}}, Line{Fixed: 2}, false},
		"one size":     {Slope{Unit: "B", Points: [][2]float64{{1, 2}, {1, 3}}}, Line{}, true},
		"no points":    {Slope{Unit: "B"}, Line{}, true},
		"no unit":      {Slope{Unit: "m", Points: [][2]float64{{1, 5}}}, Line{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			line, err := c.slope.Fit()
			is.Equal(err != nil, c.err)
			is.True(max(line.Fixed-c.want.Fixed, c.want.Fixed-line.Fixed) < 1e-9)
			is.True(max(line.Each-c.want.Each, c.want.Each-line.Each) < 1e-9)
		})
	}
}

func TestSlopesMatchTables(t *testing.T) {
	is := is.New(t)
	data, err := Load()
	is.NoErr(err)
	for _, s := range data.Slopes {
		_, known := data.Commands[s.Command]
		is.True(known) // each slope has a command that repeats its measurement
	}
	without, with := data, data
	without.Slopes = data.Slopes[1:]
	_, err = Tables(without)
	var missing *MissingError
	is.True(errors.As(err, &missing))
	is.Equal(missing.Names, []string{data.Slopes[0].Name})
	with.Slopes = append([]Slope{{Name: "new", Unit: "s", Points: [][2]float64{{1, 1}}}}, data.Slopes...)
	_, err = Tables(with)
	var unused *UnusedError
	is.True(errors.As(err, &unused))
	_, err = Rewrite("no tables", data)
	var table *TableError
	is.True(errors.As(err, &table))
	_, err = Parse([]byte("[size]\nentrys = 1"))
	is.True(err != nil) // an unknown key is an error
}
