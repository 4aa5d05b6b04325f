// Package operate holds what the operators have said by hand, and what follows from it: the endpoints that
// they took out, which count as draining for this sender whatever discovery lists, until they are put back.
// It is pure: no I/O, no clock. Its text form is what the lasting folder keeps over an upgrade.
package operate

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"sliptide/policy"
)

// Bounds on what is kept.
const (
	MaxDisabled = 64  // endpoints taken out at once
	MaxIDLength = 128 // bytes of an endpoint's id
	header      = "sliptide endpoints taken out 1\n"
	// MaxText bounds the text form: a header and a line for each endpoint.
	MaxEncodedSize = len(header) + MaxDisabled*(MaxIDLength+1)
)

// The errors of a call by hand.
var (
	ErrNeverListed     = errors.New("no list has named this endpoint")
	ErrMalformedID     = errors.New("an endpoint id is 1 to 128 bytes of printable ASCII without blanks")
	ErrTooManyDisabled = fmt.Errorf("%d endpoints are taken out already, the most there may be", MaxDisabled)
)

// CheckID reports whether id can be an endpoint's id as discovery names it.
func CheckID(id string) error {
	if len(id) == 0 || len(id) > MaxIDLength {
		return ErrMalformedID
	}
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return ErrMalformedID
		}
	}
	return nil
}

// Out is the set of endpoints taken out by hand. The zero value is empty and ready for use.
type DisabledSet struct{ ids map[string]bool }

// Has reports whether the endpoint is taken out.
func (o DisabledSet) Has(id string) bool { return o.ids[id] }

// Len is how many are taken out.
func (o DisabledSet) Len() int { return len(o.ids) }

// Set takes the endpoint out (out) or puts it back. Taking out one that is out, or putting back one that
// is not, changes nothing and is no error: calls may be repeated.
func (o *DisabledSet) Set(id string, out bool) error {
	if err := CheckID(id); err != nil {
		return err
	}
	switch {
	case !out:
		delete(o.ids, id)
	case o.ids[id]:
	case len(o.ids) >= MaxDisabled:
		return ErrTooManyDisabled
	default:
		if o.ids == nil {
			o.ids = map[string]bool{}
		}
		o.ids[id] = true
	}
	return nil
}

// State is the state that an endpoint has for this sender when discovery lists it as listed: one that is
// taken out drains, and one that is gone stays gone.
func (o DisabledSet) EffectiveState(id string, listed policy.EndpointState) policy.EndpointState {
	if listed == policy.Ready && o.ids[id] {
		return policy.Draining
	}
	return listed
}

// IDs are the endpoints taken out, in order.
func (o DisabledSet) IDs() []string {
	list := make([]string, 0, len(o.ids))
	for id := range o.ids {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// Clone is a copy that shares nothing.
func (o DisabledSet) Clone() DisabledSet {
	c := DisabledSet{}
	for id := range o.ids {
		c.Set(id, true)
	}
	return c
}

// Text is the text form: a header, then one id a line.
func (o DisabledSet) Encode() []byte {
	b := []byte(header)
	for _, id := range o.IDs() {
		b = append(b, id...)
		b = append(b, '\n')
	}
	return b
}

// Parse reads the text form. Empty text is an empty set: nothing was ever taken out.
func Parse(text []byte) (DisabledSet, error) {
	var o DisabledSet
	if len(text) == 0 {
		return o, nil
	}
	rest, ok := bytes.CutPrefix(text, []byte(header))
	if !ok || len(text) > MaxEncodedSize || len(rest) > 0 && rest[len(rest)-1] != '\n' {
		return o, errors.New("endpoints taken out: not in the form that this version writes")
	}
	for i, line := range strings.Split(strings.TrimSuffix(string(rest), "\n"), "\n") {
		if line == "" && len(rest) == 0 {
			break
		}
		if err := o.Set(line, true); err != nil {
			return DisabledSet{}, fmt.Errorf("endpoints taken out, line %d: %w", i+2, err)
		}
	}
	return o, nil
}
