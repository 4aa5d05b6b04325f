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
	maxBatchBytes = 256 << 10              // encoded traces of a request; a larger trace is sent alone
	batchDelay    = time.Second            // a trace waits this long for others to join the request
	minBackOff    = 500 * time.Millisecond // mean pause after the first failure of a request
	maxBackOff    = 15 * time.Second       // maximum mean pause
	retryWindow   = 60 * time.Second       // a request is retried for at most this long
	logInterval   = 30 * time.Second       // minimum interval between reports of failed requests
)

// Options configure an Exporter.
type Options struct {
	Target          Target
	Resource        []metric.Attr
	QueueBytes      int64 // bound of the queue of encoded traces, and also of the queue of records
	SampledShare    float64
	MetricsInterval time.Duration                   // between exports of the metrics
	Assembler       telemetry.Settings              // NewExporter sets SampledShare and Export
	Log             func(err error, dropped uint64) // of a failed request, with the traces dropped so far; may be nil
	NowMS           func() float64                  // Unix milliseconds
}

// Counts count traces by what happened to them: Recorded = Sent + Dropped + those still queued or being sent. Rejected
// items are counted separately, since a collector does not report to which traces they belong.
type Counts struct {
	Recorded, Sent, Dropped uint64
	RejectedItems           uint64 // spans and data points that the collector reported as rejected
	DroppedRecords          uint64 // dropped because the queue of records was full
	LostTraces              uint64 // traces whose end was not recorded, or that were not started for lack of capacity
}

// Exporter assembles records into traces and metrics and sends these to a collector. Two goroutines do the work: one
// assembles and encodes, the other sends.
type Exporter struct {
	*telemetry.Recorder
	options       Options
	assembler     *telemetry.Assembler
	transport     transport
	resource      *resource.Resource
	resourceBytes []byte
	startMS       float64

	mu             sync.Mutex
	queue          [][]byte // encoded traces
	queuedBytes    int64
	pendingMetrics []byte // the latest encoded metrics, nil once they are being sent
	ready          chan struct{}

	recorded, sent, dropped, rejected, lost atomic.Uint64

	cancel        context.CancelFunc
	stop          chan struct{} // closed when shutdown begins
	assemblerDone chan struct{} // closed when the assembling goroutine has ended
	flush         chan struct{} // closed when everything left to send is queued
	exporterDone  chan struct{} // closed when the sending goroutine has ended
	stopOnce      sync.Once
	loggedAt      time.Time
}

// NewExporter returns a running Exporter. It connects to the collector when it sends for the first time.
func NewExporter(o Options) (*Exporter, error) {
	transport, err := newTransport(o.Target)
	if err != nil {
		return nil, err
	}
	e := &Exporter{Recorder: telemetry.NewRecorder(o.QueueBytes), options: o, transport: transport, resource: newResource(o.Resource), ready: make(chan struct{}, 1),
		exporterDone: make(chan struct{}), assemblerDone: make(chan struct{}), stop: make(chan struct{}), flush: make(chan struct{}), startMS: o.NowMS()}
	if e.resourceBytes, err = proto.Marshal(e.resource); err != nil {
		return nil, err
	}
	o.Assembler.SampledShare, o.Assembler.Export = o.SampledShare, e.enqueueTrace
	e.assembler = telemetry.NewAssembler(o.Assembler)
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go e.assemble()
	go e.export(ctx)
	return e, nil
}

// Records returns the queue to which records are pushed. That of a nil Exporter is nil, which discards all records.
func (e *Exporter) Records() *telemetry.Recorder {
	if e == nil {
		return nil
	}
	return e.Recorder
}

// assemble turns records into traces and metrics until shutdown begins.
func (e *Exporter) assemble() {
	defer close(e.assemblerDone)
	tick := time.NewTicker(e.options.MetricsInterval)
	defer tick.Stop()
	for {
		select {
		case <-e.Wake():
			e.Drain(e.assembler.Process)
		case <-tick.C:
			e.enqueueMetrics()
		case <-e.stop:
			e.Drain(e.assembler.Process)
			e.enqueueMetrics()
			return
		}
		e.lost.Store(e.assembler.Lost)
	}
}

// enqueueTrace encodes a trace and appends it to the queue. If the queue is full or encoding fails, the trace is
// dropped.
func (e *Exporter) enqueueTrace(t *telemetry.Trace) {
	e.recorded.Add(1)
	b, err := encodeSpans(t)
	e.mu.Lock()
	fits := err == nil && e.queuedBytes+int64(len(b)) <= e.options.QueueBytes
	if fits {
		e.queue = append(e.queue, b)
		e.queuedBytes += int64(len(b))
	}
	e.mu.Unlock()
	if !fits {
		e.dropped.Add(1)
	}
	e.signalReady()
}

func (e *Exporter) signalReady() {
	select {
	case e.ready <- struct{}{}:
	default:
	}
}

// enqueueMetrics encodes the metrics for sending. They replace earlier ones that were not sent: all values are
// cumulative.
func (e *Exporter) enqueueMetrics() {
	c := e.Counts()
	e.assembler.RecordOwnMetrics(c.DroppedRecords, c.Sent, c.Dropped, c.LostTraces, c.RejectedItems)
	b, err := encodeMetrics(e.resource, e.assembler.Metrics.AllSeries(), e.startMS, e.options.NowMS())
	if err != nil {
		return
	}
	e.mu.Lock()
	e.pendingMetrics = b
	e.mu.Unlock()
	e.signalReady()
}

// Counts returns the counts so far.
func (e *Exporter) Counts() Counts {
	return Counts{Recorded: e.recorded.Load(), Sent: e.sent.Load(), Dropped: e.dropped.Load(), RejectedItems: e.rejected.Load(),
		DroppedRecords: e.Dropped(), LostTraces: e.lost.Load()}
}

// export sends what is queued, one request at a time, until the Exporter is closed and the queue is empty.
func (e *Exporter) export(ctx context.Context) {
	defer close(e.exporterDone)
	for flushing := false; !flushing && ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-e.flush:
			flushing = true
		case <-e.ready:
			e.pause(ctx, batchDelay) // collect more traces for the request
		}
		for ctx.Err() == nil && e.exportOnce(ctx) {
		}
	}
}

// exportOnce sends a request with traces and one with metrics, as far as there are any. It returns false if there was
// nothing to send.
func (e *Exporter) exportOnce(ctx context.Context) bool {
	parts, metrics := e.nextBatch()
	if len(parts) > 0 {
		counter := &e.dropped
		if e.sendWithRetry(ctx, tracesSignal, encodeTraceRequest(e.resourceBytes, parts)) {
			counter = &e.sent
		}
		counter.Add(uint64(len(parts)))
	}
	if metrics != nil {
		e.sendWithRetry(ctx, metricsSignal, metrics)
	}
	return len(parts) > 0 || metrics != nil
}

// pause waits for d, or until shutdown begins or ctx is done.
func (e *Exporter) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-e.stop:
	case <-ctx.Done():
	}
}

// nextBatch removes the traces of one request from the queue, and the pending metrics.
func (e *Exporter) nextBatch() (parts [][]byte, metrics []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	size, n := 0, 0
	for n < len(e.queue) && (n == 0 || size+len(e.queue[n]) <= maxBatchBytes) {
		size += len(e.queue[n])
		n++
	}
	parts = append(parts, e.queue[:n]...)
	e.queue = e.queue[n:]
	if len(e.queue) == 0 {
		e.queue = nil
	}
	e.queuedBytes -= int64(size)
	metrics, e.pendingMetrics = e.pendingMetrics, nil
	return parts, metrics
}

// sendWithRetry sends a request and retries it as the specification requires ("Failures", "OTLP/HTTP Throttling"), with
// an exponential back-off with jitter, but never sooner than the collector asks for. It returns false if the collector
// did not accept the request.
func (e *Exporter) sendWithRetry(ctx context.Context, s signal, body []byte) bool {
	firstTry := time.Now()
	for tries := 0; ; tries++ {
		result := e.transport.send(ctx, s, body)
		if result.err == nil {
			e.rejected.Add(uint64(result.rejected))
			return true
		}
		e.logFailure(result.err)
		pause := time.Duration(math.Min(float64(minBackOff)*math.Exp2(float64(tries)), float64(maxBackOff)) * (0.5 + rand.Float64()))
		pause = max(pause, result.retryAfter)
		if !result.retryable || e.stopping() || time.Since(firstTry)+pause > retryWindow {
			return false
		}
		e.pause(ctx, pause)
	}
}

func (e *Exporter) stopping() bool {
	select {
	case <-e.stop:
		return true
	default:
		return false
	}
}

func (e *Exporter) logFailure(err error) {
	if e.options.Log != nil && time.Since(e.loggedAt) >= logInterval {
		e.loggedAt = time.Now()
		e.options.Log(err, e.dropped.Load())
	}
}

// Close sends what is left and stops the Exporter. Traces that are not sent before ctx is done are dropped and counted.
// Closing a nil Exporter does nothing.
func (e *Exporter) Close(ctx context.Context) {
	if e == nil {
		return
	}
	e.stopOnce.Do(func() {
		close(e.stop)
		<-e.assemblerDone // comes at once: the assembling goroutine never blocks
		close(e.flush)
	})
	select {
	case <-e.exporterDone:
	case <-ctx.Done():
	}
	e.cancel()
	<-e.exporterDone
	e.transport.close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropped.Add(uint64(len(e.queue)))
	e.queue = nil
}
