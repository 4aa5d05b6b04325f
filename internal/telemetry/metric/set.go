package metric

import (
	"cmp"
	"slices"
	"strings"
)

// most bounds the series of a Set: attributes come from the configuration and the list, which may be long.
const maxSeries = 2048

// Attr is one attribute of a series.
type Attr struct{ Key, Value string }

// Point is one series: a counter's or gauge's value, or a histogram.
type Series struct {
	Name        string
	Unit        string
	Description string
	Attrs       []Attr
	Kind        Kind
	Value       float64
	Histogram   *Histogram
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
type Registry struct {
	series map[string]*Series
	// Overflow counts what came for series that were one too many.
	Overflow uint64
}

// NewSet returns an empty Set.
func NewRegistry() *Registry { return &Registry{series: map[string]*Series{}} }

// Def names a metric.
type Descriptor struct {
	Name, Unit, Description string
	Kind                    Kind
}

// point is the series of a metric with these attributes, in the order in which the metric always has them; nil
// if there are too many.
func (s *Registry) find(d *Descriptor, attrs []Attr) *Series {
	var b strings.Builder
	b.WriteString(d.Name)
	for _, a := range attrs {
		b.WriteByte(0)
		b.WriteString(a.Value)
	}
	key := b.String()
	p := s.series[key]
	if p == nil {
		if len(s.series) >= maxSeries {
			s.Overflow++
			return nil
		}
		p = &Series{Name: d.Name, Unit: d.Unit, Description: d.Description, Kind: d.Kind, Attrs: slices.Clone(attrs)}
		if d.Kind == Distribution {
			p.Histogram = NewHistogram()
		}
		s.series[key] = p
	}
	return p
}

// Add adds to a counter, or a value to a histogram.
func (s *Registry) Add(d *Descriptor, v float64, attrs ...Attr) {
	p := s.find(d, attrs)
	switch {
	case p == nil:
	case p.Histogram != nil:
		p.Histogram.Add(v)
	default:
		p.Value += v
	}
}

// Put sets a gauge, or a counter that is counted elsewhere.
func (s *Registry) Set(d *Descriptor, v float64, attrs ...Attr) {
	if p := s.find(d, attrs); p != nil {
		p.Value = v
	}
}

// Points is all series, those of a metric together.
func (s *Registry) AllSeries() []*Series {
	list := make([]*Series, 0, len(s.series))
	for _, p := range s.series {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *Series) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), slices.CompareFunc(a.Attrs, b.Attrs, func(x, y Attr) int { return cmp.Compare(x.Value, y.Value) }))
	})
	return list
}
