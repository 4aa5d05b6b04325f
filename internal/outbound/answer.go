package outbound

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"sliptide/policy"
)

// answer is what an endpoint's answer says of one message.
type answer struct {
	outcome policy.Outcome
	closed  bool // the message is over
	wait    float64
	report  []float64
}

// answer maps a response, over HTTP/1.1 or HTTP/2, as the protocol's table does. get returns a header of
// a name in lower case. A status that the table does not name counts as an error that may have run.
func (p *Pool) answer(status int, get func(string) string, single bool) answer {
	a := answer{outcome: policy.Error, report: p.report([]byte(get("endpoint-load-metrics")))}
	if v, err := strconv.ParseFloat(get("retry-after"), 64); err == nil && v > 0 && v < 1e6 {
		a.wait = math.Ceil(v * 1000)
	}
	switch status {
	case 200:
		a.outcome = policy.OK
	case 429:
		a.outcome = policy.Full
	case 503:
		a.outcome = policy.Full
		if get("x-egress-full") != "" {
			a.outcome = policy.Moot
		}
	case 504:
		a.outcome = policy.Moot
	case 410:
		a.outcome, a.closed = policy.Moot, true
	case 400, 413:
		if !single { // the whole call could not be read
			a.outcome = policy.Moot
		}
	}
	return a
}

// report reads the values of a load report into the settings' positions. One of which
// any part makes no sense is no report: half of it could hold a whole destination back.
func (p *Pool) report(v []byte) []float64 {
	if len(v) == 0 || max(p.opt.X0, p.opt.X1) < 0 {
		return nil
	}
	out := make([]float64, max(p.opt.X0, p.opt.X1)+1)
	v = bytes.TrimPrefix(v, []byte("TEXT "))
	for _, pair := range bytes.Split(v, []byte(",")) {
		name, text, _ := bytes.Cut(bytes.TrimSpace(pair), []byte("="))
		f, err := strconv.ParseFloat(string(text), 64)
		if err != nil || !(f >= 0 && f < reportMost) {
			return nil
		}
		switch {
		case string(name) == "x0" && p.opt.X0 >= 0:
			out[p.opt.X0] = f
		case string(name) == "x1" && p.opt.X1 >= 0:
			out[p.opt.X1] = f
		}
	}
	return out
}

// reportMost bounds a report's values.
const reportMost = 1e7

// states are the ends of one message in the answer to a bulk call.
var states = map[string]answer{
	"accepted": {outcome: policy.OK},
	"fault":    {outcome: policy.Error},
	"deferred": {outcome: policy.Full},
	"expired":  {outcome: policy.Moot, closed: true},
	"no_more":  {outcome: policy.Moot},
}

// each reads the end of each message from the answer to a bulk call. One that
// the answer does not name may have run; whole is false then.
func each(parser *fastjson.Parser, c *Call, body []byte, all answer) (events []policy.Event, whole bool) {
	ends := make(map[string]answer, len(c.Items))
	if v, err := parser.ParseBytes(body); err == nil {
		for _, item := range v.GetArray() {
			if a, ok := states[string(item.GetStringBytes("state"))]; ok {
				a.wait, a.report = all.wait, all.report
				ends[string(item.GetStringBytes("id"))] = a
			}
		}
	}
	unnamed := answer{outcome: policy.Error, wait: all.wait, report: all.report}
	events, whole = make([]policy.Event, 0, len(c.Items)), true
	for i := range c.Items {
		a, ok := ends[c.Items[i].Trace]
		if !ok {
			a, whole = unnamed, false
		}
		events = append(events, c.event(i, a))
	}
	return events, whole
}

// events gives all messages of a call the same end.
func (c *Call) events(a answer) []policy.Event {
	if len(c.Items) == 0 {
		return []policy.Event{{Kind: policy.EvProbe, Endpoint: c.Endpoint, Outcome: a.outcome, Latency: c.latency(), Report: a.report}}
	}
	events := make([]policy.Event, 0, len(c.Items))
	for i := range c.Items {
		events = append(events, c.event(i, a))
	}
	return events
}

func (c *Call) event(i int, a answer) policy.Event {
	return policy.Event{
		Kind: policy.EvOutcome, ID: c.Items[i].ID, Attempt: c.Items[i].Attempt, Endpoint: c.Endpoint,
		Outcome: a.outcome, Final: a.closed, RequestedWait: a.wait, Latency: c.latency(), Report: a.report,
	}
}

// DroppedEvents is how a call ends that Drop gave up.
func (c *Call) DroppedEvents() []policy.Event { return c.events(answer{outcome: policy.Moot}) }

func (c *Call) latency() float64 { return float64(time.Since(c.SentAt)) / 1e6 }
