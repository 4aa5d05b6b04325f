package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"sliptide/internal/knowledge"
	"sliptide/internal/knowledge/pb"
	"sliptide/policy"
)

// A file is a header and a payload. The header keeps its form in every version, so that a file of a
// newer one can be told from a damaged one:
//
//	offset  bytes
//	0       8   magic
//	8       4   format version, big-endian as all numbers here
//	12      4   flags, 0
//	16      8   length of the payload
//	24      8   xxHash64 of the payload
//	32      8   xxHash64 of the 32 bytes before
//	40          payload: a protobuf message, by version (pb/knowledge.proto)
const (
	magic    = "SLPTKNOW"
	headSize = 40
	// Version is the format that is written. Version 1 held told waits alone.
	Version = 2
	maxText = 1 << 30
)

// Errors of Decode. Damage has an offset.
var (
	ErrNewerFormat = errors.New("the format is newer than this program")
	ErrNoSpace     = errors.New("no room in the folder")
)

// Damage is what makes a file unreadable.
type DamageError struct {
	Offset int // of the first byte that is wrong, or where something is missing
	Reason string
}

// Error says what is wrong, and where.
func (d *DamageError) Error() string {
	return fmt.Sprintf("damaged at byte %d: %s", d.Offset, d.Reason)
}

// Encode returns the file of b.
func Encode(b *knowledge.Facts) ([]byte, error) {
	m := toPB(b)
	text := make([]byte, headSize, headSize+proto.Size(m))
	text, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(text, m)
	if err != nil {
		return nil, fmt.Errorf("knowledge: %w", err)
	}
	frame(text, Version)
	return text, nil
}

// frame fills the header of text.
func frame(text []byte, version uint32) {
	copy(text, magic)
	binary.BigEndian.PutUint32(text[8:], version)
	binary.BigEndian.PutUint32(text[12:], 0)
	binary.BigEndian.PutUint64(text[16:], uint64(len(text)-headSize))
	binary.BigEndian.PutUint64(text[24:], xxhash.Sum64(text[headSize:]))
	binary.BigEndian.PutUint64(text[32:], xxhash.Sum64(text[:32]))
}

// Decode reads a file of this format or an older one. Errors are ErrNewer or of type *Damage.
func Decode(text []byte) (*knowledge.Facts, error) {
	version, payload, err := unframe(text)
	if err != nil {
		return nil, err
	}
	switch version {
	case 1:
		var m pb.BookV1
		if err := proto.Unmarshal(payload, &m); err != nil {
			return nil, &DamageError{headSize, err.Error()}
		}
		return fromV1(&m), nil
	case Version:
		var m pb.BookV2
		if err := proto.Unmarshal(payload, &m); err != nil {
			return nil, &DamageError{headSize, err.Error()}
		}
		return fromPB(&m), nil
	}
	return nil, &DamageError{8, fmt.Sprintf("format version %d was never one", version)}
}

// unframe checks the header and returns the payload.
func unframe(text []byte) (version uint32, payload []byte, err error) {
	switch {
	case len(text) == 0:
		return 0, nil, &DamageError{0, "the file is empty"}
	case len(text) < headSize:
		return 0, nil, &DamageError{len(text), "it ends within the header"}
	case string(text[:8]) != magic:
		return 0, nil, &DamageError{0, "it does not begin as a knowledge file"}
	case xxhash.Sum64(text[:32]) != binary.BigEndian.Uint64(text[32:]):
		return 0, nil, &DamageError{8, "the header's checksum is wrong"}
	}
	version, payload = binary.BigEndian.Uint32(text[8:]), text[headSize:]
	if version > Version {
		return 0, nil, fmt.Errorf("version %d: %w (%d)", version, ErrNewerFormat, Version)
	}
	length := binary.BigEndian.Uint64(text[16:])
	switch {
	case uint64(len(payload)) < length:
		return 0, nil, &DamageError{len(text), fmt.Sprintf("it ends %d bytes early", length-uint64(len(payload)))}
	case uint64(len(payload)) > length || length > maxText:
		return 0, nil, &DamageError{headSize + int(min(length, maxText)), "there is more than the header tells"}
	case xxhash.Sum64(payload) != binary.BigEndian.Uint64(text[24:]):
		return 0, nil, &DamageError{headSize, "the payload's checksum is wrong"}
	}
	return version, payload, nil
}

// SizeOf is how many bytes a destination takes in a file.
func EncodedSize(d *knowledge.Destination) int {
	n := proto.Size(destToPB(d))
	return n + 1 + len(binary.AppendUvarint(nil, uint64(n)))
}

// fromV1 carries a file of version 1 over. When its waits were told was not noted: no later than the
// file was written.
func fromV1(m *pb.BookV1) *knowledge.Facts {
	b := knowledge.New(m.Sender)
	b.WrittenAt = m.WrittenMs
	for _, w := range m.Waits {
		b.AddWait(knowledge.Wait{Route: knowledge.Route{Dest: int(w.Dest), Endpoint: w.Endpoint}, ReceivedAt: m.WrittenMs, Until: w.UntilMs})
	}
	return b
}

func toPB(b *knowledge.Facts) *pb.BookV2 {
	m := &pb.BookV2{Sender: b.Sender, WrittenMs: b.WrittenAt}
	for _, w := range b.SortedWaits() {
		m.Waits = append(m.Waits, &pb.Wait{Dest: int64(w.Dest), Endpoint: w.Endpoint, ToldMs: w.ReceivedAt, UntilMs: w.Until})
	}
	for _, n := range b.DestNumbers() {
		m.Destinations = append(m.Destinations, destToPB(b.Dests[n]))
	}
	for _, name := range sorted(b.ClassLatency) {
		u := b.ClassLatency[name]
		m.Usual = append(m.Usual, &pb.Usual{Class: name, AtMs: int64(u.LearnedAt), Latency: latencyToPB(u.LatencyFacts)})
	}
	for _, name := range sorted(b.Dials) {
		d := b.Dials[name]
		m.Dials = append(m.Dials, &pb.Dials{Kind: name, AtMs: int64(d.LearnedAt), Failed: float32(d.FailureShare), ShortUntilMs: int64(d.ScarceUntil)})
	}
	if s := b.Staleness; s.LearnedAt != 0 {
		m.Staleness = &pb.Staleness{AtMs: int64(s.LearnedAt), Share: float32(s.StaleShare), GapMs: float32(s.MinStaleIdle)}
	}
	return m
}

func sorted[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func fromPB(m *pb.BookV2) *knowledge.Facts {
	b := knowledge.New(m.Sender)
	b.WrittenAt = m.WrittenMs
	for _, w := range m.Waits {
		b.AddWait(knowledge.Wait{Route: knowledge.Route{Dest: int(w.Dest), Endpoint: w.Endpoint}, ReceivedAt: w.ToldMs, Until: w.UntilMs})
	}
	for _, d := range m.Destinations {
		b.MergeDestination(destFromPB(d))
	}
	for _, u := range m.Usual {
		b.ClassLatency[u.Class] = knowledge.ClassLatency{LearnedAt: float64(u.AtMs), LatencyFacts: latencyFromPB(u.Latency)}
	}
	for _, d := range m.Dials {
		b.Dials[d.Kind] = knowledge.Dials{LearnedAt: float64(d.AtMs), DialFacts: policy.DialFacts{FailureShare: float64(d.Failed), ScarceUntil: float64(d.ShortUntilMs)}}
	}
	if s := m.Staleness; s != nil {
		b.Staleness = knowledge.Staleness{LearnedAt: float64(s.AtMs), StaleShare: float64(s.Share), MinStaleIdle: float64(s.GapMs)}
	}
	return b
}

// ago is how long before at a time was; none where it says that something never was.
func ago(at, t float64) *int64 {
	if t == 0 || math.IsInf(t, 0) || math.IsNaN(t) {
		return nil
	}
	v := int64(math.Round(at - t))
	return &v
}

func since(at float64, ago *int64, none float64) float64 {
	if ago == nil {
		return none
	}
	return at - float64(*ago)
}

func destToPB(d *knowledge.Destination) *pb.Destination {
	at := math.Trunc(d.LearnedAt)
	c := &d.Admission
	m := &pb.Destination{
		Dest: int64(d.Dest), AtMs: int64(at), Shared: routeToPB(d.SharedRoute, at), Latency: latencyToPB(d.Latency),
		Control: &pb.Control{
			SeenAgo: ago(at, c.LastArrival), Lambda: float32(c.Lambda), ExMs: float32(c.EX),
			Theta: []float32{float32(c.Theta[0]), float32(c.Theta[1])},
			P:     []float32{float32(c.P[0][0]), float32(c.P[0][1]), float32(c.P[1][0]), float32(c.P[1][1])},
			Pam:   float32(c.Pam), Pa: float32(c.Pa),
		},
	}
	for i := range d.Endpoints {
		e := &d.Endpoints[i]
		at := math.Trunc(e.LearnedAt)
		m.Endpoints = append(m.Endpoints, &pb.Endpoint{
			Name: e.Name, AtMs: int64(at), Health: uint32(e.Health), Fails: uint32(max(e.Failures, 0)),
			FailAgo: ago(at, e.LastFailure), FailShare: float32(e.FailureShare), Hung: e.Unresponsive, Mute: e.Unanswered, Leaks: e.AnsweredError,
			Trials: uint32(max(e.FailedTrials, 0)), OpenAgo: ago(at, e.OpenedAt), TrialAgo: ago(at, e.NextTrial),
			RampAgo: ago(at, e.RampStart), Base: float32(e.RateBeforeOutage), OkAgo: ago(at, e.LastOK), Apart: routeToPB(e.OwnRoute, at),
		})
	}
	return m
}

func destFromPB(m *pb.Destination) *knowledge.Destination {
	at := float64(m.AtMs)
	d := &knowledge.Destination{
		Dest: int(m.Dest), LearnedAt: at, SharedRoute: routeFromPB(m.Shared, at), Latency: latencyFromPB(m.Latency),
		Admission: policy.InitialAdmission(),
	}
	if c := m.Control; c != nil && len(c.Theta) == 2 && len(c.P) == 4 {
		d.Admission = policy.AdmissionFacts{
			LastArrival: since(at, c.SeenAgo, 0), Lambda: float64(c.Lambda), EX: float64(c.ExMs),
			Theta: [2]float64{float64(c.Theta[0]), float64(c.Theta[1])},
			P:     [2][2]float64{{float64(c.P[0]), float64(c.P[1])}, {float64(c.P[2]), float64(c.P[3])}},
			Pam:   float64(c.Pam), Pa: float64(c.Pa),
		}
	}
	for _, e := range m.Endpoints {
		at := float64(e.AtMs)
		d.Endpoints = append(d.Endpoints, knowledge.Endpoint{Name: e.Name, LearnedAt: at, EndpointFacts: policy.EndpointFacts{
			Health: policy.Health(min(e.Health, 255)), Failures: int(e.Fails), LastFailure: since(at, e.FailAgo, 0),
			FailureShare: float64(e.FailShare), Unresponsive: e.Hung, Unanswered: e.Mute, AnsweredError: e.Leaks, FailedTrials: int(e.Trials),
			OpenedAt: since(at, e.OpenAgo, 0), NextTrial: since(at, e.TrialAgo, 0), RampStart: since(at, e.RampAgo, 0),
			RateBeforeOutage: float64(e.Base), LastOK: since(at, e.OkAgo, math.Inf(-1)), OwnRoute: routeFromPB(e.Apart, at),
		}})
	}
	return d
}

func routeToPB(r *policy.RouteFacts, at float64) *pb.Route {
	if r == nil {
		return nil
	}
	return &pb.Route{
		Told: float32(r.AdvertisedLimit), Reported: r.LimitReported, Pace: float32(r.Pace), OkAgo: ago(at, r.LastOK),
		Tried: float32(r.CallRate), Accepted: float32(r.AcceptedRate), Delivered: float32(r.DeliveredRate),
	}
}

func routeFromPB(m *pb.Route, at float64) *policy.RouteFacts {
	if m == nil {
		return nil
	}
	return &policy.RouteFacts{
		AdvertisedLimit: float64(m.Told), LimitReported: m.Reported, Pace: float64(m.Pace), LastOK: since(at, m.OkAgo, at),
		CallRate: float64(m.Tried), AcceptedRate: float64(m.Accepted), DeliveredRate: float64(m.Delivered),
	}
}

func latencyToPB(l policy.LatencyFacts) *pb.Latency {
	if l.N == 0 {
		return nil
	}
	return &pb.Latency{MeanMs: float32(l.Mean), DevMs: float32(l.Dev), Calls: uint32(min(max(l.N, 0), 1<<20))}
}

func latencyFromPB(m *pb.Latency) policy.LatencyFacts {
	if m == nil {
		return policy.LatencyFacts{}
	}
	return policy.LatencyFacts{Mean: float64(m.MeanMs), Dev: float64(m.DevMs), N: int(m.Calls)}
}
