package http1

import "sync"

// Memory bounds the memory that the large messages of several Readers take together. Its methods may be called
// concurrently.
type Memory interface {
	// Reserve reserves memory, in bytes, and reports whether there was enough. It does not wait.
	Reserve(bytes int) bool
	// Release returns memory that was reserved.
	Release(bytes int)
}

// bufferSizes are the sizes in bytes of the buffers that Readers with a Memory share, in ascending order. The last one
// holds any message with a body of up to MaxBody.
var bufferSizes = [...]int{16 << 10, 32 << 10, 64 << 10, MaxBody + MaxHead}

// sharedBuffers has the free buffers of each size. Without them each large message would be garbage to collect, at the
// pace at which clients send.
var sharedBuffers [len(bufferSizes)]sync.Pool

// sizeClass returns the index of the smallest size that holds that many bytes; ok is false if there is none.
func sizeClass(bytes int) (class int, ok bool) {
	for class, size := range bufferSizes {
		if bytes <= size {
			return class, true
		}
	}
	return 0, false
}

// SetMemory makes the Reader reserve the memory of messages that do not fit into its buffer. A message for which there
// is none gives ErrNoMemory. Release must be called when the Reader is no longer used.
func (r *Reader) SetMemory(m Memory) { r.memory = m }

// Release discards the last message, whose slices become invalid.
func (r *Reader) Release() { r.release() }

// acquireLarge sets r.large to a buffer of that many bytes, for a message that does not fit into r.br's buffer.
func (r *Reader) acquireLarge(bytes int) error {
	class, shared := sizeClass(bytes)
	reserve := bytes
	if shared {
		reserve = bufferSizes[class]
	}
	if r.memory != nil {
		if !r.memory.Reserve(reserve) {
			return ErrNoMemory
		}
		r.reserved = reserve
	}
	if r.memory == nil || !shared {
		r.large = make([]byte, bytes)
		return nil
	}
	if r.shared, _ = sharedBuffers[class].Get().(*[]byte); r.shared == nil {
		buffer := make([]byte, reserve)
		r.shared = &buffer
	}
	r.large = (*r.shared)[:bytes]
	return nil
}

// release discards the last message, whose slices become invalid. An idle connection must hold no large buffer.
func (r *Reader) release() {
	r.br.Discard(r.consumed)
	r.consumed = 0
	if r.large == nil {
		return
	}
	r.large = nil
	r.msg.dropSlices()
	if r.shared != nil {
		class, _ := sizeClass(len(*r.shared))
		sharedBuffers[class].Put(r.shared)
		r.shared = nil
	}
	if r.reserved > 0 {
		r.memory.Release(r.reserved)
		r.reserved = 0
	}
}

// dropSlices makes the message refer to no buffer.
func (m *Message) dropSlices() {
	m.Method, m.Path, m.Body = nil, nil, nil
	m.Headers = Headers{}
}
