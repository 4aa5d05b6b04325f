package outbound

// CloseReason says why an HTTP/1.1 connection to an endpoint was closed.
type CloseReason uint8

// The reasons for which a connection is closed.
const (
	CloseIdle                CloseReason = iota // idle for the idle time-out
	CloseEvicted                                // idle, and closed to stay within the connection limit
	CloseByCaller                               // idle, and closed by CloseIdleConns
	CloseReplaced                               // idle, and its endpoint has a new address or other partner settings
	CloseByPeer                                 // the endpoint closed it while it was idle
	CloseUnsolicited                            // the endpoint sent bytes while no request was outstanding
	CloseTrailingBytes                          // a response was followed by bytes that do not belong to it
	CloseWriteFailed                            // a request could not be written
	CloseBroken                                 // it broke, or timed out, before a complete response
	CloseMalformed                              // a response could not be parsed, was too large, or stalled
	CloseRequested                              // a response announced the close
	CloseAbandoned                              // its call was abandoned
	CloseMismatch                               // a response cannot belong to its call, or left out a message of it
	CloseOtherStatus                            // a response had a status other than 200
	CloseDistrusted                             // connections to its endpoint carry one call each, see distrusted
	CloseResponseTimeUnknown                    // the typical response time of its endpoint is not known yet
)

var closeReasons = [...]string{
	CloseIdle:                "idle",
	CloseEvicted:             "evicted",
	CloseByCaller:            "closed by the sender",
	CloseReplaced:            "replaced",
	CloseByPeer:              "closed by the endpoint",
	CloseUnsolicited:         "unsolicited bytes",
	CloseTrailingBytes:       "bytes after a response",
	CloseWriteFailed:         "request not written",
	CloseBroken:              "broken",
	CloseMalformed:           "malformed response",
	CloseRequested:           "close requested by the endpoint",
	CloseAbandoned:           "call abandoned",
	CloseMismatch:            "response to another call",
	CloseOtherStatus:         "response other than 200",
	CloseDistrusted:          "endpoint distrusted",
	CloseResponseTimeUnknown: "response time unknown",
}

// String returns the reason as the log shows it.
func (r CloseReason) String() string { return closeReasons[r] }

// CloseEvent describes one closed HTTP/1.1 connection.
type CloseEvent struct {
	Endpoint  uint32
	Addr      string
	Reason    CloseReason
	Responses int // complete responses that it has carried
}

// reportClosed passes the end of the connection to OnConnClosed, if it is set.
func (cn *conn) reportClosed(reason CloseReason) {
	if cn.pool.opt.OnConnClosed != nil {
		cn.pool.opt.OnConnClosed(CloseEvent{Endpoint: cn.endpoint, Addr: cn.addr, Reason: reason, Responses: cn.responses})
	}
}
