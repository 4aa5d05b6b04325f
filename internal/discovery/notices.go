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
	noticeTimeout = 150 * time.Millisecond // the agent answers at once; a notice twice does no harm, a late one does
	noticePause   = 100 * time.Millisecond
	noticeLines   = 200 // in one call; a line has under 300 bytes
)

// Notice is the end of a message that was taken on and is not delivered.
type Notice struct {
	Num      uint64
	Trace    string
	Returned bool // else given up
	RetryMS  int64
}

// NoticeQueue hands in notices, each until it is taken.
type NoticeQueue struct {
	agent *client
	log   zerolog.Logger
	told  func([]uint64) // takes the numbers of the messages whose notice was taken

	mu    sync.Mutex
	queue []Notice // as long as there are live messages at most
	wake  chan struct{}
}

// NewNoticeQueue returns a NoticeQueue that posts to the agent at addr.
func NewNoticeQueue(addr string, log zerolog.Logger, told func([]uint64)) *NoticeQueue {
	return &NoticeQueue{agent: newClient(addr), log: log, told: told, wake: make(chan struct{}, 1)}
}

// SetAddr makes all notices from now on go to the agent at addr.
func (n *NoticeQueue) SetAddr(addr string) { n.agent.move(addr) }

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

// Run hands in what is queued until the context ends.
func (n *NoticeQueue) Run(ctx context.Context) {
	defer n.agent.close()
	failed := 0
	for {
		batch := n.next()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-n.wake:
			}
			continue
		}
		if err := n.post(ctx, batch); err != nil {
			if ctx.Err() != nil {
				return
			}
			// The first failure may be the kept connection's alone: a new one is tried at once.
			if failed++; failed > 1 {
				n.log.Warn().Err(err).Int("notices", len(batch)).Msg("notices not taken, trying again")
				pause(ctx, noticePause)
			}
			continue
		}
		failed = 0
		n.drop(batch)
	}
}

// next is what the next call carries.
func (n *NoticeQueue) next() []Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queue[:min(len(n.queue), noticeLines)]
}

// drop takes a batch that was taken off the queue.
func (n *NoticeQueue) drop(batch []Notice) {
	nums := make([]uint64, len(batch))
	for i := range batch {
		nums[i] = batch[i].Num
	}
	n.mu.Lock()
	n.queue = append([]Notice(nil), n.queue[len(batch):]...)
	n.mu.Unlock()
	n.told(nums)
}

func (n *NoticeQueue) post(ctx context.Context, batch []Notice) error {
	var body []byte
	for i := range batch {
		body = batch[i].append(body)
	}
	host := n.agent.host()
	request := http1.AppendRequest(nil, "POST", "/v1/outcomes", host)
	m, err := n.agent.do(ctx, host, http1.AppendBody(request, body), noticeTimeout)
	n.agent.close() // on a kept connection a copy of this answer could be taken for that to the next notices
	if err != nil {
		return err
	}
	if m.Status != 204 {
		return fmt.Errorf("the platform answers %d to notices", m.Status)
	}
	return nil
}

// append writes the notice as a line of JSON.
func (n *Notice) append(b []byte) []byte {
	b = append(b, `{"message":`...)
	b = strconv.AppendQuote(b, n.Trace) // printable ASCII only: the same as JSON's form
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
