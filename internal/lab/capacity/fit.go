package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is the value measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is the line value = Base + Slope * size, fitted to measured points.
type Fit struct {
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	Residual float64 `json:"residual"` // root mean square of the relative residuals; 0.1 is 10 %
}

// At returns the fitted value at a size.
func (f Fit) At(size float64) float64 { return f.Base + f.Slope*size }

// FitLine fits a line by least squares of the relative residuals. Sizes span several powers of ten, and relative
// residuals give the smallest size the same weight as the largest. Points of value 0 have no relative residual: they
// count as residuals of 0 in Fit.Residual.
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
			relativeError := f.At(p.Size)/p.Value - 1
			sum += relativeError * relativeError
		}
	}
	f.Residual = math.Sqrt(sum / float64(len(points)))
	return f
}

// Series holds the results of one measurement at all its sizes. The last point is excluded from the fit and checks its
// forecast.
type Series struct {
	Name        string  `json:"name"`
	Role        string  `json:"role"`
	Description string  `json:"what"`
	Unit        string  `json:"unit"`
	Per         string  `json:"per"`     // one unit of size
	RealProcess bool    `json:"process"` // measured on a separate sender process rather than in the measuring process
	Points      []Point `json:"points"`
	Fit         Fit     `json:"fit"`
}

// Largest returns the point of the largest size, which the fit excludes.
func (s *Series) Largest() Point { return s.Points[len(s.Points)-1] }

// ForecastError returns the relative error of the fit at the largest point: forecast / measured - 1.
func (s *Series) ForecastError() float64 {
	last := s.Largest()
	return s.Fit.At(last.Size)/last.Value - 1
}

// fitAllButLargest fits all points except the last.
func (s *Series) fitAllButLargest() { s.Fit = FitLine(s.Points[:len(s.Points)-1]) }
