// Package strictxml reads small XML documents by a table that says all that they may hold, and writes the XML
// Schema of the same table, so that the two cannot part. Values stand in attributes; whatever the table does
// not know is refused, with the line, what is wrong and what is allowed.
//
// It knows nothing of what it reads for, opens no file but the one it is asked to, and keeps nothing.
package strictxml

import (
	"regexp"
	"strings"
	"time"
)

// Element is one element that the file may hold: at most once in its parent, unless it is repeated.
type Element[T any] struct {
	Name, Doc string
	Attrs     []Attribute[T]
	Children  []Element[T]
	Repeated  bool
	Unique    string   // attribute of a repeated element of which no value stands twice
	Add       func(*T) // a further one of a repeated element begins
}

// Attribute is one attribute of an element, with the values that it takes.
type Attribute[T any] struct {
	Name, Doc string
	Required  bool
	Default   string // the value of a file that leaves it out; read like any other
	Values    Values
	SetNumber func(*T, int64)  // takes the value that Values.parse returns,
	SetText   func(*T, string) // or the text
}

// Values is a set of values that the reader can tell and the schema can state. A value is a number:
// nanoseconds, bytes, or the place of a word in a list.
type Values struct {
	units []unit // a whole number with one of these, from lo to hi
	lo    int64
	hi    int64
	words []string       // or one of these words
	text  *regexp.Regexp // or a text that matches this; nil: none
	what  string         // the text, in words
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

// Between is a time from lo to hi, such as 250ms.
func Duration(lo, hi time.Duration) Values {
	return Values{units: timeUnits, lo: int64(lo), hi: int64(hi)}
}

// Sized is a number of bytes, such as 64KiB.
func Size(lo, hi int64) Values { return Values{units: sizeUnits, lo: lo, hi: hi} }

// Whole is a whole number from lo to hi.
func Integer(lo, hi int64) Values { return Values{units: []unit{{"", 1}}, lo: lo, hi: hi} }

// Text is what matches pattern all through; what says so in words.
func Text(pattern, what string) Values {
	return Values{text: regexp.MustCompile("^(" + pattern + ")$"), what: what}
}

// OneOf is one of the words; its number is its place among them.
func OneOf(words ...string) Values { return Values{words: words} }

// Defaults fills f with the fallbacks. A repeated element has them when it begins.
func (e *Element[T]) ApplyDefaults(f *T) {
	e.own(f)
	for i := range e.Children {
		if !e.Children[i].Repeated {
			e.Children[i].ApplyDefaults(f)
		}
	}
}

func (e *Element[T]) own(f *T) {
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

func (e *Element[T]) child(name string) *Element[T] {
	for i := range e.Children {
		if e.Children[i].Name == name {
			return &e.Children[i]
		}
	}
	return nil
}

func (e *Element[T]) attr(name string) *Attribute[T] {
	for i := range e.Attrs {
		if e.Attrs[i].Name == name {
			return &e.Attrs[i]
		}
	}
	return nil
}

// contents names what e may hold, for a message.
func (e *Element[T]) contents() string {
	var names []string
	for i := range e.Children {
		names = append(names, "<"+e.Children[i].Name+">")
	}
	if len(names) == 0 {
		return "no elements here"
	}
	return strings.Join(names, ", ")
}

func (e *Element[T]) attrNames() string {
	names := make([]string, len(e.Attrs))
	for i := range e.Attrs {
		names[i] = e.Attrs[i].Name
	}
	return strings.Join(names, ", ")
}
