// Package operate holds the set of endpoints that operators disabled. A disabled endpoint counts as draining for this
// sender, whatever state discovery lists, until an operator enables it again. The package does no I/O and reads no
// clock. The set's text form is the content of the file in the state directory that preserves the set over restarts.
package operate

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"sliptide/policy"
)

// Bounds on the set.
const (
	MaxDisabled = 64                                 // endpoints disabled at once
	MaxIDLength = 128                                // bytes of an endpoint id
	fileHeader  = "sliptide endpoints taken out 1\n" // first line of the text form
	// MaxEncodedSize is the largest size of the text form in bytes: the header and a line for each endpoint.
	MaxEncodedSize = len(fileHeader) + MaxDisabled*(MaxIDLength+1)
)

// The errors of an operator's call.
var (
	ErrNeverListed     = errors.New("no list has named this endpoint")
	ErrMalformedID     = errors.New("an endpoint id is 1 to 128 bytes of printable ASCII without blanks")
	ErrTooManyDisabled = fmt.Errorf("%d endpoints are taken out already, the most there may be", MaxDisabled)
)

// CheckID returns ErrMalformedID unless id is a valid endpoint id of discovery.
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

// DisabledSet is the set of endpoints disabled by operators. The zero value is empty and ready for use.
type DisabledSet struct{ ids map[string]bool }

// Has reports whether the endpoint is disabled.
func (s DisabledSet) Has(id string) bool { return s.ids[id] }

// Len returns the number of disabled endpoints.
func (s DisabledSet) Len() int { return len(s.ids) }

// Set disables or enables the endpoint. It is idempotent: setting the state that the endpoint already has changes
// nothing and is not an error. On ErrMalformedID or ErrTooManyDisabled the set is unchanged.
func (s *DisabledSet) Set(id string, disabled bool) error {
	if err := CheckID(id); err != nil {
		return err
	}
	switch {
	case !disabled:
		delete(s.ids, id)
	case s.ids[id]:
	case len(s.ids) >= MaxDisabled:
		return ErrTooManyDisabled
	default:
		if s.ids == nil {
			s.ids = map[string]bool{}
		}
		s.ids[id] = true
	}
	return nil
}

// EffectiveState returns the state that an endpoint has for this sender, given its state listed by discovery: a
// disabled endpoint that is listed as ready counts as draining; every other state is unchanged.
func (s DisabledSet) EffectiveState(id string, listed policy.EndpointState) policy.EndpointState {
	if listed == policy.Ready && s.ids[id] {
		return policy.Draining
	}
	return listed
}

// IDs returns the disabled endpoints in ascending order.
func (s DisabledSet) IDs() []string {
	list := make([]string, 0, len(s.ids))
	for id := range s.ids {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// Clone returns a deep copy.
func (s DisabledSet) Clone() DisabledSet {
	clone := DisabledSet{}
	for id := range s.ids {
		clone.Set(id, true)
	}
	return clone
}

// Encode returns the text form: a header, then one id per line.
func (s DisabledSet) Encode() []byte {
	b := []byte(fileHeader)
	for _, id := range s.IDs() {
		b = append(b, id...)
		b = append(b, '\n')
	}
	return b
}

// Parse reads the text form. Empty text is an empty set: no endpoint was ever disabled.
func Parse(text []byte) (DisabledSet, error) {
	var s DisabledSet
	if len(text) == 0 {
		return s, nil
	}
	rest, ok := bytes.CutPrefix(text, []byte(fileHeader))
	if !ok || len(text) > MaxEncodedSize || len(rest) > 0 && rest[len(rest)-1] != '\n' {
		return s, errors.New("disabled endpoints: unknown header, oversized or truncated text")
	}
	for i, line := range strings.Split(strings.TrimSuffix(string(rest), "\n"), "\n") {
		if line == "" && len(rest) == 0 {
			break
		}
		if err := s.Set(line, true); err != nil {
			return DisabledSet{}, fmt.Errorf("disabled endpoints, line %d: %w", i+2, err)
		}
	}
	return s, nil
}
