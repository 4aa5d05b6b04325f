// Package wire implements the simulator's binary wire format: it decodes batches of events, including the settings
// that start an instance, and encodes replies with actions. It makes no decisions.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"sliptide/internal/config"
	"sliptide/policy"
)

// Codes of the records in a batch, with the names of the simulator's protocol.
const (
	eventProvision = iota
	eventTargets
	eventOrder
	eventStreaming
	eventReply
	eventCancelled
	eventTimeout
	eventPing
	eventPeer
	eventPowerOff
	eventDirectory
)

// Codes of the records in a reply, with the names of the simulator's protocol.
const (
	actionRelay     = 0
	actionBusy      = 1
	actionAbort     = 2
	actionDefer     = 4
	actionCheck     = 5
	actionHangUp    = 6
	actionRecord    = 8
	actionDie       = 9
	actionSubscribe = 10
)

// Flags of eventOrder. Either one marks the message as resubmitted.
const (
	flagResubmitted = 2
	flagOrphaned    = 16
)

const (
	entrySize     = 21      // bytes of an endpoint in a list
	bufferCount   = 16      // endpoint lists that a Decoder holds
	maxTextBytes  = 1 << 10 // longer texts are cut
	readChunkSize = 1 << 20 // bytes by which the body's buffer grows
)

// Kinds of records.
const (
	KindStart = iota // starts an instance with Seed and Settings
	KindStop         // ends the instance
	KindEvent        // delivers Event to the instance
)

// Record is one decoded record of a batch.
type Record struct {
	Kind     int
	Instance uint32 // ID of the simulated sender
	Seed     uint64
	Settings policy.Settings
	Event    policy.Event
}

// Decoder reads batches. It keeps the endpoint lists that later records refer to.
type Decoder struct {
	r       io.Reader
	lists   [bufferCount][]policy.Endpoint
	body    []byte
	records []Record
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// Batch is one decoded batch. Records is valid until the next call of Next.
type Batch struct {
	Now     float64 // the simulator's clock, in milliseconds
	Seq     uint32  // sequence number, which the reply repeats
	Records []Record
}

// Next reads one batch. It returns io.EOF if the input ends between two batches.
func (d *Decoder) Next() (Batch, error) {
	var head [20]byte // number of records, bytes of the body, clock, sequence number
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
		return b, fmt.Errorf("batch %d: clock is not a finite number", b.Seq)
	}
	if err := d.readBody(int64(size)); err != nil {
		return b, fmt.Errorf("batch %d: body of %d bytes: %w", b.Seq, size, err)
	}
	d.records = d.records[:0]
	rest := d.body
	for i := uint32(0); i < count; i++ {
		if len(rest) < 5 {
			return b, fmt.Errorf("batch %d: record %d: header truncated", b.Seq, i)
		}
		code, n := rest[0], binary.BigEndian.Uint32(rest[1:])
		if uint64(n) > uint64(len(rest)-5) {
			return b, fmt.Errorf("batch %d: record %d: length %d overruns the batch", b.Seq, i, n)
		}
		f := fieldReader{b: rest[5 : 5+n]}
		rest = rest[5+n:]
		if err := d.decodeRecord(code, &f); err != nil {
			return b, fmt.Errorf("batch %d: record %d (code %d): %w", b.Seq, i, code, err)
		}
	}
	if len(rest) > 0 {
		return b, fmt.Errorf("batch %d: %d bytes after the last record", b.Seq, len(rest))
	}
	b.Records = d.records
	return b, nil
}

// readBody reads size bytes into d.body. The buffer grows only as bytes arrive, so that a wrong size does not allocate
// memory for bytes that never come.
func (d *Decoder) readBody(size int64) error {
	d.body = d.body[:0]
	for int64(len(d.body)) < size {
		n := min(size-int64(len(d.body)), readChunkSize)
		start := len(d.body)
		d.body = append(d.body, make([]byte, n)...)
		if _, err := io.ReadFull(d.r, d.body[start:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// decodeRecord decodes one record. A directory sets one of the endpoint lists; any other record is added to records,
// unless package policy does not use its kind.
func (d *Decoder) decodeRecord(code byte, f *fieldReader) error {
	if code == eventDirectory {
		return d.decodeDirectory(f)
	}
	if code > eventDirectory || code == eventStreaming || code == eventPeer {
		return nil // unknown, or not used by package policy
	}
	r := Record{Kind: KindEvent, Instance: f.u32("sender")}
	e := &r.Event
	switch code {
	case eventProvision:
		r.Kind = KindStart
		r.Seed = f.u64("seed")
		info := f.bytes("info", int64(f.u32("info length")))
		if f.err == nil {
			var err error
			if r.Settings, err = config.ParseSettings(string(info)); err != nil {
				return fmt.Errorf("info: %w", err)
			}
		}
	case eventTargets:
		e.Kind = policy.EvList
		mode := f.u8("how")
		f.u32("epoch")
		buffer := f.u32("buffer")
		if f.err != nil {
			break
		}
		switch mode {
		case 3: // the list could not be fetched
			e.Failed = true
		case 0, 1, 2: // 0: changes; otherwise a full list
			if buffer >= bufferCount {
				return fmt.Errorf("buffer: list number %d out of range", buffer)
			}
			e.List, e.FullList = d.lists[buffer], mode != 0
		default:
			return nil
		}
	case eventOrder:
		e.Kind = policy.EvMessage
		e.ID = f.u64("msg_id")
		e.Class = int(f.u16("class"))
		e.Tenant = int(f.u32("owner"))
		e.Key = f.u64("item")
		e.Remaining = f.f64("remaining")
		f.f64("expected")
		e.Dest = int(f.f32("to_dest"))
		e.Resubmitted = f.u16("flags")&(flagResubmitted|flagOrphaned) != 0
	case eventReply:
		e.Kind = policy.EvOutcome
		e.ID = f.u64("msg_id")
		e.Endpoint = f.u32("endpoint")
		detail := f.u32("detail")
		e.Latency = f.f64("elapsed")
		e.Attempt = int(f.u8("shot"))
		var known bool
		e.Outcome, known = outcomeOf(f.u16("rc"))
		if !known && f.err == nil {
			e.Outcome = policy.Error
		}
		if e.Outcome == policy.Full {
			e.RequestedWait = float64(detail)
		}
		e.Final = f.u8("terminal") != 0
		e.Report = f.report()
	case eventCancelled:
		e.Kind = policy.EvWithdrawn
		e.ID = f.u64("msg_id")
	case eventTimeout:
		e.Kind = policy.EvTimer
		e.Token = f.u32("ref")
	case eventPing:
		e.Kind = policy.EvProbe
		e.Endpoint = f.u32("endpoint")
		var known bool
		if e.Outcome, known = outcomeOf(f.u16("rc")); !known {
			e.Outcome = policy.Error
		}
		e.Latency = f.f64("elapsed")
		e.Report = f.report()
	case eventPowerOff:
		r.Kind = KindStop
	}
	if f.err != nil {
		return f.err
	}
	d.records = append(d.records, r)
	return nil
}

// decodeDirectory decodes an endpoint list into the buffer that it names.
func (d *Decoder) decodeDirectory(f *fieldReader) error {
	buffer := f.u32("buffer")
	n := f.u32("element count")
	raw := f.bytes("elements", int64(n)*entrySize)
	if f.err != nil {
		return f.err
	}
	if buffer >= bufferCount {
		return fmt.Errorf("buffer: list number %d out of range", buffer)
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
	d.lists[buffer] = list
	return nil
}

// outcomeOf maps a result code of the protocol, which is the number of a Linux errno, to an outcome. It returns false
// for an unknown code.
func outcomeOf(rc uint16) (policy.Outcome, bool) {
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

// fieldReader reads the fields of one record in their order; numbers are big-endian. After the first error, which it
// keeps, all reads return zero values. The name that a read takes appears in the error only.
type fieldReader struct {
	b   []byte
	err error
}

func (f *fieldReader) bytes(name string, n int64) []byte {
	if f.err != nil {
		return nil
	}
	if n > int64(len(f.b)) {
		f.err = fmt.Errorf("%s: record truncated: got %d of %d bytes", name, len(f.b), n)
		return nil
	}
	out := f.b[:n]
	f.b = f.b[n:]
	return out
}

func (f *fieldReader) uint(name string, n int64) uint64 {
	var v uint64
	for _, c := range f.bytes(name, n) {
		v = v<<8 | uint64(c)
	}
	return v
}

func (f *fieldReader) u8(name string) uint8   { return uint8(f.uint(name, 1)) }
func (f *fieldReader) u16(name string) uint16 { return uint16(f.uint(name, 2)) }
func (f *fieldReader) u32(name string) uint32 { return uint32(f.uint(name, 4)) }
func (f *fieldReader) u64(name string) uint64 { return f.uint(name, 8) }
func (f *fieldReader) f64(name string) float64 {
	return math.Float64frombits(f.uint(name, 8))
}
func (f *fieldReader) f32(name string) float64 {
	return float64(math.Float32frombits(uint32(f.uint(name, 4))))
}

func (f *fieldReader) report() []float64 {
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

// Reply collects the records of one reply. Reset must be called before each reply.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset empties the reply.
func (r *Reply) Reset() {
	r.buf = append(r.buf[:0], make([]byte, 12)...) // header, filled in by Write
	r.count = 0
}

// Add appends the actions of an instance.
func (r *Reply) Add(instance uint32, actions []policy.Action) {
	be := binary.BigEndian
	for i := range actions {
		a := &actions[i]
		start := r.beginRecord(instance)
		code := byte(0)
		switch a.Kind {
		case policy.ActSend:
			code = actionRelay
			r.buf = be.AppendUint64(r.buf, a.ID)
			r.buf = be.AppendUint32(r.buf, a.Endpoint)
			r.buf = be.AppendUint64(r.buf, math.Float64bits(a.After))
		case policy.ActRefuse:
			code = actionBusy
			r.buf = be.AppendUint64(r.buf, a.ID)
			r.buf = be.AppendUint64(r.buf, math.Float64bits(a.After))
		case policy.ActFail:
			code = actionAbort
			r.buf = be.AppendUint64(r.buf, a.ID)
		case policy.ActTimer:
			code = actionDefer
			r.buf = be.AppendUint32(r.buf, a.Token)
			r.buf = be.AppendUint64(r.buf, math.Float64bits(a.After))
		case policy.ActProbe:
			code = actionCheck
			r.buf = be.AppendUint32(r.buf, a.Endpoint)
		case policy.ActCloseIdle:
			code = actionHangUp
			r.buf = be.AppendUint32(r.buf, a.Endpoint)
		case policy.ActSubscribe:
			code = actionSubscribe
			r.buf = append(r.buf, 1)
		case policy.ActLog:
			code = actionRecord
			r.appendText(a.Text)
		}
		r.endRecord(start, code)
	}
}

// Fault appends a record saying that the decision code failed for an instance.
func (r *Reply) Fault(instance uint32, text string) {
	start := r.beginRecord(instance)
	r.appendText(text)
	r.endRecord(start, actionDie)
}

// beginRecord appends the head of a record and returns its offset, for endRecord.
func (r *Reply) beginRecord(instance uint32) int {
	start := len(r.buf)
	r.buf = append(r.buf, 0, 0, 0, 0, 0) // code and length, filled in by endRecord
	r.buf = binary.BigEndian.AppendUint32(r.buf, instance)
	r.count++
	return start
}

func (r *Reply) appendText(s string) {
	if len(s) > maxTextBytes {
		s = s[:maxTextBytes]
	}
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(len(s)))
	r.buf = append(r.buf, s...)
}

func (r *Reply) endRecord(start int, code byte) {
	r.buf[start] = code
	binary.BigEndian.PutUint32(r.buf[start+1:], uint32(len(r.buf)-start-5))
}

// Write writes the reply to the batch with sequence number seq to w.
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
