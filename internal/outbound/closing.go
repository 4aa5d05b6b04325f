package outbound

// CloseReason says why a connection over HTTP/1.1 to an endpoint was closed.
type CloseReason uint8

// The reasons.
const (
	CloseIdle        CloseReason = iota // idle for as long as a connection is kept
	CloseEvicted                        // idle, and its place was needed
	CloseHungUp                         // idle, and the decision module wants none kept
	CloseReplaced                       // idle, and its endpoint has another address or is reached in another way
	ClosePeer                           // the endpoint closed it while it was idle
	CloseUnsolicited                    // the endpoint sent what nobody had asked for
	CloseTrailing                       // an answer had more behind it than belongs to it
	CloseWrite                          // a request could not be written
	CloseBroken                         // it broke, or nothing came in time, before a whole answer
	CloseSpoilt                         // an answer could not be read
	CloseAsked                          // an answer said that it closes
	CloseGivenUp                        // its call was given up
	CloseMismatch                       // an answer can't be that to the call that was out
	CloseRefused                        // an answer was no 200
	CloseDistrusted                     // its endpoint has answered out of turn lately
	ClosePaceUnknown                    // nothing is known yet of how long its endpoint takes
)

var closeReasons = [...]string{
	CloseIdle: "idle", CloseEvicted: "evicted", CloseHungUp: "hung up", CloseReplaced: "replaced", ClosePeer: "closed by the endpoint",
	CloseUnsolicited: "unsolicited bytes", CloseTrailing: "bytes behind an answer", CloseWrite: "request not written", CloseBroken: "broken", CloseSpoilt: "answer that cannot be read",
	CloseAsked: "asked to close", CloseGivenUp: "call given up",
	CloseMismatch: "answer of another call", CloseRefused: "answer other than 200", CloseDistrusted: "endpoint answers out of turn",
	ClosePaceUnknown: "endpoint's time not known",
}

// String names the reason in the log.
func (r CloseReason) String() string { return closeReasons[r] }

// Closing tells of one connection that was closed.
type Closing struct {
	Endpoint uint32
	Addr     string
	Reason   CloseReason
	Answers  int // that it has carried
}

// closed tells of the end of a connection, where somebody listens.
func (k *conn) closed(reason CloseReason) {
	if k.pool.opt.Closed != nil {
		k.pool.opt.Closed(Closing{Endpoint: k.endpoint, Addr: k.addr, Reason: reason, Answers: k.answers})
	}
}
