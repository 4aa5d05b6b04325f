package world

import (
	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/trial"
	"sliptide/internal/storm"
	"sliptide/policy"
)

// fleet models the fleet that senders of System Fleet are members of. It applies commands to the real state of duties
// (package duty) after a commit delay and notifies members after a further delay. Elections, leases and lost frames are
// covered by internal/fleet/model; here the session of a killed sender ends after sessionTimeoutMS.
type fleet struct {
	world *World
	state *duty.State
	index uint64 // of the last committed command
}

const (
	commitDelayMS    = 10.0   // mean time from a proposal to its commit
	maxNotifyDelayMS = 10.0   // each member learns of a committed command within this time
	sessionTimeoutMS = 2100.0 // from the death of a sender to the end of its session
	silenceTimeoutMS = 4000.0 // how long senders wait for an update of a shared trial
)

func newFleet(w *World) *fleet { return &fleet{world: w, state: duty.New(nil)} }

// schedule calls a function for a sender after a delay. The call is dropped if the sender restarts first.
func (f *fleet) schedule(now, after float64, s *sender, do func(now float64)) {
	incarnation := s.incarnation
	f.world.queue.push(event{at: now + after, kind: evFleet, sender: s, do: func(now float64) {
		if s.incarnation == incarnation {
			do(now)
		}
	}})
}

// openSession resets a sender's shared trials at once, and opens its session after commitDelayMS.
func (f *fleet) openSession(now float64, s *sender) {
	s.trialState = trial.New(trial.Settings{Senders: f.world.params.Senders, SilenceTimeoutMS: silenceTimeoutMS})
	s.trialUpdates = map[int]trial.Update{}
	f.schedule(now, commitDelayMS, s, func(now float64) {
		f.index++
		s.session = f.index
		f.state.Apply(f.index, 1, &pb.Command{What: &pb.Command_Open{Open: &pb.Open{
			Member: s.name(), Boot: uint64(s.incarnation), Incarnation: 1, Seq: 1}}})
	})
}

// propose commits a sender's command after 0.5 to 1.5 times commitDelayMS. The command is lost if the sender restarts
// first.
func (f *fleet) propose(now float64, s *sender, c *pb.Command) {
	f.schedule(now, commitDelayMS*(0.5+f.world.rng.Float64()), s, func(now float64) { f.apply(now, c) })
}

// apply applies a command and notifies all senders of the changed trials.
func (f *fleet) apply(now float64, c *pb.Command) {
	f.index++
	for _, d := range f.state.Apply(f.index, 1, c).Changed {
		dest, ok := trial.Dest(d.Name)
		if !ok {
			continue
		}
		for _, s := range f.world.senders {
			f.schedule(now, maxNotifyDelayMS*f.world.rng.Float64(), s, func(now float64) {
				s.trialUpdates[dest] = trial.Update{Holder: d.Holder, HeldLocally: d.Session == s.session && !d.Ended, Value: d.Word}
				s.scheduleStep(now)
			})
		}
	}
}

// expireSession ends the session of a killed sender after sessionTimeoutMS.
func (f *fleet) expireSession(now float64, session uint64) {
	f.world.queue.push(event{at: now + sessionTimeoutMS, kind: evFleet, do: func(now float64) {
		f.apply(now, &pb.Command{What: &pb.Command_Close{Close: &pb.Close{Session: session}}})
	}})
}

// adjustThrottles adapts the storm guard's throttles to the fleet's shared trials, as internal/sender does, and
// proposes the commands that the trials need.
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
		name, f := trial.Duty(a.Dest), s.world.fleet
		switch d := s.world.fleet.state.Duties(); {
		case a.Request:
			f.propose(now, s, &pb.Command{What: &pb.Command_Acquire{Acquire: &pb.Acquire{Session: s.session, Duty: name}}})
		case a.Release:
			f.propose(now, s, &pb.Command{What: &pb.Command_Release{Release: &pb.Release{
				Session: s.session, Duty: name, Token: token(d, name, s.session)}}})
		case a.Publish != "":
			f.propose(now, s, &pb.Command{What: &pb.Command_Say{Say: &pb.Say{
				Session: s.session, Duty: name, Token: token(d, name, s.session), Word: a.Publish}}})
		}
	}
	return list
}

// token returns the fencing token by which a session holds a duty, 0 if it does not hold it.
func token(list []*pb.Duty, name string, session uint64) uint64 {
	for _, d := range list {
		if d.Name == name && d.Session == session {
			return d.Token
		}
	}
	return 0
}

// reportFailure reports a call's outcome to the partner's shared trial if the call was made and failed.
func (s *sender) reportFailure(now float64, dest int, e *policy.Event) {
	if e.Outcome != policy.OK && e.Outcome != policy.Moot {
		s.trialState.CallFailed(now, dest)
	}
}
