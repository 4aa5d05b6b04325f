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

// A file consists of a header and a payload. The header has the same layout in every version, so that a file of a
// newer version can be distinguished from a damaged one:
//
//	offset  bytes
//	0       8   magic
//	8       4   format version; all numbers are big-endian
//	12      4   flags, 0
//	16      8   length of the payload
//	24      8   xxHash64 of the payload
//	32      8   xxHash64 of bytes 0 to 31
//	40          payload: a protobuf message that depends on the version (pb/knowledge.proto)
const (
	magic      = "SLPTKNOW"
	headerSize = 40
	// Version is the format version that is written. Version 1 contained only requested waits.
	Version        = 2
	maxPayloadSize = 1 << 30 // bytes
)

var (
	// ErrNewerFormat is returned for a file that a newer version of the program has written.
	ErrNewerFormat = errors.New("the format is newer than this program supports")
	// ErrNoSpace is returned when there is not enough space for a file.
	ErrNoSpace = errors.New("not enough space in the state directory")
)

// DamageError is returned by Decode for a damaged file.
type DamageError struct {
	Offset int // of the first wrong or missing byte
	Reason string
}

// Error implements error.
func (d *DamageError) Error() string {
	return fmt.Sprintf("damaged at byte %d: %s", d.Offset, d.Reason)
}

// Encode returns the contents of a file with these facts.
func Encode(facts *knowledge.Facts) ([]byte, error) {
	m := factsToPB(facts)
	data := make([]byte, headerSize, headerSize+proto.Size(m))
	data, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(data, m)
	if err != nil {
		return nil, fmt.Errorf("knowledge: encode: %w", err)
	}
	writeHeader(data, Version)
	return data, nil
}

// writeHeader fills in the header at the start of data.
func writeHeader(data []byte, version uint32) {
	copy(data, magic)
	binary.BigEndian.PutUint32(data[8:], version)
	binary.BigEndian.PutUint32(data[12:], 0)
	binary.BigEndian.PutUint64(data[16:], uint64(len(data)-headerSize))
	binary.BigEndian.PutUint64(data[24:], xxhash.Sum64(data[headerSize:]))
	binary.BigEndian.PutUint64(data[32:], xxhash.Sum64(data[:32]))
}

// Decode decodes a file of this format version or an older one. Errors wrap ErrNewerFormat or are of type
// *DamageError.
func Decode(data []byte) (*knowledge.Facts, error) {
	version, payload, err := parseHeader(data)
	if err != nil {
		return nil, err
	}
	switch version {
	case 1:
		var m pb.BookV1
		if err := proto.Unmarshal(payload, &m); err != nil {
			return nil, &DamageError{headerSize, err.Error()}
		}
		return factsFromV1(&m), nil
	case Version:
		var m pb.BookV2
		if err := proto.Unmarshal(payload, &m); err != nil {
			return nil, &DamageError{headerSize, err.Error()}
		}
		return factsFromPB(&m), nil
	}
	return nil, &DamageError{8, fmt.Sprintf("unknown format version %d", version)}
}

// parseHeader checks the header and both checksums, and returns the payload.
func parseHeader(data []byte) (version uint32, payload []byte, err error) {
	switch {
	case len(data) == 0:
		return 0, nil, &DamageError{0, "the file is empty"}
	case len(data) < headerSize:
		return 0, nil, &DamageError{len(data), "the file ends within the header"}
	case string(data[:8]) != magic:
		return 0, nil, &DamageError{0, "wrong magic: the file does not begin as a knowledge file"}
	case xxhash.Sum64(data[:32]) != binary.BigEndian.Uint64(data[32:]):
		return 0, nil, &DamageError{8, "the checksum of the header is wrong"}
	}
	version, payload = binary.BigEndian.Uint32(data[8:]), data[headerSize:]
	if version > Version {
		return 0, nil, fmt.Errorf("format version %d: %w (up to %d)", version, ErrNewerFormat, Version)
	}
	length := binary.BigEndian.Uint64(data[16:])
	switch {
	case uint64(len(payload)) < length:
		return 0, nil, &DamageError{len(data), fmt.Sprintf("the file ends %d bytes early", length-uint64(len(payload)))}
	case uint64(len(payload)) > length || length > maxPayloadSize:
		return 0, nil, &DamageError{headerSize + int(min(length, maxPayloadSize)), "the file is longer than its header states"}
	case xxhash.Sum64(payload) != binary.BigEndian.Uint64(data[24:]):
		return 0, nil, &DamageError{headerSize, "the checksum of the payload is wrong"}
	}
	return version, payload, nil
}

// EncodedSize returns the number of bytes that a destination takes in a file.
func EncodedSize(d *knowledge.Destination) int {
	n := proto.Size(destToPB(d))
	return n + 1 + len(binary.AppendUvarint(nil, uint64(n)))
}

// factsFromV1 converts the payload of format version 1. It does not contain when waits were received; the time of
// writing, which is the latest possible, stands in for it.
func factsFromV1(m *pb.BookV1) *knowledge.Facts {
	facts := knowledge.New(m.Sender)
	facts.WrittenAt = m.WrittenMs
	for _, w := range m.Waits {
		facts.AddWait(knowledge.Wait{
			Route: knowledge.Route{Dest: int(w.Dest), Endpoint: w.Endpoint}, ReceivedAt: m.WrittenMs, Until: w.UntilMs,
		})
	}
	return facts
}

// factsToPB converts facts to the payload of the current format version, in sorted order.
func factsToPB(facts *knowledge.Facts) *pb.BookV2 {
	m := &pb.BookV2{Sender: facts.Sender, WrittenMs: facts.WrittenAt}
	for _, w := range facts.SortedWaits() {
		m.Waits = append(m.Waits, &pb.Wait{Dest: int64(w.Dest), Endpoint: w.Endpoint, ToldMs: w.ReceivedAt, UntilMs: w.Until})
	}
	for _, n := range facts.DestNumbers() {
		m.Destinations = append(m.Destinations, destToPB(facts.Dests[n]))
	}
	for _, name := range sortedNames(facts.ClassLatency) {
		u := facts.ClassLatency[name]
		m.Usual = append(m.Usual, &pb.Usual{Class: name, AtMs: int64(u.LearnedAt), Latency: latencyToPB(u.LatencyFacts)})
	}
	for _, name := range sortedNames(facts.Dials) {
		d := facts.Dials[name]
		m.Dials = append(m.Dials, &pb.Dials{
			Kind: name, AtMs: int64(d.LearnedAt), Failed: float32(d.FailureShare), ShortUntilMs: int64(d.ScarceUntil),
		})
	}
	if s := facts.Staleness; s.LearnedAt != 0 {
		m.Staleness = &pb.Staleness{AtMs: int64(s.LearnedAt), Share: float32(s.StaleShare), GapMs: float32(s.MinStaleIdle)}
	}
	return m
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// factsFromPB is the inverse of factsToPB.
func factsFromPB(m *pb.BookV2) *knowledge.Facts {
	facts := knowledge.New(m.Sender)
	facts.WrittenAt = m.WrittenMs
	for _, w := range m.Waits {
		facts.AddWait(knowledge.Wait{
			Route: knowledge.Route{Dest: int(w.Dest), Endpoint: w.Endpoint}, ReceivedAt: w.ToldMs, Until: w.UntilMs,
		})
	}
	for _, d := range m.Destinations {
		facts.MergeDestination(destFromPB(d))
	}
	for _, u := range m.Usual {
		facts.ClassLatency[u.Class] = knowledge.ClassLatency{
			LearnedAt: float64(u.AtMs), LatencyFacts: latencyFromPB(u.Latency),
		}
	}
	for _, d := range m.Dials {
		facts.Dials[d.Kind] = knowledge.Dials{
			LearnedAt: float64(d.AtMs),
			DialFacts: policy.DialFacts{FailureShare: float64(d.Failed), ScarceUntil: float64(d.ShortUntilMs)},
		}
	}
	if s := m.Staleness; s != nil {
		facts.Staleness = knowledge.Staleness{
			LearnedAt: float64(s.AtMs), StaleShare: float64(s.Share), MinStaleIdle: float64(s.GapMs),
		}
	}
	return facts
}

// msBefore returns how many milliseconds before learnedAt the time t was, negative for a later time. It returns nil if
// t is 0, infinite or NaN: the event has never happened.
func msBefore(learnedAt, t float64) *int64 {
	if t == 0 || math.IsInf(t, 0) || math.IsNaN(t) {
		return nil
	}
	v := int64(math.Round(learnedAt - t))
	return &v
}

// timeBefore is the inverse of msBefore: it returns the time that was ago milliseconds before learnedAt, or absent if
// ago is nil.
func timeBefore(learnedAt float64, ago *int64, absent float64) float64 {
	if ago == nil {
		return absent
	}
	return learnedAt - float64(*ago)
}

// destToPB converts a destination. Times are stored relative to LearnedAt in whole milliseconds, which is stored too.
func destToPB(d *knowledge.Destination) *pb.Destination {
	at := math.Trunc(d.LearnedAt)
	c := &d.Admission
	m := &pb.Destination{
		Dest: int64(d.Dest), AtMs: int64(at), Shared: routeToPB(d.SharedRoute, at), Latency: latencyToPB(d.Latency),
		Control: &pb.Control{
			SeenAgo: msBefore(at, c.LastArrival), Lambda: float32(c.Lambda), ExMs: float32(c.EX),
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
			FailAgo: msBefore(at, e.LastFailure), FailShare: float32(e.FailureShare),
			Hung: e.Unresponsive, Mute: e.Unanswered, Leaks: e.AnsweredError,
			Trials: uint32(max(e.FailedTrials, 0)), OpenAgo: msBefore(at, e.OpenedAt), TrialAgo: msBefore(at, e.NextTrial),
			RampAgo: msBefore(at, e.RampStart), Base: float32(e.RateBeforeOutage), OkAgo: msBefore(at, e.LastOK),
			Apart: routeToPB(e.OwnRoute, at),
		})
	}
	return m
}

// destFromPB is the inverse of destToPB. A missing or incomplete admission state becomes the initial one.
func destFromPB(m *pb.Destination) *knowledge.Destination {
	at := float64(m.AtMs)
	d := &knowledge.Destination{
		Dest: int(m.Dest), LearnedAt: at, SharedRoute: routeFromPB(m.Shared, at), Latency: latencyFromPB(m.Latency),
		Admission: policy.InitialAdmission(),
	}
	if c := m.Control; c != nil && len(c.Theta) == 2 && len(c.P) == 4 {
		d.Admission = policy.AdmissionFacts{
			LastArrival: timeBefore(at, c.SeenAgo, 0), Lambda: float64(c.Lambda), EX: float64(c.ExMs),
			Theta: [2]float64{float64(c.Theta[0]), float64(c.Theta[1])},
			P:     [2][2]float64{{float64(c.P[0]), float64(c.P[1])}, {float64(c.P[2]), float64(c.P[3])}},
			Pam:   float64(c.Pam), Pa: float64(c.Pa),
		}
	}
	for _, e := range m.Endpoints {
		at := float64(e.AtMs)
		d.Endpoints = append(d.Endpoints, knowledge.Endpoint{Name: e.Name, LearnedAt: at, EndpointFacts: policy.EndpointFacts{
			Health: policy.Health(min(e.Health, 255)), Failures: int(e.Fails), LastFailure: timeBefore(at, e.FailAgo, 0),
			FailureShare: float64(e.FailShare), Unresponsive: e.Hung, Unanswered: e.Mute, AnsweredError: e.Leaks,
			FailedTrials: int(e.Trials), OpenedAt: timeBefore(at, e.OpenAgo, 0), NextTrial: timeBefore(at, e.TrialAgo, 0),
			RampStart: timeBefore(at, e.RampAgo, 0), RateBeforeOutage: float64(e.Base),
			LastOK: timeBefore(at, e.OkAgo, math.Inf(-1)), OwnRoute: routeFromPB(e.Apart, at),
		}})
	}
	return d
}

func routeToPB(r *policy.RouteFacts, at float64) *pb.Route {
	if r == nil {
		return nil
	}
	return &pb.Route{
		Told: float32(r.AdvertisedLimit), Reported: r.LimitReported, Pace: float32(r.Pace), OkAgo: msBefore(at, r.LastOK),
		Tried: float32(r.CallRate), Accepted: float32(r.AcceptedRate), Delivered: float32(r.DeliveredRate),
	}
}

func routeFromPB(m *pb.Route, at float64) *policy.RouteFacts {
	if m == nil {
		return nil
	}
	return &policy.RouteFacts{
		AdvertisedLimit: float64(m.Told), LimitReported: m.Reported, Pace: float64(m.Pace),
		LastOK: timeBefore(at, m.OkAgo, at), CallRate: float64(m.Tried), AcceptedRate: float64(m.Accepted),
		DeliveredRate: float64(m.Delivered),
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
