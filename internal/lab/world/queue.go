package world

// what happens to whom is an event; times are virtual milliseconds.
type event struct {
	at       float64
	seq      uint64 // equal times go in the order of their making, so that a seed gives one run
	kind     eventKind
	sender   *sender
	call     *call
	msg      *message
	n        int // a token, a partner, a key
	duration float64
	do       func(now float64) // of evFleet
}

type eventKind uint8

const (
	evNewMessage  eventKind = iota // a new message comes up at a client
	evSubmit                       // a message reaches a sender
	evStep                         // a sender steps
	evTimer                        // its module's timer
	evGuardDue                     // its guard's
	evDialled                      // a connection is up, or failed
	evCallArrives                  // a call's last byte reaches its endpoint
	evCallEnds                     // a call ends at its sender
	evOutage                       // a partner goes down
	evReturn                       // and is back
	evList                         // the list of endpoints reaches a sender
	evRestart                      // a sender is killed and starts again
	evFleet                        // something in the fleet that the senders are members of
)

// queue is a 4-ary heap of events: shallower than a binary one, which matters with a million waiting.
type queue struct {
	heap []event
	seq  uint64
}

func (q *queue) less(i, j int) bool {
	a, b := &q.heap[i], &q.heap[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (q *queue) push(e event) {
	q.seq++
	e.seq = q.seq
	q.heap = append(q.heap, e)
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / 4
		if !q.less(i, parent) {
			return
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

func (q *queue) pop() event {
	top := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		smallest := i
		for c := 4*i + 1; c <= 4*i+4 && c < last; c++ {
			if q.less(c, smallest) {
				smallest = c
			}
		}
		if smallest == i {
			return top
		}
		q.heap[i], q.heap[smallest] = q.heap[smallest], q.heap[i]
		i = smallest
	}
}
