package capacity

import "fmt"

// Slope is one measured cost, or how it grows with a size.
type Slope struct {
	// Name is what the sums call it.
	Name string `toml:"name"`
	// What says what was measured, in a sentence for the page.
	What string `toml:"what"`
	// Unit is that of the points' second number: µs, ms, s, B, kB or MB.
	Unit string `toml:"unit"`
	// Of names what the first number of the points counts; empty if there is
	// one point only.
	Of string `toml:"of"`
	// Command is the row of the data file's commands that gives the points.
	Command string `toml:"command"`
	// Flat is true for what does not grow with the size: its mean counts.
	Flat bool `toml:"flat"`
	// Points are the sizes with what was measured there.
	Points [][2]float64 `toml:"points"`
}

// Line is fixed + each × size, in seconds or bytes.
type Line struct {
	Fixed float64
	Each  float64
}

// At is the line's value at a size.
func (l Line) At(size float64) float64 { return l.Fixed + l.Each*size }

// units are the factors to seconds and bytes.
var units = map[string]float64{"µs": 1e-6, "ms": 1e-3, "s": 1, "B": 1, "kB": 1e3, "MB": 1e6}

// UnitError is a slope with a unit that is not known.
type UnitError struct{ Slope, Unit string }

// Error implements error.
func (e *UnitError) Error() string {
	return fmt.Sprintf("slope %s: unknown unit %q; allowed are µs, ms, s, B, kB, MB", e.Slope, e.Unit)
}

// PointsError is a slope without points, or with several at one size only.
type PointsError struct{ Slope string }

// Error implements error.
func (e *PointsError) Error() string {
	return fmt.Sprintf("slope %s: points at one size or two are needed", e.Slope)
}

// Fit is the line of least squares through the points, in seconds or bytes; a
// single point is a constant, and so is the mean of a flat slope.
func (s Slope) Fit() (Line, error) {
	factor, ok := units[s.Unit]
	if !ok {
		return Line{}, &UnitError{Slope: s.Name, Unit: s.Unit}
	}
	if len(s.Points) == 1 {
		return Line{Fixed: s.Points[0][1] * factor}, nil
	}
	var meanX, meanY float64
	for _, p := range s.Points {
		meanX += p[0] / float64(len(s.Points))
		meanY += p[1] * factor / float64(len(s.Points))
	}
	if s.Flat && len(s.Points) > 0 {
		return Line{Fixed: meanY}, nil
	}
	var covariance, variance float64
	for _, p := range s.Points {
		covariance += (p[0] - meanX) * (p[1]*factor - meanY)
		variance += (p[0] - meanX) * (p[0] - meanX)
	}
	if variance == 0 {
		return Line{}, &PointsError{Slope: s.Name}
	}
	each := covariance / variance
	return Line{Fixed: meanY - each*meanX, Each: each}, nil
}
