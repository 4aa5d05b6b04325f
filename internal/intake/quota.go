package intake

import "sync"

// quota is an amount of which holders use parts, and whose limit may change. It is safe for concurrent use.
type quota struct {
	released chan struct{} // receives a value after a release or a change of the limit

	mu    sync.Mutex
	limit int64
	used  int64
}

func newQuota(limit int64) *quota {
	return &quota{released: make(chan struct{}, 1), limit: limit}
}

// tryAcquire takes an amount if it is free, and reports whether it was.
func (q *quota) tryAcquire(amount int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.limit-q.used < amount {
		return false
	}
	q.used += amount
	return true
}

func (q *quota) release(amount int64) {
	q.mu.Lock()
	q.used -= amount
	q.mu.Unlock()
	q.notify()
}

// setLimit changes the limit. What is in use stays so, even beyond the limit, until its holders release it.
func (q *quota) setLimit(limit int64) {
	q.mu.Lock()
	q.limit = limit
	q.mu.Unlock()
	q.notify()
}

// free returns what may be acquired; it is negative while more than the limit is in use.
func (q *quota) free() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limit - q.used
}

func (q *quota) size() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limit
}

func (q *quota) notify() {
	select {
	case q.released <- struct{}{}:
	default:
	}
}
