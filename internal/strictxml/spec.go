// Package strictxml reads small XML documents described by a specification, a tree of Elements, and generates the XML
// Schema from the same specification, so that reader and schema cannot diverge. All values are attributes. Anything
// that the specification does not describe is refused with an error that states the line, the problem and what is
// allowed.
//
// The package is independent of what the documents configure, and keeps no state between calls.
package strictxml

import (
	"regexp"
	"strings"
	"time"
)

// Element specifies an element of the document. It may occur at most once in its parent, unless it is repeated.
type Element[T any] struct {
	Name, Doc string
	Attrs     []Attribute[T]
	Children  []Element[T]
	Repeated  bool     // it may occur any number of times
	Unique    string   // attribute of a repeated element whose values must differ; empty: none
	Add       func(*T) // called at the start of each repeated element, to append an item; required if Repeated
}

// Attribute specifies an attribute of an element.
type Attribute[T any] struct {
	Name, Doc string
	Required  bool
	Default   string // value if the document omits the attribute, in the document's notation
	Values    Values
	SetNumber func(*T, int64)  // stores the value that Values.Parse returns; may be nil
	SetText   func(*T, string) // stores the text; may be nil
}

// Values is the set of allowed values of an attribute: numbers, with or without a unit, words or texts. Parse turns a
// value into a number: an integer, nanoseconds, bytes, or the index of a word in its list.
type Values struct {
	units       []unit // integers with one of these units, from lo to hi
	lo          int64  // as Parse returns it, such as nanoseconds
	hi          int64
	words       []string       // or these words
	text        *regexp.Regexp // or the texts that match this expression; nil: none
	description string         // description of the texts, for messages
}

type unit struct {
	name string
	size int64
}

var (
	timeUnits = []unit{
		{"ms", int64(time.Millisecond)}, {"s", int64(time.Second)}, {"m", int64(time.Minute)},
		{"h", int64(time.Hour)}, {"d", 24 * int64(time.Hour)},
	}
	sizeUnits = []unit{{"B", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}}
)

// Duration returns the durations from lo to hi, such as 250ms.
func Duration(lo, hi time.Duration) Values {
	return Values{units: timeUnits, lo: int64(lo), hi: int64(hi)}
}

// Size returns the numbers of bytes from lo to hi, such as 64KiB.
func Size(lo, hi int64) Values { return Values{units: sizeUnits, lo: lo, hi: hi} }

// Integer returns the integers from lo to hi.
func Integer(lo, hi int64) Values { return Values{units: []unit{{"", 1}}, lo: lo, hi: hi} }

// Text returns the texts that match the whole of pattern; description describes them in messages and in the schema.
func Text(pattern, description string) Values {
	return Values{text: regexp.MustCompile("^(" + pattern + ")$"), description: description}
}

// OneOf returns the given words. Parse turns a word into its index.
func OneOf(words ...string) Values { return Values{words: words} }

// ApplyDefaults stores the default values of e and its children in f. The defaults of a repeated element are stored
// when an item is read.
func (e *Element[T]) ApplyDefaults(f *T) {
	e.applyOwnDefaults(f)
	for i := range e.Children {
		if !e.Children[i].Repeated {
			e.Children[i].ApplyDefaults(f)
		}
	}
}

// applyOwnDefaults stores the default values of e's own attributes in f.
func (e *Element[T]) applyOwnDefaults(f *T) {
	for i := range e.Attrs {
		if a := &e.Attrs[i]; a.SetNumber != nil && a.Default != "" {
			v, _ := a.Values.Parse(a.Default)
			a.SetNumber(f, v)
		}
		if a := &e.Attrs[i]; a.SetText != nil && a.Default != "" {
			a.SetText(f, a.Default)
		}
	}
}

// child returns the child of that name, nil if e may not contain it.
func (e *Element[T]) child(name string) *Element[T] {
	for i := range e.Children {
		if e.Children[i].Name == name {
			return &e.Children[i]
		}
	}
	return nil
}

// attr returns the attribute of that name, nil if e may not have it.
func (e *Element[T]) attr(name string) *Attribute[T] {
	for i := range e.Attrs {
		if e.Attrs[i].Name == name {
			return &e.Attrs[i]
		}
	}
	return nil
}

// childNames lists the elements allowed in e, for a message.
func (e *Element[T]) childNames() string {
	var names []string
	for i := range e.Children {
		names = append(names, "<"+e.Children[i].Name+">")
	}
	if len(names) == 0 {
		return "no elements here"
	}
	return strings.Join(names, ", ")
}

// attrNames lists the attributes allowed in e, for a message.
func (e *Element[T]) attrNames() string {
	names := make([]string, len(e.Attrs))
	for i := range e.Attrs {
		names[i] = e.Attrs[i].Name
	}
	return strings.Join(names, ", ")
}
