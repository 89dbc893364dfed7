package capacity

import "fmt"

// Slope is a measured cost: a constant, or values at several sizes.
type Slope struct {
	// Name is the name by which the tables refer to the slope.
	Name string `toml:"name"`
	// Description describes the measured cost in a sentence for the page.
	Description string `toml:"what"`
	// Unit is the unit of the second number of the points: µs, ms, s, B, kB or MB.
	Unit string `toml:"unit"`
	// SizeName describes what the first number of the points counts; it is empty if there is
	// only one point.
	SizeName string `toml:"of"`
	// Command is the short name of the command that measures the points.
	Command string `toml:"command"`
	// Flat is true if the cost does not grow with the size; its value is then the mean.
	Flat bool `toml:"flat"`
	// Points are pairs of a size and the value that was measured at it.
	Points [][2]float64 `toml:"points"`
}

// Line is the function Fixed + Each × size, in seconds or bytes.
type Line struct {
	Fixed float64
	Each  float64
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Fixed + l.Each*size }

// units maps each unit to its factor to seconds or bytes.
var units = map[string]float64{"µs": 1e-6, "ms": 1e-3, "s": 1, "B": 1, "kB": 1e3, "MB": 1e6}

// UnitError reports a slope with an unknown unit.
type UnitError struct{ Slope, Unit string }

// Error implements error.
func (e *UnitError) Error() string {
	return fmt.Sprintf("slope %s: unknown unit %q; allowed are µs, ms, s, B, kB, MB", e.Slope, e.Unit)
}

// PointsError reports a slope without points, or with several points that all have the
// same size.
type PointsError struct{ Slope string }

// Error implements error.
func (e *PointsError) Error() string {
	return fmt.Sprintf("slope %s: one point, or points at two different sizes, are needed", e.Slope)
}

// Fit returns the least-squares line through the points, in seconds or bytes. A single
// point and a flat slope give a constant.
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
