package sender

import (
	"slices"

	"sliptide/policy"
)

// classTable holds every class definition that this process has seen, in order of appearance. An index never changes
// its meaning, so a message keeps its class when the settings change. A name maps to its present definition, or to the
// last one if the class was removed: a message that a client sent before the change is still accepted. A table is
// immutable once it is shared.
type classTable struct {
	all    []policy.Class
	byName map[string]int
}

func newClassTable(present []policy.Class) *classTable {
	t := &classTable{byName: map[string]int{}}
	return t.withPresent(present)
}

// withPresent returns a table with these present classes. A class with an unchanged definition keeps its index; a new
// or redefined one gets the next.
func (t *classTable) withPresent(present []policy.Class) *classTable {
	next := &classTable{all: slices.Clone(t.all), byName: make(map[string]int, len(t.byName)+len(present))}
	for name, i := range t.byName {
		next.byName[name] = i
	}
	for _, c := range present {
		if i, ok := next.byName[c.Name]; ok && next.all[i] == c {
			continue
		}
		next.byName[c.Name] = len(next.all)
		next.all = append(next.all, c)
	}
	return next
}

// unknownClass returns the index of a placeholder for the class of a restored message that the settings lack. Its
// effect is unknown, so a message that may have run is not repeated, but one that was never sent is sent: accepted
// messages must not end without a call because the settings changed between two processes. Clients cannot name the
// placeholder.
func (s *Sender) unknownClass() int {
	const longest = 24 * 3600e3 // 24 hours in milliseconds; each message keeps its own deadline
	placeholder := policy.Class{Aim: longest, Deadline: longest, Worth: 1, LateWorth: 1, Effect: policy.Unsafe}
	t := s.classes.Load()
	if i := slices.Index(t.all, placeholder); i >= 0 {
		return i
	}
	t = t.withPresent(nil)
	t.all = append(t.all, placeholder)
	s.useClasses(t, s.settings.MaxAttempts)
	return len(t.all) - 1
}

// useClasses makes a table and the allowed number of attempts current; the module uses them from the next step on.
func (s *Sender) useClasses(t *classTable, attempts int) {
	s.classes.Store(t)
	s.settings.Classes, s.settings.MaxAttempts = t.all, attempts
	s.events = append(s.events, policy.Event{Kind: policy.EvSettings, Settings: &policy.Settings{Classes: t.all, MaxAttempts: attempts}})
}

// ClassOf returns the index and the definition of the class with that name; -1 if there is none. It is safe for
// concurrent use.
func (s *Sender) ClassOf(name []byte) (int, policy.Class) {
	t := s.classes.Load()
	i, ok := t.byName[string(name)]
	if !ok {
		return -1, policy.Class{}
	}
	return i, t.all[i]
}

// UpdateSettings applies reloaded settings: new and redefined classes are in use from the next step on, and the allowed
// number of attempts applies to all messages. All other settings take effect at the next start.
func (s *Sender) UpdateSettings(set policy.Settings) { s.post(input{settings: &set}) }

func (s *Sender) handleSettings(set *policy.Settings) {
	t := s.classes.Load().withPresent(set.Classes)
	s.useClasses(t, set.MaxAttempts)
	s.log.Info().Int("classes", len(set.Classes)).Int("known", len(t.all)).Int("max_attempts", set.MaxAttempts).Msg("settings reloaded")
}
