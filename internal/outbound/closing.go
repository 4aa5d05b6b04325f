package outbound

// CloseReason says why a connection over HTTP/1.1 to an endpoint was closed.
type CloseReason uint8

// The reasons.
const (
	CloseIdle                CloseReason = iota // idle for as long as a connection is kept
	CloseEvicted                                // idle, and its place was needed
	CloseByCaller                               // idle, and the decision module wants none kept
	CloseReplaced                               // idle, and its endpoint has another address or is reached in another way
	CloseByPeer                                 // the endpoint closed it while it was idle
	CloseUnsolicited                            // the endpoint sent what nobody had asked for
	CloseTrailingBytes                          // an answer had more behind it than belongs to it
	CloseWriteFailed                            // a request could not be written
	CloseBroken                                 // it broke, or nothing came in time, before a whole answer
	CloseMalformed                              // an answer could not be read
	CloseRequested                              // an answer said that it closes
	CloseAbandoned                              // its call was given up
	CloseMismatch                               // an answer can't be that to the call that was out
	CloseOtherStatus                            // an answer was no 200
	CloseDistrusted                             // its endpoint has answered out of turn lately
	CloseResponseTimeUnknown                    // nothing is known yet of how long its endpoint takes
)

var closeReasons = [...]string{
	CloseIdle: "idle", CloseEvicted: "evicted", CloseByCaller: "hung up", CloseReplaced: "replaced", CloseByPeer: "closed by the endpoint",
	CloseUnsolicited: "unsolicited bytes", CloseTrailingBytes: "bytes behind an answer", CloseWriteFailed: "request not written", CloseBroken: "broken", CloseMalformed: "answer that cannot be read",
	CloseRequested: "asked to close", CloseAbandoned: "call given up",
	CloseMismatch: "answer of another call", CloseOtherStatus: "answer other than 200", CloseDistrusted: "endpoint answers out of turn",
	CloseResponseTimeUnknown: "endpoint's time not known",
}

// String names the reason in the log.
func (r CloseReason) String() string { return closeReasons[r] }

// CloseEvent tells of one connection that was closed.
type CloseEvent struct {
	Endpoint uint32
	Addr     string
	Reason   CloseReason
	Answers  int // that it has carried
}

// closed tells of the end of a connection, where somebody listens.
func (k *conn) closed(reason CloseReason) {
	if k.pool.opt.OnConnClosed != nil {
		k.pool.opt.OnConnClosed(CloseEvent{Endpoint: k.endpoint, Addr: k.addr, Reason: reason, Answers: k.answers})
	}
}
