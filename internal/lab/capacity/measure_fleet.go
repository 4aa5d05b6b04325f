package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/lease"
	"sliptide/internal/fleet/link"
	"sliptide/internal/fleet/model"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/voter"
)

// fleetMeasurements returns the measurements of a group of senders and its voters.
func fleetMeasurements() []Measurement {
	return []Measurement{{
		Name: "group-frames", Role: roleVoter, Description: "frames a second of an idle group, in the simulation model",
		Unit: "frames/s", Per: "sender",
		Sizes: []int{10, 30, 100, 300, 900}, Run: groupFrames,
	}, {
		Name: "link-frame", Role: roleVoter, Description: "processor time of frames over a link, both ends", Unit: "ms",
		Per:   "frame",
		Sizes: []int{1000, 3000, 10000, 30000, 100000}, Repeats: 4, Run: linkFramesCPU,
	}, {
		Name: "session-end", Role: roleVoter,
		Description: "processor time to end one session, by the duties that the group holds", Unit: "us",
		Per:   "duty",
		Sizes: []int{80, 250, 800, 2500, duty.MaxDuties}, Repeats: 9, Run: sessionEndCPU,
	}, {
		Name: "state-session", Role: roleVoter, Description: "snapshot of the agreed state, by sessions", Unit: "KB",
		Per:   "sender",
		Sizes: []int{10, 30, 100, 300, duty.MaxSessions},
		Run:   func(_ *Env, size int) (float64, error) { return snapshotKB(size, 0) },
	}, {
		Name: "state-duty", Role: roleVoter, Description: "snapshot of the agreed state, by duties", Unit: "KB",
		Per:   "duty",
		Sizes: []int{80, 250, 800, 2500, duty.MaxDuties},
		Run:   func(_ *Env, size int) (float64, error) { return snapshotKB(1, size) },
	}, {
		Name: "present-bytes", Role: roleVoter,
		Description: "frame that each member receives when a session begins or ends, with the list of all members", Unit: "KB", Per: "sender",
		Sizes: []int{10, 100, 1000, 3000, 14000}, Run: presentKB,
	}, {
		Name: "status-bytes", Role: roleOperator, Description: "size of the answer to `sliptide fleet status`, by members",
		Unit: "KB", Per: "sender",
		Sizes: []int{10, 100, 1000, 3000, 14000}, Run: statusKB,
	}}
}

// groupFrames returns the frames per second of an idle group of members, three of them voters, in the simulation model.
// It counts for four seconds of the model's time, after eight in which the group settles.
func groupFrames(_ *Env, members int) (float64, error) {
	const settleSeconds, countedSeconds = 8, 4
	w := model.New(model.Options{Voters: 3, Members: members - 3, Duties: 1,
		Lease:           lease.Params{Length: 2 * time.Second, Drift: 0.05},
		ElectionTimeout: 500 * time.Millisecond, Drift: 0.05, Seed: 1})
	w.Run(settleSeconds * time.Second)
	w.FramesSent = 0
	w.Run((settleSeconds + countedSeconds) * time.Second)
	if w.Violation != "" {
		return 0, errors.New(w.Violation)
	}
	return float64(w.FramesSent) / countedSeconds, nil
}

// linkFramesCPU returns the processor time, in milliseconds of both ends, to exchange the given number of frames: half
// of them are sent and the other end returns each one. At most window frames are in flight.
func linkFramesCPU(e *Env, frames int) (float64, error) {
	const window = 64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	isMember := func(string) bool { return true }
	ignoreEvent := func(string, string, error) {}
	var near, far *link.Manager
	arrived := make(chan struct{}, frames)
	linkUp := make(chan struct{}, 1)
	far = link.New(link.Options{Self: "far", IsMember: isMember, OnEvent: ignoreEvent,
		Receive: func(_ context.Context, from string, f *pb.Frame) { far.Send(from, f) }})
	defer far.Close()
	go far.Serve(ln)
	near = link.New(link.Options{Self: "near", IsMember: isMember,
		DialAddrs: map[string]string{"far": ln.Addr().String()},
		Receive:   func(context.Context, string, *pb.Frame) { arrived <- struct{}{} },
		OnEvent: func(what, _ string, _ error) {
			if what == "link up" {
				select {
				case linkUp <- struct{}{}:
				default:
				}
			}
		}})
	defer near.Close()
	select {
	case <-linkUp:
	case <-time.After(startTimeout):
		return 0, errors.New("link \"near\" to \"far\" did not come up")
	}
	timedOut := false
	cpuMillis := processCPUMillis(func() {
		sent := 0
		for received := 0; received < frames/2; {
			for ; sent < frames/2 && sent-received < window; sent++ {
				near.Send("far", &pb.Frame{What: &pb.Frame_Ask{Ask: &pb.Ask{Id: uint64(sent), Renew: 77,
					Member: "near"}}})
			}
			select {
			case <-arrived:
				received++
			case <-time.After(10 * time.Second):
				timedOut = true
				return
			}
		}
	})
	if timedOut {
		return 0, errors.New("no frame arrived within 10 s")
	}
	return cpuMillis, e.Ctx.Err()
}

// newAgreedState returns a replicated state with the given numbers of sessions and duties. The sessions hold the duties
// in turn.
func newAgreedState(sessions, duties int) *duty.State {
	s := duty.New(map[uint64]string{1: "sender-00000"})
	index := uint64(1)
	apply := func(c *pb.Command) { s.Apply(index, 1, c); index++ }
	for i := range sessions {
		apply(&pb.Command{What: &pb.Command_Open{Open: &pb.Open{Member: fmt.Sprintf("sender-%05d", i),
			Incarnation: uint64(i+1) << 40, Boot: 7, Zone: "zone-11", Weight: 1, Seq: 1}}})
	}
	for i := range duties {
		apply(&pb.Command{What: &pb.Command_Acquire{Acquire: &pb.Acquire{Session: uint64(1 + i%max(sessions, 1)),
			Duty: fmt.Sprintf("trial/%07d", i)}}})
	}
	return s
}

// snapshotKB returns the size of a snapshot of the replicated state, in 10^3 bytes.
func snapshotKB(sessions, duties int) (float64, error) {
	b, err := newAgreedState(sessions, duties).Marshal()
	return float64(len(b)) / 1e3, err
}

// sessionEndCPU returns the processor time, in microseconds, to end one of 100 sessions that share the duties.
func sessionEndCPU(_ *Env, duties int) (float64, error) {
	const sessions = 100
	state := newAgreedState(sessions, duties)
	var err error
	cpuMillis := threadCPUMillis(func() {
		err = state.Apply(1<<40, 1, &pb.Command{What: &pb.Command_Close{Close: &pb.Close{Session: 50}}}).Err
	})
	return cpuMillis * 1e3, err
}

// presentKB returns the size of the frame that announces all members, in 10^3 bytes.
func presentKB(_ *Env, members int) (float64, error) {
	update := &pb.News{From: 1 << 20, To: 1<<20 + 1, AllPresent: true}
	for i := range members {
		update.Present = append(update.Present, &pb.Present{Name: fmt.Sprintf("sender-%05d", i), Zone: "zone-11"})
	}
	return float64(proto.Size(&pb.Frame{What: &pb.Frame_News{News: update}})) / 1e3, nil
}

// statusKB returns the size of a status answer, in 10^3 bytes.
func statusKB(_ *Env, members int) (float64, error) {
	s := voter.Status{ReportedBy: "sender-00000", Leader: "sender-00001"}
	for i := range members {
		s.Members = append(s.Members, voter.MemberStatus{Name: fmt.Sprintf("sender-%05d", i), Session: uint64(i + 1000),
			Zone: "zone-11", LastHeardMS: 123.4, Duties: 3})
	}
	b, err := json.Marshal(s)
	return float64(len(b)) / 1e3, err
}
