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
type team struct {
	w     *World
	state *duty.State
	index uint64
}

const (
	agreeIn = 10.0   // milliseconds until a command is agreed on,
	newsIn  = 10.0   // and within which each member has heard of it
	leaseOf = 2100.0 // until the session of a sender that was killed has lapsed
	boundOf = 4000.0 // for which senders wait for a word
)

func newTeam(w *World) *team { return &team{w: w, state: duty.New(nil)} }

// later has something happen to a node, in the life that it lives now.
func (t *team) later(now, after float64, n *node, do func(now float64)) {
	life := n.life
	t.w.queue.push(event{at: now + after, kind: evFleet, node: n, do: func(now float64) {
		if n.life == life {
			do(now)
		}
	}})
}

// join begins a node's session.
func (t *team) join(now float64, n *node) {
	n.board = trial.New(trial.Settings{Senders: t.w.p.Senders, SilenceTimeoutMS: boundOf})
	n.news = map[int]trial.Update{}
	t.later(now, agreeIn, n, func(now float64) {
		t.index++
		n.session = t.index
		t.state.Apply(t.index, 1, &pb.Command{What: &pb.Command_Open{Open: &pb.Open{Member: n.name(), Boot: uint64(n.life), Incarnation: 1, Seq: 1}}})
	})
}

// command has a command agreed on and tells all of what came of it.
func (t *team) command(now float64, n *node, c *pb.Command) {
	t.later(now, agreeIn*(0.5+t.w.rng.Float64()), n, func(now float64) { t.apply(now, c) })
}

func (t *team) apply(now float64, c *pb.Command) {
	t.index++
	for _, d := range t.state.Apply(t.index, 1, c).Changed {
		dest, ok := trial.Dest(d.Name)
		if !ok {
			continue
		}
		for _, n := range t.w.nodes {
			t.later(now, newsIn*t.w.rng.Float64(), n, func(now float64) {
				n.news[dest] = trial.Update{Holder: d.Holder, HeldLocally: d.Session == n.session && !d.Ended, Word: d.Word}
				n.due(now)
			})
		}
	}
}

// lost lets the session of a node that was killed lapse.
func (t *team) lost(now float64, session uint64) {
	t.w.queue.push(event{at: now + leaseOf, kind: evFleet, do: func(now float64) {
		t.apply(now, &pb.Command{What: &pb.Command_Close{Close: &pb.Close{Session: session}}})
	}})
}

// trials changes what storms ask of a node, as internal/sender does.
func (n *node) trials(now float64, list []storm.Throttle) []storm.Throttle {
	if n.board == nil {
		return list
	}
	n.board.SetLive(n.session != 0)
	for dest, v := range n.news {
		n.board.HandleUpdate(now, dest, v)
		delete(n.news, dest)
	}
	for i := range list {
		list[i] = n.board.AdjustThrottle(now, list[i])
	}
	list = append(list, n.board.ChangedThrottles(now)...)
	for _, a := range n.board.TakeActions() {
		name, t := trial.Duty(a.Dest), n.w.team
		switch d := n.w.team.state.Duties(); {
		case a.Request:
			t.command(now, n, &pb.Command{What: &pb.Command_Acquire{Acquire: &pb.Acquire{Session: n.session, Duty: name}}})
		case a.Release:
			t.command(now, n, &pb.Command{What: &pb.Command_Release{Release: &pb.Release{Session: n.session, Duty: name, Token: token(d, name, n.session)}}})
		case a.Publish != "":
			t.command(now, n, &pb.Command{What: &pb.Command_Say{Say: &pb.Say{Session: n.session, Duty: name, Token: token(d, name, n.session), Word: a.Publish}}})
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
func (n *node) tried(now float64, dest int, e *policy.Event) {
	if e.Outcome != policy.OK && e.Outcome != policy.Moot {
		n.board.CallFailed(now, dest)
	}
}
