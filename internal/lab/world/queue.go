package world

// event is one event of the simulation. Times are virtual milliseconds.
type event struct {
	at       float64
	seq      uint64 // order of creation: breaks ties of equal times, so that a seed determines the run
	kind     eventKind
	sender   *sender
	call     *call
	msg      *message
	arg      int               // token of evTimer, partner of evReturn and evList
	duration float64           // of evOutage; 0: the length in Params
	do       func(now float64) // of evFleet
}

type eventKind uint8

const (
	evNewMessage  eventKind = iota // a client creates a message
	evSubmit                       // a client submits a message to a sender
	evStep                         // a sender runs a step
	evTimer                        // the decision module's timer is due
	evGuardDue                     // the storm guard or a shared trial is due
	evDialled                      // a dial ends
	evCallArrives                  // the last byte of a call reaches its endpoint
	evCallEnds                     // a call ends at its sender
	evOutage                       // a partner goes down
	evReturn                       // a partner comes back
	evList                         // an update of the endpoint list reaches a sender
	evRestart                      // a sender is killed and starts again
	evFleet                        // the fleet commits a command, notifies a member or ends a session
)

// queue is a priority queue of events. It is a 4-ary heap, which is shallower than a binary one: this matters with
// a million events in it.
type queue struct {
	heap []event
	seq  uint64
}

func (q *queue) less(i, j int) bool {
	a, b := &q.heap[i], &q.heap[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// push adds an event and sets its seq.
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

// pop removes and returns the earliest event. The queue must not be empty.
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
