// Package wire is the codec of the simulator's wire: batches of events in,
// replies of actions out, and the parser of the start settings. It takes no
// decision.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"sliptide/internal/config"
	"sliptide/policy"
)

// Event codes.
const (
	codeProvision = iota
	codeTargets
	codeOrder
	codeStreaming
	codeReply
	codeCancelled
	codeTimeout
	codePing
	codePeer
	codePowerOff
	codeDirectory
)

// Action codes.
const (
	codeRelay     = 0
	codeBusy      = 1
	codeAbort     = 2
	codeDefer     = 4
	codeCheck     = 5
	codeHangUp    = 6
	codeRecord    = 8
	codeDie       = 9
	codeSubscribe = 10
)

// Flags of an order.
const (
	flagAgain  = 2
	flagOrphan = 16
)

const (
	entrySize = 21
	buffers   = 16
	maxText   = 1 << 10
	chunk     = 1 << 20
)

// What a decoded record asks of the caller.
const (
	KindStart = iota // a new instance: Seed and Settings
	KindStop         // the instance is gone
	KindEvent        // Event is for the instance
)

// Record is one decoded record of a batch.
type Record struct {
	Kind     int
	Instance uint32
	Seed     uint64
	Settings policy.Settings
	Event    policy.Event
}

// Decoder reads batches. Its only state is the lists that batches refer to.
type Decoder struct {
	r     io.Reader
	lists [buffers][]policy.Endpoint
	body  []byte
	recs  []Record
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// Batch is one decoded batch; Records is valid until the next call of Next.
type Batch struct {
	Now     float64
	Seq     uint32
	Records []Record
}

// Next reads one batch. It returns io.EOF at a clean end of the input.
func (d *Decoder) Next() (Batch, error) {
	var head [20]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if err == io.EOF {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("batch header: %w", err)
	}
	b := Batch{
		Now: math.Float64frombits(binary.BigEndian.Uint64(head[8:])),
		Seq: binary.BigEndian.Uint32(head[16:]),
	}
	count, size := binary.BigEndian.Uint32(head[:]), binary.BigEndian.Uint32(head[4:])
	if math.IsNaN(b.Now) || math.IsInf(b.Now, 0) {
		return b, fmt.Errorf("batch %d: clock: not a number", b.Seq)
	}
	if err := d.readBody(int64(size)); err != nil {
		return b, fmt.Errorf("batch %d: body of %d bytes: %w", b.Seq, size, err)
	}
	d.recs = d.recs[:0]
	rest := d.body
	for i := uint32(0); i < count; i++ {
		if len(rest) < 5 {
			return b, fmt.Errorf("batch %d: record %d: header: frame ends", b.Seq, i)
		}
		code, n := rest[0], binary.BigEndian.Uint32(rest[1:])
		if uint64(n) > uint64(len(rest)-5) {
			return b, fmt.Errorf("batch %d: record %d: length %d overruns the frame", b.Seq, i, n)
		}
		f := fields{b: rest[5 : 5+n]}
		rest = rest[5+n:]
		if err := d.record(code, &f); err != nil {
			return b, fmt.Errorf("batch %d: record %d (code %d): %w", b.Seq, i, code, err)
		}
	}
	if len(rest) > 0 {
		return b, fmt.Errorf("batch %d: %d bytes after the last record", b.Seq, len(rest))
	}
	b.Records = d.recs
	return b, nil
}

// readBody fills d.body with size bytes, growing only as bytes arrive.
func (d *Decoder) readBody(size int64) error {
	d.body = d.body[:0]
	for int64(len(d.body)) < size {
		n := min(size-int64(len(d.body)), chunk)
		at := len(d.body)
		d.body = append(d.body, make([]byte, n)...)
		if _, err := io.ReadFull(d.r, d.body[at:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

func (d *Decoder) record(code byte, f *fields) error {
	if code == codeDirectory {
		return d.directory(f)
	}
	if code > codeDirectory || code == codeStreaming || code == codePeer {
		return nil // not used by the module
	}
	r := Record{Kind: KindEvent, Instance: f.u32("sender")}
	e := &r.Event
	switch code {
	case codeProvision:
		r.Kind = KindStart
		r.Seed = f.u64("seed")
		info := f.bytes("info", int64(f.u32("info length")))
		if f.err == nil {
			var err error
			if r.Settings, err = config.ParseSettings(string(info)); err != nil {
				return fmt.Errorf("info: %w", err)
			}
		}
	case codeTargets:
		e.Kind = policy.EvList
		how := f.u8("how")
		f.u32("epoch")
		at := f.u32("buffer")
		if f.err != nil {
			break
		}
		switch how {
		case 3:
			e.Failed = true
		case 0, 1, 2:
			if at >= buffers {
				return fmt.Errorf("buffer: %d is not a list number", at)
			}
			e.List, e.FullList = d.lists[at], how != 0
		default:
			return nil
		}
	case codeOrder:
		e.Kind = policy.EvMessage
		e.ID = f.u64("msg_id")
		e.Class = int(f.u16("class"))
		e.Tenant = int(f.u32("owner"))
		e.Key = f.u64("item")
		e.Remaining = f.f64("remaining")
		f.f64("expected")
		e.Dest = int(f.f32("to_dest"))
		e.Resubmitted = f.u16("flags")&(flagAgain|flagOrphan) != 0
	case codeReply:
		e.Kind = policy.EvOutcome
		e.ID = f.u64("msg_id")
		e.Endpoint = f.u32("endpoint")
		detail := f.u32("detail")
		e.Latency = f.f64("elapsed")
		e.Attempt = int(f.u8("shot"))
		var known bool
		e.Outcome, known = outcome(f.u16("rc"))
		if !known && f.err == nil {
			e.Outcome = policy.Error
		}
		if e.Outcome == policy.Full {
			e.RequestedWait = float64(detail)
		}
		e.Final = f.u8("terminal") != 0
		e.Report = f.report()
	case codeCancelled:
		e.Kind = policy.EvWithdrawn
		e.ID = f.u64("msg_id")
	case codeTimeout:
		e.Kind = policy.EvTimer
		e.Token = f.u32("ref")
	case codePing:
		e.Kind = policy.EvProbe
		e.Endpoint = f.u32("endpoint")
		var known bool
		if e.Outcome, known = outcome(f.u16("rc")); !known {
			e.Outcome = policy.Error
		}
		e.Latency = f.f64("elapsed")
		e.Report = f.report()
	case codePowerOff:
		r.Kind = KindStop
	}
	if f.err != nil {
		return f.err
	}
	d.recs = append(d.recs, r)
	return nil
}

func (d *Decoder) directory(f *fields) error {
	at := f.u32("buffer")
	n := f.u32("element count")
	raw := f.bytes("elements", int64(n)*entrySize)
	if f.err != nil {
		return f.err
	}
	if at >= buffers {
		return fmt.Errorf("buffer: %d is not a list number", at)
	}
	list := make([]policy.Endpoint, n)
	for i := range list {
		b := raw[i*entrySize:]
		list[i] = policy.Endpoint{
			State:  policy.EndpointState(b[0]),
			ID:     binary.BigEndian.Uint32(b[1:]),
			Zone:   int(b[5]),
			Rating: float64(math.Float32frombits(binary.BigEndian.Uint32(b[6:]))),
			Kind:   int(b[10]),
			Dest:   int(binary.BigEndian.Uint16(b[11:])),
		}
	}
	d.lists[at] = list
	return nil
}

func outcome(rc uint16) (policy.Outcome, bool) {
	switch rc {
	case 0:
		return policy.OK, true
	case 5:
		return policy.Error, true
	case 11:
		return policy.Full, true
	case 110:
		return policy.Timeout, true
	case 111:
		return policy.ConnectFailed, true
	case 104:
		return policy.Reset, true
	case 125:
		return policy.Cancelled, true
	case 114:
		return policy.Moot, true
	}
	return 0, false
}

// fields reads the fields of one record and keeps the first error.
type fields struct {
	b   []byte
	err error
}

func (f *fields) bytes(name string, n int64) []byte {
	if f.err != nil {
		return nil
	}
	if n > int64(len(f.b)) {
		f.err = fmt.Errorf("%s: record ends after %d of %d bytes", name, len(f.b), n)
		return nil
	}
	out := f.b[:n]
	f.b = f.b[n:]
	return out
}

func (f *fields) uint(name string, n int64) uint64 {
	var v uint64
	for _, c := range f.bytes(name, n) {
		v = v<<8 | uint64(c)
	}
	return v
}

func (f *fields) u8(name string) uint8   { return uint8(f.uint(name, 1)) }
func (f *fields) u16(name string) uint16 { return uint16(f.uint(name, 2)) }
func (f *fields) u32(name string) uint32 { return uint32(f.uint(name, 4)) }
func (f *fields) u64(name string) uint64 { return f.uint(name, 8) }
func (f *fields) f64(name string) float64 {
	return math.Float64frombits(f.uint(name, 8))
}
func (f *fields) f32(name string) float64 {
	return float64(math.Float32frombits(uint32(f.uint(name, 4))))
}

func (f *fields) report() []float64 {
	n := int(f.u8("report length"))
	raw := f.bytes("report", int64(n)*4)
	if len(raw) == 0 {
		return nil
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = float64(math.Float32frombits(binary.BigEndian.Uint32(raw[i*4:])))
	}
	return out
}

// Reply collects the records of one reply.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset empties the reply.
func (r *Reply) Reset() {
	r.buf = append(r.buf[:0], make([]byte, 12)...)
	r.count = 0
}

// Add appends the actions of one instance.
func (r *Reply) Add(instance uint32, actions []policy.Action) {
	be := binary.BigEndian
	for i := range actions {
		a := &actions[i]
		at := r.open(instance)
		code := byte(0)
		switch a.Kind {
		case policy.ActSend:
			code = codeRelay
			r.buf = be.AppendUint64(r.buf, a.ID)
			r.buf = be.AppendUint32(r.buf, a.Endpoint)
			r.buf = be.AppendUint64(r.buf, math.Float64bits(a.After))
		case policy.ActRefuse:
			code = codeBusy
			r.buf = be.AppendUint64(r.buf, a.ID)
			r.buf = be.AppendUint64(r.buf, math.Float64bits(a.After))
		case policy.ActFail:
			code = codeAbort
			r.buf = be.AppendUint64(r.buf, a.ID)
		case policy.ActTimer:
			code = codeDefer
			r.buf = be.AppendUint32(r.buf, a.Token)
			r.buf = be.AppendUint64(r.buf, math.Float64bits(a.After))
		case policy.ActProbe:
			code = codeCheck
			r.buf = be.AppendUint32(r.buf, a.Endpoint)
		case policy.ActCloseIdle:
			code = codeHangUp
			r.buf = be.AppendUint32(r.buf, a.Endpoint)
		case policy.ActSubscribe:
			code = codeSubscribe
			r.buf = append(r.buf, 1)
		case policy.ActLog:
			code = codeRecord
			r.text(a.Text)
		}
		r.shut(at, code)
	}
}

// Fault declares that the decision code failed for an instance.
func (r *Reply) Fault(instance uint32, text string) {
	at := r.open(instance)
	r.text(text)
	r.shut(at, codeDie)
}

func (r *Reply) open(instance uint32) int {
	at := len(r.buf)
	r.buf = append(r.buf, 0, 0, 0, 0, 0)
	r.buf = binary.BigEndian.AppendUint32(r.buf, instance)
	r.count++
	return at
}

func (r *Reply) text(s string) {
	if len(s) > maxText {
		s = s[:maxText]
	}
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(len(s)))
	r.buf = append(r.buf, s...)
}

func (r *Reply) shut(at int, code byte) {
	r.buf[at] = code
	binary.BigEndian.PutUint32(r.buf[at+1:], uint32(len(r.buf)-at-5))
}

// Write sends the reply to batch seq.
func (r *Reply) Write(w io.Writer, seq uint32) error {
	be := binary.BigEndian
	be.PutUint32(r.buf, r.count)
	be.PutUint32(r.buf[4:], uint32(len(r.buf)-12))
	be.PutUint32(r.buf[8:], seq)
	if _, err := w.Write(r.buf); err != nil {
		return fmt.Errorf("reply to batch %d: %w", seq, err)
	}
	return nil
}
