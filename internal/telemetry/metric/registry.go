package metric

import (
	"cmp"
	"slices"
	"strings"
)

// maxSeries bounds the series of a Registry. Attribute values come from the configuration and the endpoint list, both
// of which may be long.
const maxSeries = 2048

// Attr is one attribute of a series.
type Attr struct{ Key, Value string }

// Series is a metric with one set of attributes: the value of a counter or gauge, or a histogram.
type Series struct {
	Name        string
	Unit        string
	Description string
	Attrs       []Attr
	Kind        Kind
	Value       float64
	Histogram   *Histogram
}

// Kind is the kind of a metric.
type Kind uint8

// The kinds.
const (
	Counter Kind = iota // cumulative since the start, never decreases
	Gauge
	Distribution
)

// Registry holds all series of a sender. It is not safe for concurrent use.
type Registry struct {
	series map[string]*Series
	// Overflow counts the values that were discarded because their series would have exceeded maxSeries.
	Overflow uint64
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry { return &Registry{series: map[string]*Series{}} }

// Descriptor describes a metric.
type Descriptor struct {
	Name, Unit, Description string
	Kind                    Kind
}

// findOrCreate returns the series of a metric with these attributes, or nil if the Registry is full. A metric must
// always list its attributes in the same order.
func (r *Registry) findOrCreate(d *Descriptor, attrs []Attr) *Series {
	var b strings.Builder
	b.WriteString(d.Name)
	for _, a := range attrs {
		b.WriteByte(0)
		b.WriteString(a.Value)
	}
	key := b.String()
	series := r.series[key]
	if series == nil {
		if len(r.series) >= maxSeries {
			r.Overflow++
			return nil
		}
		series = &Series{Name: d.Name, Unit: d.Unit, Description: d.Description, Kind: d.Kind, Attrs: slices.Clone(attrs)}
		if d.Kind == Distribution {
			series.Histogram = NewHistogram()
		}
		r.series[key] = series
	}
	return series
}

// Add adds v to a counter, or records v in a histogram.
func (r *Registry) Add(d *Descriptor, v float64, attrs ...Attr) {
	series := r.findOrCreate(d, attrs)
	switch {
	case series == nil:
	case series.Histogram != nil:
		series.Histogram.Add(v)
	default:
		series.Value += v
	}
}

// Set sets a gauge, or a counter that is maintained elsewhere.
func (r *Registry) Set(d *Descriptor, v float64, attrs ...Attr) {
	if series := r.findOrCreate(d, attrs); series != nil {
		series.Value = v
	}
}

// AllSeries returns all series, sorted by metric name and attribute values.
func (r *Registry) AllSeries() []*Series {
	list := make([]*Series, 0, len(r.series))
	for _, series := range r.series {
		list = append(list, series)
	}
	slices.SortFunc(list, func(a, b *Series) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), slices.CompareFunc(a.Attrs, b.Attrs, func(x, y Attr) int { return cmp.Compare(x.Value, y.Value) }))
	})
	return list
}
