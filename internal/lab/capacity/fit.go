package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is a line through points: value = Base + Slope * size.
type Fit struct {
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	Residual float64 `json:"residual"` // root mean square of the relative residuals
}

// At is the fitted value at a size.
func (f Fit) At(size float64) float64 { return f.Base + f.Slope*size }

// FitLine fits a line by least squares of the relative residuals, so that a point counts as much at the smallest size as
// at the largest; sizes span several powers of ten.
func FitLine(points []Point) Fit {
	sizes, values, weights := make([]float64, len(points)), make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		sizes[i], values[i] = p.Size, p.Value
		weights[i] = 1 / math.Max(p.Value*p.Value, math.SmallestNonzeroFloat32)
	}
	base, slope := stat.LinearRegression(sizes, values, weights, false)
	f := Fit{Base: base, Slope: slope}
	sum := 0.0
	for _, p := range points {
		if p.Value != 0 {
			miss := f.At(p.Size)/p.Value - 1
			sum += miss * miss
		}
	}
	f.Residual = math.Sqrt(sum / float64(len(points)))
	return f
}

// Series is one measurement at all its sizes. The last point is left out of the fit, which foretells it.
type Series struct {
	Name        string  `json:"name"`
	Role        string  `json:"role"`
	Description string  `json:"what"`
	Unit        string  `json:"unit"`
	Per         string  `json:"per"`
	RealProcess bool    `json:"process"` // measured on a real process, else in the measuring one
	Points      []Point `json:"points"`
	Fit         Fit     `json:"fit"`
}

// Largest is the point that was left out of the fit.
func (s *Series) Largest() Point { return s.Points[len(s.Points)-1] }

// Missed is by how much the forecast of the largest point missed what was measured, as a share of the latter.
func (s *Series) ForecastError() float64 {
	last := s.Largest()
	return s.Fit.At(last.Size)/last.Value - 1
}

// fit fits the points but the last.
func (s *Series) fitAllButLargest() { s.Fit = FitLine(s.Points[:len(s.Points)-1]) }
