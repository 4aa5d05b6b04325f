// Package experiment reads and validates the lab's experiment files: the parameters of a world, the dimensions in
// which they vary, and the seeds. The strict reader and the schema are both derived from one table, as for the
// operators' file. Package runner runs experiments.
package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"sliptide/internal/lab/world"
	"sliptide/internal/strictxml"
)

const (
	maxPoints = 4096    // points of a grid
	maxRuns   = 1 << 16 // runs of an experiment
)

// File is one experiment.
type File struct {
	Name       string
	About      string
	World      world.Params
	Dimensions []Dimension
	FirstSeed  int
	SeedCount  int
}

// Dimension is one dimension of the grid: a parameter and its values.
type Dimension struct {
	Name   string
	Values []string
}

// Point is one point of the grid. Its labels identify it.
type Point struct {
	Labels []string // values of the dimensions, in their order
	Params world.Params
}

func (p *Point) String() string { return strings.Join(p.Labels, " ") }

// fileSpec returns the elements and attributes of experiment files.
func fileSpec() *strictxml.Element[File] {
	type attribute = strictxml.Attribute[File]
	last := func(f *File) *Dimension { return &f.Dimensions[len(f.Dimensions)-1] }
	var names []string
	var attrs []attribute
	for _, p := range worldParams() {
		names = append(names, p.Name)
		attrs = append(attrs, attribute{Name: p.Name, Doc: p.Doc, Default: p.Default, Values: p.Values,
			SetNumber: func(f *File, v int64) { p.SetNumber(&f.World, v) }})
	}
	return &strictxml.Element[File]{
		Name: "experiment", Doc: "A world of senders, clients and partners, and what is varied in it.",
		Attrs: []attribute{{
			Name: "version", Required: true, Doc: "The version of the file format.", Values: strictxml.OneOf("1"),
		}, {
			Name: "name", Required: true, Doc: "The name of its results.", Values: strictxml.Text("[a-z0-9-]{1,60}", "lowercase letters, digits and dashes"),
			SetText: func(f *File, v string) { f.Name = v },
		}, {
			Name: "about", Doc: "What the experiment shows.", Values: strictxml.Text("[^<>]{1,1000}", "a sentence"),
			SetText: func(f *File, v string) { f.About = v },
		}},
		Children: []strictxml.Element[File]{{
			Name: "world", Doc: "The world's parameters. Partner 0 goes down and comes back; all others stay up.", Attrs: attrs,
		}, {
			Name: "vary", Doc: "One dimension of the grid.", Repeated: true, Unique: "name",
			Add: func(f *File) { f.Dimensions = append(f.Dimensions, Dimension{}) },
			Attrs: []attribute{{
				Name: "name", Required: true, Doc: "The attribute of world that varies.", Values: strictxml.OneOf(names...),
				SetNumber: func(f *File, v int64) { last(f).Name = names[v] },
			}, {
				Name: "values", Required: true, Doc: "The values of this attribute, in the order of the results.", Values: strictxml.Text("[^ <>]+( [^ <>]+)*", "values separated by single spaces"),
				SetText: func(f *File, v string) { last(f).Values = strings.Fields(v) },
			}},
		}, {
			Name: "seeds", Doc: "Each point runs once for each seed.",
			Attrs: []attribute{{
				Name: "first", Default: "1", Doc: "The first seed.", Values: strictxml.Integer(0, 1e9),
				SetNumber: func(f *File, v int64) { f.FirstSeed = int(v) },
			}, {
				Name: "count", Default: "5", Doc: "The number of seeds.", Values: strictxml.Integer(1, 10000),
				SetNumber: func(f *File, v int64) { f.SeedCount = int(v) },
			}},
		}},
	}
}

// Schema returns the XML Schema of experiment files.
func Schema() string {
	return strictxml.Schema(fileSpec(), `The schema of the lab's experiment files. "sliptide lab schema" writes it.`)
}

// Load reads the experiment file at path. Errors are of type *strictxml.Error.
func Load(path string) (*File, error) {
	f, err := strictxml.Open(path, fileSpec())
	if err != nil {
		return nil, err
	}
	return f, f.check(path)
}

// Read reads an experiment. Errors, of type *strictxml.Error, give name as the file's name.
func Read(name string, in io.Reader) (*File, error) {
	f, err := strictxml.Read(name, in, fileSpec())
	if err != nil {
		return nil, err
	}
	return f, f.check(name)
}

// check validates what the table cannot express: the values of the dimensions, and the size of the grid and of each
// world.
func (f *File) check(name string) error {
	points := 1
	for _, v := range f.Dimensions {
		p := findParam(v.Name)
		for i, text := range v.Values {
			if _, ok := p.Values.Parse(text); !ok {
				return &strictxml.Error{File: name, What: fmt.Sprintf("vary %s: value %q", v.Name, text), Allowed: p.Values.String()}
			}
			if slices.Contains(v.Values[:i], text) {
				return &strictxml.Error{File: name, What: fmt.Sprintf("vary %s: value %q is listed twice", v.Name, text), Allowed: "once"}
			}
		}
		if points *= len(v.Values); points > maxPoints {
			return &strictxml.Error{File: name, What: "too many points in the grid", Allowed: fmt.Sprintf("%d points at most", maxPoints)}
		}
	}
	if points*f.SeedCount > maxRuns {
		return &strictxml.Error{File: name, What: fmt.Sprintf("%d runs", points*f.SeedCount), Allowed: fmt.Sprintf("%d at most", maxRuns)}
	}
	for _, p := range f.Points() {
		if n := p.Params.Partners * p.Params.Endpoints; n > 20000 {
			return &strictxml.Error{File: name, What: fmt.Sprintf("%d endpoints", n), Allowed: "20000 at most, over all partners"}
		}
	}
	return nil
}

// Points returns the grid; the last dimension varies fastest.
func (f *File) Points() []Point {
	points := []Point{{Params: f.World}}
	for _, v := range f.Dimensions {
		p := findParam(v.Name)
		var next []Point
		for _, point := range points {
			for _, text := range v.Values {
				n := Point{Labels: append(slices.Clone(point.Labels), text), Params: point.Params}
				value, _ := p.Values.Parse(text)
				p.SetNumber(&n.Params, value)
				next = append(next, n)
			}
		}
		points = next
	}
	return points
}

// findParam returns the parameter of the given name, which must exist.
func findParam(name string) *strictxml.Attribute[world.Params] {
	list := worldParams()
	i := slices.IndexFunc(list, func(p strictxml.Attribute[world.Params]) bool { return p.Name == name })
	return &list[i]
}
