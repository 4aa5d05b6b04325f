package outbound

import (
	"encoding/base64"
	"strconv"
	"time"

	"sliptide/internal/http1"
)

// itemOverhead is an upper bound, in bytes, of what a message adds to a bulk body besides its own fields.
const itemOverhead = 40

// Size returns the maximum number of bytes that the message takes in the body of a bulk call.
func (i *Item) Size() int {
	return itemOverhead + 2*len(i.Trace) + 2*len(i.Key) + base64.StdEncoding.EncodedLen(len(i.Body))
}

// appendRequest appends the call's HTTP/1.1 request to b.
func (c *Call) appendRequest(b []byte) []byte {
	switch len(c.Items) {
	case 0:
		b = http1.AppendRequest(b, "GET", "/alive", c.Addr)
		return append(b, "\r\n"...)
	case 1:
		item := &c.Items[0]
		b = http1.AppendRequest(b, "POST", "/inbox", c.Addr)
		b = http1.AppendHeader(b, "X-Trace-Id", item.Trace)
		if item.Key != "" {
			b = http1.AppendHeader(b, "Idempotency-Key", item.Key)
		}
		return http1.AppendBody(c.appendExpiry(b), item.Body)
	}
	b = http1.AppendRequest(b, "POST", "/inbox/bulk", c.Addr)
	b = http1.AppendHeader(b, "Content-Type", "application/json")
	return http1.AppendBody(c.appendExpiry(b), c.bulkBody())
}

// appendExpiry appends the header that states how long this sender still waits, in seconds.
func (c *Call) appendExpiry(b []byte) []byte {
	remaining := c.Timeout - time.Since(c.SentAt)
	return http1.AppendSeconds(b, "X-Expires-In", max(float64(remaining)/1e6, 1))
}

// bulkBody returns the JSON body of a bulk call: an array with the trace ID of each message, its key if it has one, and
// its body in base64.
func (c *Call) bulkBody() []byte {
	b := []byte{'['}
	for i := range c.Items {
		item := &c.Items[i]
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"id":`...)
		b = strconv.AppendQuote(b, item.Trace) // printable ASCII only, which Go and JSON quote alike
		if item.Key != "" {
			b = append(b, `,"key":`...)
			b = strconv.AppendQuote(b, item.Key)
		}
		b = append(b, `,"body":"`...)
		b = base64.StdEncoding.AppendEncode(b, item.Body)
		b = append(b, `"}`...)
	}
	return append(b, ']')
}
