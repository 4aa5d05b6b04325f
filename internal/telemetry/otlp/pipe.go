package otlp

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	resource "go.opentelemetry.io/proto/slim/otlp/resource/v1"
	"google.golang.org/protobuf/proto"

	"sliptide/internal/telemetry"
	"sliptide/internal/telemetry/metric"
)

const (
	batchMost  = 256 << 10              // bytes of traces in a request, about
	batchAfter = time.Second            // a trace waits so long for others
	backOffLo  = 500 * time.Millisecond // first pause after a request that failed,
	backOffHi  = 15 * time.Second       // and the longest
	giveUp     = 60 * time.Second       // a batch is tried again so long
	logGap     = 30 * time.Second       // between two words on a collector that does not take
)

// Options are what a Pipe works with.
type Options struct {
	Target          Target
	Resource        []metric.Attr
	QueueBytes      int64 // bytes of traces that wait to be sent; records have as much
	SampledShare    float64
	MetricsInterval time.Duration // between two exports of the metrics
	Assembler       telemetry.Settings
	Log             func(err error, dropped uint64)
	NowMS           func() float64 // Unix milliseconds
}

// Counts are what became of the traces: Recorded = Sent + Dropped + those on their way. Rejected spans are
// counted beside, since a collector does not say whose they were.
type Counts struct {
	Recorded, Sent, Dropped uint64
	RejectedItems           uint64 // spans and points that collectors said they did not take
	DroppedRecords          uint64 // records for which there was no room
	LostTraces              uint64 // traces that never came to their end
}

// Pipe is the way from the records to a collector.
type Exporter struct {
	*telemetry.Recorder
	opt    Options
	asm    *telemetry.Assembler
	way    transport
	res    *resource.Resource
	resRaw []byte
	start  float64

	mu      sync.Mutex
	out     [][]byte // traces, encoded
	bytes   int64
	metrics []byte // the newest, if it is not sent yet
	ready   chan struct{}

	recorded, sent, dropped, rejected, lost atomic.Uint64

	cancel   context.CancelFunc
	stop     chan struct{} // closed: nothing more is recorded,
	mixed    chan struct{} // the assembler's goroutine has ended,
	flush    chan struct{} // all that there is stands in line,
	ended    chan struct{} // and the exporter's goroutine has ended
	stopOnce sync.Once
	saidAt   time.Time
}

// NewPipe returns a Pipe that runs. Nothing is sent before something is recorded.
func NewExporter(o Options) (*Exporter, error) {
	way, err := newTransport(o.Target)
	if err != nil {
		return nil, err
	}
	p := &Exporter{Recorder: telemetry.NewRecorder(o.QueueBytes), opt: o, way: way, res: resourceOf(o.Resource), ready: make(chan struct{}, 1),
		ended: make(chan struct{}), mixed: make(chan struct{}), stop: make(chan struct{}), flush: make(chan struct{}), start: o.NowMS()}
	if p.resRaw, err = proto.Marshal(p.res); err != nil {
		return nil, err
	}
	o.Assembler.SampledShare, o.Assembler.Export = o.SampledShare, p.keep
	p.asm = telemetry.NewAssembler(o.Assembler)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go p.mix()
	go p.export(ctx)
	return p, nil
}

// Records is where records are pushed; nil of a nil Pipe: nobody watches.
func (p *Exporter) Records() *telemetry.Recorder {
	if p == nil {
		return nil
	}
	return p.Recorder
}

// mix makes traces and metrics of the records.
func (p *Exporter) mix() {
	defer close(p.mixed)
	tick := time.NewTicker(p.opt.MetricsInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.Wake():
			p.Drain(p.asm.Process)
		case <-tick.C:
			p.measure()
		case <-p.stop:
			p.Drain(p.asm.Process)
			p.measure()
			return
		}
		p.lost.Store(p.asm.Lost)
	}
}

// keep encodes a trace and puts it in line. Where there is no room, it is dropped.
func (p *Exporter) keep(t *telemetry.Trace) {
	p.recorded.Add(1)
	b, err := spans(t)
	p.mu.Lock()
	fits := err == nil && p.bytes+int64(len(b)) <= p.opt.QueueBytes
	if fits {
		p.out = append(p.out, b)
		p.bytes += int64(len(b))
	}
	p.mu.Unlock()
	if !fits {
		p.dropped.Add(1)
	}
	p.call()
}

func (p *Exporter) call() {
	select {
	case p.ready <- struct{}{}:
	default:
	}
}

// measure puts the metrics in line; older ones that were not sent are superseded, since they are cumulative.
func (p *Exporter) measure() {
	c := p.Counts()
	p.asm.RecordOwnMetrics(c.DroppedRecords, c.Sent, c.Dropped, c.LostTraces, c.RejectedItems)
	b, err := measures(p.res, p.asm.Metrics.AllSeries(), p.start, p.opt.NowMS())
	if err != nil {
		return
	}
	p.mu.Lock()
	p.metrics = b
	p.mu.Unlock()
	p.call()
}

// Counts is what became of the traces so far.
func (p *Exporter) Counts() Counts {
	return Counts{Recorded: p.recorded.Load(), Sent: p.sent.Load(), Dropped: p.dropped.Load(), RejectedItems: p.rejected.Load(),
		DroppedRecords: p.Dropped(), LostTraces: p.lost.Load()}
}

// export sends what is in line, one request at a time, until the pipe is closed and the line is empty.
func (p *Exporter) export(ctx context.Context) {
	defer close(p.ended)
	for last := false; !last && ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-p.flush:
			last = true
		case <-p.ready:
			p.pause(ctx, batchAfter) // others may join
		}
		for ctx.Err() == nil && p.one(ctx) {
		}
	}
}

// one sends one request with traces and one with metrics; false: there was neither.
func (p *Exporter) one(ctx context.Context) bool {
	parts, m := p.batch()
	if len(parts) > 0 {
		to := &p.dropped
		if p.deliver(ctx, traces, request(p.resRaw, parts)) {
			to = &p.sent
		}
		to.Add(uint64(len(parts)))
	}
	if m != nil {
		p.deliver(ctx, measurements, m)
	}
	return len(parts) > 0 || m != nil
}

// pause waits, but not when the pipe is about to stop.
func (p *Exporter) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.stop:
	case <-ctx.Done():
	}
}

// batch takes traces for one request out of the line, and the metrics.
func (p *Exporter) batch() (parts [][]byte, m []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	size, n := 0, 0
	for n < len(p.out) && (n == 0 || size+len(p.out[n]) <= batchMost) {
		size += len(p.out[n])
		n++
	}
	parts = append(parts, p.out[:n]...)
	p.out = p.out[n:]
	if len(p.out) == 0 {
		p.out = nil
	}
	p.bytes -= int64(size)
	m, p.metrics = p.metrics, nil
	return parts, m
}

// deliver sends one request, again and again as the specification has it ("Failures", "OTLP/HTTP Throttling"):
// after what the collector says, else after an exponential back-off with jitter. false: it was not taken.
func (p *Exporter) deliver(ctx context.Context, s signal, body []byte) bool {
	began := time.Now()
	for n := 0; ; n++ {
		v := p.way.send(ctx, s, body)
		if v.err == nil {
			p.rejected.Add(uint64(v.rejected))
			return true
		}
		p.say(v.err)
		pause := time.Duration(math.Min(float64(backOffLo)*math.Exp2(float64(n)), float64(backOffHi)) * (0.5 + rand.Float64()))
		pause = max(pause, v.after)
		if !v.again || p.stopping() || time.Since(began)+pause > giveUp {
			return false
		}
		p.pause(ctx, pause)
	}
}

func (p *Exporter) stopping() bool {
	select {
	case <-p.stop:
		return true
	default:
		return false
	}
}

func (p *Exporter) say(err error) {
	if p.opt.Log != nil && time.Since(p.saidAt) >= logGap {
		p.saidAt = time.Now()
		p.opt.Log(err, p.dropped.Load())
	}
}

// Close sends what is left within the time that ctx gives, and ends. What is not sent by then is dropped.
func (p *Exporter) Close(ctx context.Context) {
	if p == nil {
		return
	}
	p.stopOnce.Do(func() {
		close(p.stop)
		<-p.mixed // waits for nobody
		close(p.flush)
	})
	select {
	case <-p.ended:
	case <-ctx.Done():
	}
	p.cancel()
	<-p.ended
	p.way.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropped.Add(uint64(len(p.out)))
	p.out = nil
}
