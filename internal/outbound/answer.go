package outbound

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"sliptide/policy"
)

// itemResult holds what a response says about one message.
type itemResult struct {
	outcome       policy.Outcome
	final         bool      // the message is over: no further attempt is made
	requestedWait float64   // from Retry-After, in milliseconds; 0: none
	report        []float64 // values of the load report; nil: none
}

// classify maps an HTTP/1.1 or HTTP/2 response to a result, by the protocol's table of statuses. get returns the value
// of a header, given its name in lower case. single is false for a bulk call. A status that is not in the table counts
// as an error after which the message may have run. A Retry-After that is not between 0 and 1e6 seconds is ignored.
func (p *Pool) classify(status int, get func(string) string, single bool) itemResult {
	result := itemResult{outcome: policy.Error, report: p.parseReport([]byte(get("endpoint-load-metrics")))}
	if seconds, err := strconv.ParseFloat(get("retry-after"), 64); err == nil && seconds > 0 && seconds < 1e6 {
		result.requestedWait = math.Ceil(seconds * 1000)
	}
	switch status {
	case 200:
		result.outcome = policy.OK
	case 429:
		result.outcome = policy.Full
	case 503:
		result.outcome = policy.Full
		if get("x-egress-full") != "" {
			result.outcome = policy.Moot
		}
	case 504:
		result.outcome = policy.Moot
	case 410:
		result.outcome, result.final = policy.Moot, true
	case 400, 413:
		if !single { // the endpoint could not read the bulk request: no message ran
			result.outcome = policy.Moot
		}
	}
	return result
}

// parseReport returns the values of a load report such as "TEXT x0=0.5,x1=200", at the indexes Options.X0 and
// Options.X1. It returns nil if there is no report or neither value is used. A report with any invalid part is ignored
// as a whole: the rest of it could throttle a whole destination.
func (p *Pool) parseReport(header []byte) []float64 {
	if len(header) == 0 || max(p.opt.X0, p.opt.X1) < 0 {
		return nil
	}
	values := make([]float64, max(p.opt.X0, p.opt.X1)+1)
	header = bytes.TrimPrefix(header, []byte("TEXT "))
	for _, pair := range bytes.Split(header, []byte(",")) {
		name, number, _ := bytes.Cut(bytes.TrimSpace(pair), []byte("="))
		value, err := strconv.ParseFloat(string(number), 64)
		if err != nil || !(value >= 0 && value < maxReportValue) {
			return nil
		}
		switch {
		case string(name) == "x0" && p.opt.X0 >= 0:
			values[p.opt.X0] = value
		case string(name) == "x1" && p.opt.X1 >= 0:
			values[p.opt.X1] = value
		}
	}
	return values
}

// maxReportValue is the exclusive upper limit of the values of a load report.
const maxReportValue = 1e7

// bulkStates maps the states of a message in the response to a bulk call to results.
var bulkStates = map[string]itemResult{
	"accepted": {outcome: policy.OK},
	"fault":    {outcome: policy.Error},
	"deferred": {outcome: policy.Full},
	"expired":  {outcome: policy.Moot, final: true},
	"no_more":  {outcome: policy.Moot},
}

// parseBulk reads the result of each message from the response to a bulk call. The requested wait and the load report
// of common, the result of the response itself, apply to every message. A message that the response does not name may
// have run; complete is false then.
func parseBulk(parser *fastjson.Parser, c *Call, body []byte, common itemResult) (events []policy.Event, complete bool) {
	results := make(map[string]itemResult, len(c.Items))
	if v, err := parser.ParseBytes(body); err == nil {
		for _, item := range v.GetArray() {
			if result, ok := bulkStates[string(item.GetStringBytes("state"))]; ok {
				result.requestedWait, result.report = common.requestedWait, common.report
				results[string(item.GetStringBytes("id"))] = result
			}
		}
	}
	unnamed := itemResult{outcome: policy.Error, requestedWait: common.requestedWait, report: common.report}
	events, complete = make([]policy.Event, 0, len(c.Items)), true
	for i := range c.Items {
		result, ok := results[c.Items[i].Trace]
		if !ok {
			result, complete = unnamed, false
		}
		events = append(events, c.eventFor(i, result))
	}
	return events, complete
}

// eventsFor returns the events that give all messages of a call, or the probe, the same result.
func (c *Call) eventsFor(result itemResult) []policy.Event {
	if len(c.Items) == 0 {
		return []policy.Event{{
			Kind: policy.EvProbe, Endpoint: c.Endpoint, Outcome: result.outcome, Latency: c.latencyMS(), Report: result.report,
		}}
	}
	events := make([]policy.Event, 0, len(c.Items))
	for i := range c.Items {
		events = append(events, c.eventFor(i, result))
	}
	return events
}

func (c *Call) eventFor(i int, result itemResult) policy.Event {
	return policy.Event{
		Kind: policy.EvOutcome, ID: c.Items[i].ID, Attempt: c.Items[i].Attempt, Endpoint: c.Endpoint,
		Outcome: result.outcome, Final: result.final, RequestedWait: result.requestedWait, Latency: c.latencyMS(),
		Report: result.report,
	}
}

// DroppedEvents returns the events of a call that Drop has cancelled.
func (c *Call) DroppedEvents() []policy.Event { return c.eventsFor(itemResult{outcome: policy.Moot}) }

// latencyMS returns the time since SentAt in milliseconds.
func (c *Call) latencyMS() float64 { return float64(time.Since(c.SentAt)) / 1e6 }
