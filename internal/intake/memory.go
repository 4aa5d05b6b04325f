package intake

// maxBodyEvictions is the number of connections that are asked to close when a large request finds no memory.
const maxBodyEvictions = 4

// bodyMemory bounds the memory of the large requests on all connections. A request that finds none is refused at once: a
// waiting one would hold a slot. The connections whose requests have been arriving for longest are closed then, so that
// there is memory when the client submits again. It implements http1.Memory.
type bodyMemory struct {
	bytes *quota
	evict func() // asks connections to close that hold memory
}

func newBodyMemory(bytes int64, evict func()) *bodyMemory {
	return &bodyMemory{bytes: newQuota(bytes), evict: evict}
}

// Reserve reserves memory for a request, if there is enough.
func (m *bodyMemory) Reserve(bytes int) bool {
	if m.bytes.tryAcquire(int64(bytes)) {
		return true
	}
	m.evict()
	return false
}

// Release returns the memory of a request.
func (m *bodyMemory) Release(bytes int) { m.bytes.release(int64(bytes)) }
