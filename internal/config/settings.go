package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"sliptide/policy"
)

// maxItems bounds the lists of the settings, whatever count they state.
const maxItems = 1 << 12

// ParseSettings reads the path=value lines of a start on the simulator's wire.
func ParseSettings(info string) (policy.Settings, error) {
	m := map[string]string{}
	for _, line := range strings.Split(info, "\n") {
		if k, v, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			m[k] = v
		}
	}
	return readSettings(m)
}

// readSettings fills the settings from path=value pairs, the form that the wire
// and the flattened JSON share. Settings that are not known are passed over; one
// that is needed and missing is an error.
func readSettings(m map[string]string) (policy.Settings, error) {
	p := pairs{m: m}
	s := policy.Settings{
		Index:                p.integer("index", 0),
		Senders:              p.integer("balancers", 1),
		Zone:                 p.integer("zone", 0),
		Zones:                p.list("areas"),
		MinStepInterval:      p.float("round", 0),
		CallSlots:            p.integer("family_info.call_slots", need),
		WorthHalves:          p.m["family_info.loses_worth"] == "halves",
		OverShareWorth:       p.float("over_share_worth", 1),
		CrossZoneFee:         p.float("fees.cross_zone", 0),
		RatingIsRate:         p.m["weights"] == "nominal" || p.m["weights"] == "rough",
		MayCancel:            p.flag("limits.may_cancel"),
		MayProbe:             p.flag("limits.probes"),
		MarksResubmissions:   p.flag("callers.marks_retry"),
		SendsRetryAfter:      p.flag("limits.retry_after"),
		MaxRetryAfter:        p.float("limits.max_retry_after", 0),
		MaxAttempts:          p.integer("limits.max_attempts", need),
		MaxHeld:              p.integer("limits.most_held", need),
		StreamsPerConn:       p.integer("limits.streams_per_conn", 1),
		KeepAlive:            p.float("limits.keepalive", 0),
		DialTimeout:          p.float("limits.dial_timeout", 0),
		Subscribe:            p.m["discovery"] == "subscribe",
		MaxSubscribeInterval: p.float("contract.must_ask_in", 0),
		AnswerSlack:          p.float("contract.answer_slack", 0),
		DrainGrace:           p.float("contract.stop_sending_within", 0),
		WarmUpDuration:       p.float("contract.cold", 0),
		ColdCapacity:         p.float("contract.cold_from", 0),
		OverloadMultiple:     p.float("contract.tip_multiple", 1),
		OverloadWindow:       p.float("contract.tip_after", 0),
		KeyPause:             p.float("contract.settle_after_doubt", 0),
		AllowanceIndex:       -1,
		LimitIndex:           -1,
	}
	for i, f := range strings.Split(p.m["reporting.fields"], ",") {
		switch f {
		case "x0":
			s.AllowanceIndex = i
		case "x1":
			s.LimitIndex = i
		}
	}
	classes := p.count("services.count", need)
	if classes == 0 && p.err == nil {
		p.fail("services", fmt.Errorf("no class is defined; allowed: one or more"))
	}
	for i := range classes {
		at := fmt.Sprintf("services.%d.", i)
		c := policy.Class{
			Name:        p.m[at+"name"],
			Deadline:    p.float(at+"deadline", need),
			Worth:       p.float(at+"worth", need),
			LateWorth:   p.float(at+"late_worth", 0),
			ZoneScope:   p.m[at+"key_scope"] != "" && p.m[at+"key_scope"] != "all",
			DedupWindow: p.float(at+"memory_span", 0),
			Ordered:     p.flag(at + "by_arrival"),
		}
		c.Aim = p.float(at+"aim", c.Deadline)
		p.over(at+"deadline", c.Deadline, 0, "a time in milliseconds over 0")
		p.over(at+"aim", c.Aim, 0, "a time in milliseconds over 0")
		if slices.ContainsFunc(s.Classes, func(o policy.Class) bool { return o.Name == c.Name }) {
			p.fail(at+"name", fmt.Errorf("%q: allowed: a name that no other class has", c.Name))
		}
		switch e := p.m[at+"effect"]; e {
		case "safe":
			c.Effect = policy.Safe
		case "keyed":
			c.Effect = policy.Keyed
		case "unsafe":
			c.Effect = policy.Unsafe
		default:
			p.fail(at+"effect", fmt.Errorf("%q is not an effect; allowed: safe, keyed, unsafe", e))
		}
		if c.Effect == policy.Keyed { // without a window no repeat would ever be allowed: that is another effect
			p.over(at+"memory_span", p.float(at+"memory_span", need), 0, "a time in milliseconds over 0, where the effect is keyed")
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range p.count("tenants.count", 0) {
		at := fmt.Sprintf("tenants.%d.", i)
		t := policy.Tenant{Name: p.m[at+"name"], Quota: p.float(at+"quota_per_s", need)}
		p.float(at+"fraction", 0) // nothing goes by it, but a wrong one tells of a wrong file
		if slices.ContainsFunc(s.Tenants, func(o policy.Tenant) bool { return o.Name == t.Name }) {
			p.fail(at+"name", fmt.Errorf("%q: allowed: a name that no other tenant has", t.Name))
		}
		s.Tenants = append(s.Tenants, t)
	}
	own, batch := p.list("family_info.own_limits"), p.list("family_info.kind_batch")
	names := p.list("kinds")
	for i := range max(len(own), len(batch), len(names)) {
		k := policy.DestKind{Batch: 1}
		if i < len(names) {
			k.Name = names[i]
		}
		if i < len(own) {
			k.OwnLimits = own[i] == "true"
		}
		if i < len(batch) {
			n, err := strconv.Atoi(batch[i])
			if err != nil || n < 1 || n > maxBatch {
				p.fail(fmt.Sprintf("family_info.kind_batch.%d", i), fmt.Errorf("%q: allowed: a whole number of messages in one call, 1 to %d", batch[i], maxBatch))
			}
			k.Batch = max(n, 1)
		}
		s.Kinds = append(s.Kinds, k)
	}
	for _, v := range p.list("family_info.toll") {
		toll, err := number(v)
		if err != nil {
			p.fail("family_info.toll", err)
		}
		s.ZoneFees = append(s.ZoneFees, toll)
	}
	if len(s.Zones) > 0 && (s.Zone < 0 || s.Zone >= len(s.Zones)) {
		p.fail("zone", fmt.Errorf("%d names no zone; allowed: 0 to %d, the positions of areas %v", s.Zone, len(s.Zones)-1, s.Zones))
	}
	if len(s.ZoneFees) > 1 && len(s.ZoneFees) != len(s.Zones) {
		p.fail("family_info.toll", fmt.Errorf("%d figures for the %d zones of areas %v; allowed: one for each", len(s.ZoneFees), len(s.Zones), s.Zones))
	}
	p.over("limits.max_attempts", float64(s.MaxAttempts), 0, "a whole number over 0")
	p.over("family_info.call_slots", float64(s.CallSlots), 0, "a whole number over 0")
	return s, p.err
}

// maxBatch bounds the messages of one call that a kind may allow: what one body of 64 KiB can carry.
const maxBatch = 1000

// need marks a setting that has no default.
const need = -1

// pairs reads typed values and keeps the first error.
type pairs struct {
	m   map[string]string
	err error
}

func (p *pairs) fail(key string, err error) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s: %w", key, err)
	}
}

func (p *pairs) float(key string, def float64) float64 {
	v, ok := p.m[key]
	if !ok || v == "" {
		if def == need {
			p.fail(key, fmt.Errorf("missing"))
			return 0
		}
		return def
	}
	f, err := number(v)
	if err != nil {
		p.fail(key, err)
	}
	return f
}

// number reads a figure of the settings: times, rates, counts, shares and worths are all finite, and none is negative.
func number(v string) (float64, error) {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || !(f >= 0) || math.IsInf(f, 0) {
		return 0, fmt.Errorf("%q is not allowed; allowed: a number from 0 on", v)
	}
	return f, nil
}

func (p *pairs) integer(key string, def int) int {
	f := p.float(key, float64(def))
	if f != f || f < -1<<31 || f > 1<<31 {
		p.fail(key, fmt.Errorf("%v is out of range", f))
		return 0
	}
	return int(f)
}

func (p *pairs) count(key string, def int) int {
	n := p.integer(key, def)
	if n < 0 || n > maxItems {
		p.fail(key, fmt.Errorf("%d items", n))
		return 0
	}
	return n
}

// over fails where v is not over least, saying what is allowed.
func (p *pairs) over(key string, v, least float64, allowed string) {
	if !(v > least) && p.err == nil {
		p.fail(key, fmt.Errorf("%v is not allowed; allowed: %s", v, allowed))
	}
}

func (p *pairs) flag(key string) bool { return p.m[key] == "true" }

func (p *pairs) list(key string) []string {
	if p.m[key] == "" {
		return nil
	}
	return strings.Split(p.m[key], ",")
}
