package metric

import (
	"cmp"
	"slices"
	"strings"
)

// most bounds the series of a Set: attributes come from the configuration and the list, which may be long.
const most = 2048

// Attr is one attribute of a series.
type Attr struct{ Key, Value string }

// Point is one series: a counter's or gauge's value, or a histogram.
type Point struct {
	Name  string
	Unit  string
	Doc   string
	Attrs []Attr
	Kind  Kind
	Value float64
	Hist  *Histogram
}

// Kind tells the series apart.
type Kind uint8

// The kinds.
const (
	Counter Kind = iota // grows only, since the start
	Gauge
	Distribution
)

// Set is all series of a sender. It is for one goroutine.
type Set struct {
	points map[string]*Point
	// Overflow counts what came for series that were one too many.
	Overflow uint64
}

// NewSet returns an empty Set.
func NewSet() *Set { return &Set{points: map[string]*Point{}} }

// Def names a metric.
type Def struct {
	Name, Unit, Doc string
	Kind            Kind
}

// point is the series of a metric with these attributes, in the order in which the metric always has them; nil
// if there are too many.
func (s *Set) point(d *Def, attrs []Attr) *Point {
	var b strings.Builder
	b.WriteString(d.Name)
	for _, a := range attrs {
		b.WriteByte(0)
		b.WriteString(a.Value)
	}
	key := b.String()
	p := s.points[key]
	if p == nil {
		if len(s.points) >= most {
			s.Overflow++
			return nil
		}
		p = &Point{Name: d.Name, Unit: d.Unit, Doc: d.Doc, Kind: d.Kind, Attrs: slices.Clone(attrs)}
		if d.Kind == Distribution {
			p.Hist = NewHistogram()
		}
		s.points[key] = p
	}
	return p
}

// Add adds to a counter, or a value to a histogram.
func (s *Set) Add(d *Def, v float64, attrs ...Attr) {
	p := s.point(d, attrs)
	switch {
	case p == nil:
	case p.Hist != nil:
		p.Hist.Add(v)
	default:
		p.Value += v
	}
}

// Put sets a gauge, or a counter that is counted elsewhere.
func (s *Set) Put(d *Def, v float64, attrs ...Attr) {
	if p := s.point(d, attrs); p != nil {
		p.Value = v
	}
}

// Points is all series, those of a metric together.
func (s *Set) Points() []*Point {
	list := make([]*Point, 0, len(s.points))
	for _, p := range s.points {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *Point) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), slices.CompareFunc(a.Attrs, b.Attrs, func(x, y Attr) int { return cmp.Compare(x.Value, y.Value) }))
	})
	return list
}
