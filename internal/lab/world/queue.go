package world

// what happens to whom is an event; times are virtual milliseconds.
type event struct {
	at   float64
	seq  uint64 // equal times go in the order of their making, so that a seed gives one run
	kind kind
	node *node
	call *call
	msg  *message
	n    int // a token, a partner, a key
	v    float64
	do   func(now float64) // of evFleet
}

type kind uint8

const (
	evArrive  kind = iota // a new message comes up at a client
	evHandIn              // a message reaches a sender
	evStep                // a sender steps
	evTimer               // its module's timer
	evLook                // its guard's
	evDialled             // a connection is up, or failed
	evReach               // a call's last byte reaches its endpoint
	evEnd                 // a call ends at its sender
	evOutage              // a partner goes down
	evReturn              // and is back
	evNews                // the list of endpoints reaches a sender
	evRestart             // a sender is killed and starts again
	evFleet               // something in the fleet that the senders are members of
)

// queue is a 4-ary heap of events: shallower than a binary one, which matters with a million waiting.
type queue struct {
	list []event
	seq  uint64
}

func (q *queue) less(i, j int) bool {
	a, b := &q.list[i], &q.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (q *queue) push(e event) {
	q.seq++
	e.seq = q.seq
	q.list = append(q.list, e)
	for i := len(q.list) - 1; i > 0; {
		up := (i - 1) / 4
		if !q.less(i, up) {
			return
		}
		q.list[i], q.list[up] = q.list[up], q.list[i]
		i = up
	}
}

func (q *queue) pop() event {
	top := q.list[0]
	last := len(q.list) - 1
	q.list[0] = q.list[last]
	q.list[last] = event{}
	q.list = q.list[:last]
	for i := 0; ; {
		least := i
		for c := 4*i + 1; c <= 4*i+4 && c < last; c++ {
			if q.less(c, least) {
				least = c
			}
		}
		if least == i {
			return top
		}
		q.list[i], q.list[least] = q.list[least], q.list[i]
		i = least
	}
}
