package world

import (
	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/trial"
	"sliptide/internal/storm"
	"sliptide/policy"
)

// team is the fleet that the senders of System Fleet are members of: the real state of duties, agreed on and told
// after a while each. Votes, leases and lost frames are internal/fleet/model's matter; here a session of a sender
// that is killed lapses after a lease.
type fleet struct {
	w     *World
	state *duty.State
	index uint64
}

const (
	commitDelayMS    = 10.0   // milliseconds until a command is agreed on,
	maxNotifyDelayMS = 10.0   // and within which each member has heard of it
	sessionTimeoutMS = 2100.0 // until the session of a sender that was killed has lapsed
	silenceTimeoutMS = 4000.0 // for which senders wait for a word
)

func newFleet(w *World) *fleet { return &fleet{w: w, state: duty.New(nil)} }

// later has something happen to a node, in the life that it lives now.
func (f *fleet) schedule(now, after float64, s *sender, do func(now float64)) {
	incarnation := s.incarnation
	f.w.queue.push(event{at: now + after, kind: evFleet, sender: s, do: func(now float64) {
		if s.incarnation == incarnation {
			do(now)
		}
	}})
}

// join begins a node's session.
func (f *fleet) openSession(now float64, s *sender) {
	s.trialState = trial.New(trial.Settings{Senders: f.w.params.Senders, SilenceTimeoutMS: silenceTimeoutMS})
	s.trialUpdates = map[int]trial.Update{}
	f.schedule(now, commitDelayMS, s, func(now float64) {
		f.index++
		s.session = f.index
		f.state.Apply(f.index, 1, &pb.Command{What: &pb.Command_Open{Open: &pb.Open{Member: s.name(), Boot: uint64(s.incarnation), Incarnation: 1, Seq: 1}}})
	})
}

// command has a command agreed on and tells all of what came of it.
func (f *fleet) propose(now float64, s *sender, c *pb.Command) {
	f.schedule(now, commitDelayMS*(0.5+f.w.rng.Float64()), s, func(now float64) { f.apply(now, c) })
}

func (f *fleet) apply(now float64, c *pb.Command) {
	f.index++
	for _, d := range f.state.Apply(f.index, 1, c).Changed {
		dest, ok := trial.Dest(d.Name)
		if !ok {
			continue
		}
		for _, s := range f.w.senders {
			f.schedule(now, maxNotifyDelayMS*f.w.rng.Float64(), s, func(now float64) {
				s.trialUpdates[dest] = trial.Update{Holder: d.Holder, HeldLocally: d.Session == s.session && !d.Ended, Word: d.Word}
				s.scheduleStep(now)
			})
		}
	}
}

// lost lets the session of a node that was killed lapse.
func (f *fleet) expireSession(now float64, session uint64) {
	f.w.queue.push(event{at: now + sessionTimeoutMS, kind: evFleet, do: func(now float64) {
		f.apply(now, &pb.Command{What: &pb.Command_Close{Close: &pb.Close{Session: session}}})
	}})
}

// trials changes what storms ask of a node, as internal/sender does.
func (s *sender) adjustThrottles(now float64, list []storm.Throttle) []storm.Throttle {
	if s.trialState == nil {
		return list
	}
	s.trialState.SetLive(s.session != 0)
	for dest, v := range s.trialUpdates {
		s.trialState.HandleUpdate(now, dest, v)
		delete(s.trialUpdates, dest)
	}
	for i := range list {
		list[i] = s.trialState.AdjustThrottle(now, list[i])
	}
	list = append(list, s.trialState.ChangedThrottles(now)...)
	for _, a := range s.trialState.TakeActions() {
		name, f := trial.Duty(a.Dest), s.w.fleet
		switch d := s.w.fleet.state.Duties(); {
		case a.Request:
			f.propose(now, s, &pb.Command{What: &pb.Command_Acquire{Acquire: &pb.Acquire{Session: s.session, Duty: name}}})
		case a.Release:
			f.propose(now, s, &pb.Command{What: &pb.Command_Release{Release: &pb.Release{Session: s.session, Duty: name, Token: token(d, name, s.session)}}})
		case a.Publish != "":
			f.propose(now, s, &pb.Command{What: &pb.Command_Say{Say: &pb.Say{Session: s.session, Duty: name, Token: token(d, name, s.session), Word: a.Publish}}})
		}
	}
	return list
}

// token is with what a session holds a duty, 0 if it does not.
func token(list []*pb.Duty, name string, session uint64) uint64 {
	for _, d := range list {
		if d.Name == name && d.Session == session {
			return d.Token
		}
	}
	return 0
}

// tried tells of the end of a call to a partner.
func (s *sender) reportFailure(now float64, dest int, e *policy.Event) {
	if e.Outcome != policy.OK && e.Outcome != policy.Moot {
		s.trialState.CallFailed(now, dest)
	}
}
