package sender

import (
	"slices"

	"sliptide/policy"
)

// classTable is every class that this process has known, in the order in which each came: a position never
// changes its meaning, so that a message under way keeps its class when the settings change. A name stands
// for its present definition, or for its last one where it has vanished: a client's message that was on its
// way when the file changed is still taken on. A table is never changed once it is shared.
type classTable struct {
	all    []policy.Class
	byName map[string]int
}

func newClassTable(present []policy.Class) *classTable {
	t := &classTable{byName: map[string]int{}}
	return t.with(present)
}

// with is a table in which the present classes are these. A class whose definition is unchanged keeps its
// position; one that is new or defined anew gets the next.
func (t *classTable) with(present []policy.Class) *classTable {
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

// unknownClass is the position of what stands for the class of a restored message that the settings lack. Nothing is
// known of its effect, so that what may have run is not repeated; untried, it is tried. Guards against messages that
// were taken on and end without a call, since the settings changed between two lives. Clients cannot name it.
func (s *Sender) unknownClass() int {
	const longest = 24 * 3600e3 // the deadline is the message's own
	stand := policy.Class{Aim: longest, Deadline: longest, Worth: 1, LateWorth: 1, Effect: policy.Unsafe}
	t := s.classes.Load()
	if i := slices.Index(t.all, stand); i >= 0 {
		return i
	}
	t = t.with(nil)
	t.all = append(t.all, stand)
	s.useClasses(t, s.set.MaxAttempts)
	return len(t.all) - 1
}

// useClasses makes a table and the attempts allowed known, to the module from the next step on.
func (s *Sender) useClasses(t *classTable, attempts int) {
	s.classes.Store(t)
	s.set.Classes, s.set.MaxAttempts = t.all, attempts
	s.events = append(s.events, policy.Event{Kind: policy.EvSettings, Settings: &policy.Settings{Classes: t.all, MaxAttempts: attempts}})
}

// ClassOf is the position of the class of that name and its definition; -1 where no class has it.
func (s *Sender) ClassOf(name []byte) (int, policy.Class) {
	t := s.classes.Load()
	i, ok := t.byName[string(name)]
	if !ok {
		return -1, policy.Class{}
	}
	return i, t.all[i]
}

// Retune takes settings read anew: classes that appear or are defined anew are taken on from the next
// step on, and the attempts allowed hold for all messages. All else waits for the next start.
func (s *Sender) UpdateSettings(set policy.Settings) { s.post(input{retune: &set}) }

func (s *Sender) takeRetune(set *policy.Settings) {
	t := s.classes.Load().with(set.Classes)
	s.useClasses(t, set.MaxAttempts)
	s.log.Info().Int("classes", len(set.Classes)).Int("known", len(t.all)).Int("max_attempts", set.MaxAttempts).Msg("settings read anew")
}
