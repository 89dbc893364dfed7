package load

import (
	"fmt"
	"image/color"
	"math"
	"sort"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// lowestMillis is the start of the latency axis. headroom is the factor between
	// the longest latency and the end of the axis, where marks are drawn.
	lowestMillis = 1
	headroom     = 2
)

// PlotTimeline writes PREFIX.png and PREFIX.svg: percentiles of the time to the first
// token over time, the seconds with requests that got no complete answer, and a line
// at each failure of the schedule.
func PlotTimeline(prefix string, r Report) error {
	p := plot.New()
	p.Title.Text = "time to first token, run " + r.Run
	p.X.Label.Text = "seconds from the start"
	p.Y.Label.Text = "milliseconds"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	lines := []struct {
		name  string
		value func(Second) float64
	}{
		{"p50", func(s Second) float64 { return s.FirstToken.P50 }},
		{"p95", func(s Second) float64 { return s.FirstToken.P95 }},
		{"p99", func(s Second) float64 { return s.FirstToken.P99 }},
	}
	p.Y.Min, p.Y.Max = lowestMillis, lowestMillis
	for i, line := range lines {
		if err := addLine(p, i, line.name, timePoints(r.Timeline, line.value)); err != nil {
			return err
		}
	}
	p.Y.Max *= headroom
	if err := markIncomplete(p, r.Timeline); err != nil {
		return err
	}
	for _, failure := range injectedFailures(r) {
		if err := markFailure(p, failure); err != nil {
			return err
		}
	}
	return save(p, prefix)
}

func timePoints(seconds []Second, value func(Second) float64) plotter.XYs {
	points := make(plotter.XYs, 0, len(seconds))
	for _, s := range seconds {
		if s.FirstToken.Count > 0 {
			points = append(points, plotter.XY{X: float64(s.Second), Y: value(s)})
		}
	}
	return points
}

// markIncomplete marks, at the top, each second in which requests were due that got no
// complete answer.
func markIncomplete(p *plot.Plot, seconds []Second) error {
	var points plotter.XYs
	for _, s := range seconds {
		if s.Incomplete > 0 {
			points = append(points, plotter.XY{X: float64(s.Second), Y: p.Y.Max})
		}
	}
	if len(points) == 0 {
		return nil
	}
	marks, err := plotter.NewScatter(points)
	if err != nil {
		return fmt.Errorf("plot requests without a complete answer: %w", err)
	}
	marks.Shape, marks.Color = draw.CrossGlyph{}, color.RGBA{R: 200, A: 255}
	p.Add(marks)
	p.Legend.Add("no whole answer", marks)
	return nil
}

func addLine(p *plot.Plot, number int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	line.Color = plotutil.Color(number)
	marks.Color = plotutil.Color(number)
	marks.Radius = vg.Points(1.5)
	p.Add(line, marks)
	p.Legend.Add(name, line)
	return nil
}

// injectedFailures returns the failures that were due by the start of the run's last
// second. A run that was ended early did not inject the others.
func injectedFailures(r Report) []Failure {
	last := 0
	for _, s := range r.Timeline {
		last = max(last, s.Second)
	}
	var injected []Failure
	for _, f := range r.Failures {
		if time.Duration(f.At) <= time.Duration(last)*time.Second {
			injected = append(injected, f)
		}
	}
	return injected
}

// markFailure draws a vertical line with the name of the failure along it, so that the
// names of failures at similar times stay readable.
func markFailure(p *plot.Plot, f Failure) error {
	at := time.Duration(f.At).Seconds()
	top := plotter.XY{X: at, Y: p.Y.Max}
	line, err := plotter.NewLine(plotter.XYs{{X: at, Y: p.Y.Min}, top})
	if err != nil {
		return fmt.Errorf("plot a failure: %w", err)
	}
	line.Color = color.Gray{Y: 96}
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{top}, Labels: []string{f.Do + " " + f.Target}})
	if err != nil {
		return fmt.Errorf("plot a failure: %w", err)
	}
	label.TextStyle[0].Rotation = math.Pi / 2
	label.TextStyle[0].XAlign = draw.XRight
	p.Add(line, label)
	return nil
}

// PlotGoodput writes PREFIX.png and PREFIX.svg: goodput over the offered load, with a
// line for each class of the report with the lowest load.
func PlotGoodput(prefix string, reports []Report) error {
	sort.Slice(reports, func(i, j int) bool { return reports[i].OfferedRate < reports[j].OfferedRate })
	p := plot.New()
	p.Title.Text = "goodput under both targets"
	p.X.Label.Text = "requests a second offered"
	p.Y.Label.Text = "share of requests"
	p.Y.Min, p.Y.Max = 0, 1
	for i, class := range reports[0].Classes {
		if err := addLine(p, i, class.Name, goodputPoints(reports, class.Name)); err != nil {
			return err
		}
	}
	return save(p, prefix)
}

func goodputPoints(reports []Report, class string) plotter.XYs {
	var points plotter.XYs
	for _, r := range reports {
		for _, c := range r.Classes {
			if c.Name == class {
				points = append(points, plotter.XY{X: r.OfferedRate, Y: c.GoodShare})
			}
		}
	}
	return points
}

func save(p *plot.Plot, prefix string) error {
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for _, format := range []string{".png", ".svg"} {
		if err := p.Save(plotWidth, plotHeight, prefix+format); err != nil {
			return fmt.Errorf("save a plot: %w", err)
		}
	}
	return nil
}
