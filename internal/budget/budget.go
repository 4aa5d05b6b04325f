// Package budget divides a sender's limits among its processes. A sender is one process, but for an upgrade: the old and
// the new version then run side by side, and the platform counts their memory and their file descriptors together. The
// package does no I/O.
package budget

import (
	"math"

	"sliptide/internal/config"
	"sliptide/internal/statedir"
)

const (
	heapFraction     = 0.75 // of the memory, before the state directory: for the Go runtime
	clientFraction   = 1.0 / 3
	bodyFraction     = 1.0 / 8 // the heap holds large requests twice until they are collected
	startingFraction = 0.1     // of the memory, for the heap of a process beside one that still uses the whole

	bytesPerClientConn = 24 << 10 // memory of a client's connection, with its goroutine
	minHeapBytes       = 16 << 20 // of all processes together
	minClientConns     = 16
	minBodyBytes       = 1 << 20

	// reservedFDs is the number of descriptors of a process other than connections of clients and endpoints.
	reservedFDs = 32

	// connsPerCallSlot and maxIdleEndpointConns determine the number of connections to endpoints: several for each
	// concurrent call, and some idle ones.
	connsPerCallSlot     = 4
	maxIdleEndpointConns = 64
)

// Share is the part of the sender's limits that a process may use.
type Share struct {
	active  int  // processes that serve clients, with this one; 0: Starting
	leaving int  // others that serve none any more
	leaves  bool // this process serves none any more
}

var (
	// Starting is the share of a new process while another one still uses the whole: what that one leaves.
	Starting = Share{}
	// Whole is the share of the only process.
	Whole = Share{active: 1}
	// Last is the share of a process that serves no client any more and ends when its calls have.
	Last = Share{leaves: true}
)

// Divided returns the share of each of several processes that serve clients, beside others that are leaving.
func Divided(active, leaving int) Share { return Share{active: active, leaving: leaving} }

// IsPart reports whether the share leaves something to other processes.
func (s Share) IsPart() bool { return s.Processes() > 1 }

// Processes returns among how many processes the limits are shared, as statedir.Processes.SetSharing takes it.
func (s Share) Processes() int {
	if s == Starting || s == Last {
		return statedir.ShareAmongAll
	}
	return s.active + s.leaving
}

// Next returns the share of a process that has had the share s until now. others counts the sender's other processes.
// unregistered reports that the process that it is to replace runs but may not be among them: an older version, which
// uses the whole, or one that has just ended.
func (s Share) Next(others statedir.Counts, unregistered bool) Share {
	switch {
	case s == Last, others.Running == 0 && unregistered:
		return s
	case others.Running == 0:
		return Whole
	case s == Starting && others.Sharing < others.Running:
		return Starting
	}
	return Divided(others.Running-others.Leaving+1, others.Leaving)
}

// Budget is what a process may use.
type Budget struct {
	HeapBytes   int64 // memory limit of the Go runtime; math.MaxInt64: no limit
	ClientConns int   // connections of clients
	BodyBytes   int64 // memory of the requests that do not fit into the buffers of their connections
}

// EndpointConns returns the number of connections to endpoints. Only one process of a sender has any at a time.
func EndpointConns(limits config.Limits, callSlots int) int {
	return min((limits.Sockets-reservedFDs)*2/5, maxIdleEndpointConns+connsPerCallSlot*callSlots)
}

// For returns the budget of a process with that share beside others. The connections to endpoints are as EndpointConns
// returns them.
func For(limits config.Limits, endpointConns int, share Share, others statedir.Counts) Budget {
	b := Budget{HeapBytes: math.MaxInt64, BodyBytes: math.MaxInt64}
	if limits.MemoryMB > 0 {
		b.HeapBytes = share.heapBytes(limits)
		b.BodyBytes = share.bodyBytes(limits)
	}
	b.ClientConns = clientConns(limits, limits.Sockets-endpointConns, share, others)
	return b
}

// clientConns returns how many of the descriptors that endpoints leave are for clients' connections to this process.
// New connections go to all processes that accept any.
func clientConns(limits config.Limits, descriptors int, share Share, others statedir.Counts) int {
	running := others.Running + 1
	if share == Starting {
		running = max(running, 2) // an older version does not register
	}
	accepting := running - others.Closed
	conns := (descriptors - reservedFDs*running - others.ClosedConns) / accepting
	if limits.MemoryMB > 0 {
		memoryConns := memoryBytes(limits) * clientFraction / bytesPerClientConn
		conns = min(conns, int(memoryConns)/accepting)
	}
	return max(conns, minClientConns)
}

func memoryBytes(limits config.Limits) float64 { return limits.MemoryMB * (1 << 20) }

// heapBytes returns the memory limit of the Go runtime. Files in the state directory count as memory too.
func (s Share) heapBytes(limits config.Limits) int64 {
	starting := int64(memoryBytes(limits) * startingFraction)
	last := starting + limits.DiskBytes // the messages that it holds are in the journal
	whole := max(int64(memoryBytes(limits)*heapFraction)-limits.DiskBytes, minHeapBytes)
	switch s {
	case Starting:
		return starting
	case Last:
		return min(last, whole/2)
	}
	return (whole - int64(s.leaving)*min(last, whole/2)) / int64(s.active)
}

// bodyBytes returns the memory for large requests.
func (s Share) bodyBytes(limits config.Limits) int64 {
	if s == Starting || s == Last {
		return minBodyBytes
	}
	return max(int64(memoryBytes(limits)*bodyFraction)/int64(s.active), minBodyBytes)
}
