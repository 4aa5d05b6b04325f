package discovery

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/http1"
)

const (
	noticeTimeout     = 150 * time.Millisecond // the agent answers at once; a late notice does harm, a duplicate does not
	noticeRetryDelay  = 100 * time.Millisecond
	maxNoticesPerCall = 200 // each takes less than 300 bytes
)

// Notice reports an accepted message that ended undelivered.
type Notice struct {
	Num      uint64
	Trace    string
	Returned bool  // true: returned to its client; false: abandoned
	RetryMS  int64 // milliseconds after which the client may resubmit a returned message; 0 = unknown
}

// NoticeQueue posts notices to the discovery agent and retries each until the agent acknowledges it. Post and SetAddr
// are safe for concurrent use, also with Run.
type NoticeQueue struct {
	agent        *agentClient
	log          zerolog.Logger
	acknowledged func([]uint64) // called with the numbers of the messages whose notices were acknowledged

	mu    sync.Mutex
	queue []Notice // bounded by the number of messages that the sender holds
	wake  chan struct{}
}

// NewNoticeQueue returns a NoticeQueue that posts to the agent at addr. It calls acknowledged with the numbers of the
// messages whose notices the agent has acknowledged, from the goroutine of Run.
func NewNoticeQueue(addr string, log zerolog.Logger, acknowledged func([]uint64)) *NoticeQueue {
	return &NoticeQueue{agent: newAgentClient(addr), log: log, acknowledged: acknowledged, wake: make(chan struct{}, 1)}
}

// SetAddr makes all further notices go to the agent at addr.
func (n *NoticeQueue) SetAddr(addr string) { n.agent.setAddr(addr) }

// Post queues a notice. It does not block.
func (n *NoticeQueue) Post(notice Notice) {
	n.mu.Lock()
	n.queue = append(n.queue, notice)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run posts queued notices until the context ends.
func (n *NoticeQueue) Run(ctx context.Context) {
	defer n.agent.close()
	failures := 0
	for {
		batch := n.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-n.wake:
			}
			continue
		}
		if err := n.postBatch(ctx, batch); err != nil {
			if ctx.Err() != nil {
				return
			}
			// A single failure may be due to a stale connection: a new one is tried at once.
			if failures++; failures > 1 {
				n.log.Warn().Err(err).Int("notices", len(batch)).Msg("cannot post notices to discovery, retrying")
				sleep(ctx, noticeRetryDelay)
			}
			continue
		}
		failures = 0
		n.acknowledge(batch)
	}
}

// nextBatch returns the notices of the next call.
func (n *NoticeQueue) nextBatch() []Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queue[:min(len(n.queue), maxNoticesPerCall)]
}

// acknowledge removes a batch that the agent has acknowledged from the queue and reports it.
func (n *NoticeQueue) acknowledge(batch []Notice) {
	nums := make([]uint64, len(batch))
	for i := range batch {
		nums[i] = batch[i].Num
	}
	n.mu.Lock()
	n.queue = append([]Notice(nil), n.queue[len(batch):]...)
	n.mu.Unlock()
	n.acknowledged(nums)
}

// postBatch posts the notices in one call. It returns an error unless the agent answers 204.
func (n *NoticeQueue) postBatch(ctx context.Context, batch []Notice) error {
	var body []byte
	for i := range batch {
		body = batch[i].appendJSON(body)
	}
	addr := n.agent.currentAddr()
	request := http1.AppendRequest(nil, "POST", "/v1/outcomes", addr)
	m, err := n.agent.call(ctx, addr, http1.AppendBody(request, body), noticeTimeout)
	n.agent.close() // a duplicate of this answer could be taken for the answer to the next batch
	if err != nil {
		return err
	}
	if m.Status != 204 {
		return fmt.Errorf("discovery answered %d to a POST of notices", m.Status)
	}
	return nil
}

// appendJSON appends the notice to b as a line of JSON.
func (n *Notice) appendJSON(b []byte) []byte {
	b = append(b, `{"message":`...)
	b = strconv.AppendQuote(b, n.Trace) // printable ASCII only, for which Go and JSON quote alike
	if !n.Returned {
		return append(b, ",\"outcome\":\"given_up\"}\n"...)
	}
	b = append(b, `,"outcome":"handed_back"`...)
	if n.RetryMS > 0 {
		b = append(b, `,"retry_in_ms":`...)
		b = strconv.AppendInt(b, n.RetryMS, 10)
	}
	return append(b, "}\n"...)
}
