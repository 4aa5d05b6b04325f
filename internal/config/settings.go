package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"sliptide/policy"
)

// maxItems is the maximum number of classes, and of tenants, in the settings.
const maxItems = 1 << 12

// ParseSettings reads the path=value lines of a start message on the simulator's wire.
func ParseSettings(info string) (policy.Settings, error) {
	m := map[string]string{}
	for _, line := range strings.Split(info, "\n") {
		if k, v, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			m[k] = v
		}
	}
	return readSettings(m)
}

// readSettings fills the settings from path=value pairs, the form that the wire and the flattened JSON share. Unknown
// settings are ignored; a missing setting without a default is an error.
func readSettings(values map[string]string) (policy.Settings, error) {
	p := pairs{values: values}
	s := policy.Settings{
		Index:                p.integer("index", 0),
		Senders:              p.integer("balancers", 1),
		Zone:                 p.integer("zone", 0),
		Zones:                p.list("areas"),
		MinStepInterval:      p.float("round", 0),
		CallSlots:            p.integer("family_info.call_slots", required),
		WorthHalves:          p.values["family_info.loses_worth"] == "halves",
		OverShareWorth:       p.float("over_share_worth", 1),
		CrossZoneFee:         p.float("fees.cross_zone", 0),
		RatingIsRate:         p.values["weights"] == "nominal" || p.values["weights"] == "rough",
		MayCancel:            p.flag("limits.may_cancel"),
		MayProbe:             p.flag("limits.probes"),
		MarksResubmissions:   p.flag("callers.marks_retry"),
		SendsRetryAfter:      p.flag("limits.retry_after"),
		MaxRetryAfter:        p.float("limits.max_retry_after", 0),
		MaxAttempts:          p.integer("limits.max_attempts", required),
		MaxHeld:              p.integer("limits.most_held", required),
		StreamsPerConn:       p.integer("limits.streams_per_conn", 1),
		KeepAlive:            p.float("limits.keepalive", 0),
		DialTimeout:          p.float("limits.dial_timeout", 0),
		Subscribe:            p.values["discovery"] == "subscribe",
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
	for i, f := range strings.Split(p.values["reporting.fields"], ",") {
		switch f {
		case "x0":
			s.AllowanceIndex = i
		case "x1":
			s.LimitIndex = i
		}
	}
	classes := p.count("services.count", required)
	if classes == 0 && p.err == nil {
		p.fail("services", fmt.Errorf("no class is defined; at least one is required"))
	}
	for i := range classes {
		s.Classes = append(s.Classes, p.class(fmt.Sprintf("services.%d.", i), s.Classes))
	}
	for i := range p.count("tenants.count", 0) {
		s.Tenants = append(s.Tenants, p.tenant(fmt.Sprintf("tenants.%d.", i), s.Tenants))
	}
	s.Kinds = p.kinds()
	for _, v := range p.list("family_info.toll") {
		fee, err := number(v)
		if err != nil {
			p.fail("family_info.toll", err)
		}
		s.ZoneFees = append(s.ZoneFees, fee)
	}
	if len(s.Zones) > 0 && (s.Zone < 0 || s.Zone >= len(s.Zones)) {
		p.fail("zone", fmt.Errorf("index %d is out of range; allowed: 0 to %d, the indices of areas %v", s.Zone, len(s.Zones)-1, s.Zones))
	}
	if len(s.ZoneFees) > 1 && len(s.ZoneFees) != len(s.Zones) {
		p.fail("family_info.toll", fmt.Errorf("%d values for the %d zones of areas %v; allowed: one for each zone", len(s.ZoneFees), len(s.Zones), s.Zones))
	}
	p.requireOver("limits.max_attempts", float64(s.MaxAttempts), 0, "an integer greater than 0")
	p.requireOver("family_info.call_slots", float64(s.CallSlots), 0, "an integer greater than 0")
	return s, p.err
}

// class reads the class whose keys begin with prefix. Its name must differ from those of earlier ones.
func (p *pairs) class(prefix string, earlier []policy.Class) policy.Class {
	c := policy.Class{
		Name:        p.values[prefix+"name"],
		Deadline:    p.float(prefix+"deadline", required),
		Worth:       p.float(prefix+"worth", required),
		LateWorth:   p.float(prefix+"late_worth", 0),
		ZoneScope:   p.values[prefix+"key_scope"] != "" && p.values[prefix+"key_scope"] != scopeAll,
		DedupWindow: p.float(prefix+"memory_span", 0),
		Ordered:     p.flag(prefix + "by_arrival"),
	}
	c.Aim = p.float(prefix+"aim", c.Deadline)
	p.requireOver(prefix+"deadline", c.Deadline, 0, "a time in milliseconds greater than 0")
	p.requireOver(prefix+"aim", c.Aim, 0, "a time in milliseconds greater than 0")
	if slices.ContainsFunc(earlier, func(o policy.Class) bool { return o.Name == c.Name }) {
		p.fail(prefix+"name", fmt.Errorf("duplicate class name %q", c.Name))
	}
	switch e := p.values[prefix+"effect"]; e {
	case effectSafe:
		c.Effect = policy.Safe
	case effectKeyed:
		c.Effect = policy.Keyed
		p.checkScope(prefix + "key_scope")
		// Without a dedup window no repeat would be allowed, which is another effect.
		p.requireOver(prefix+"memory_span", p.float(prefix+"memory_span", required), 0, "a time in milliseconds greater than 0, which the effect keyed requires")
	case effectUnsafe:
		c.Effect = policy.Unsafe
	default:
		p.fail(prefix+"effect", fmt.Errorf("invalid value %q; allowed: %s, %s, %s", e, effectSafe, effectKeyed, effectUnsafe))
	}
	return c
}

// tenant reads the tenant whose keys begin with prefix. Its name must differ from those of earlier ones.
func (p *pairs) tenant(prefix string, earlier []policy.Tenant) policy.Tenant {
	t := policy.Tenant{Name: p.values[prefix+"name"], Quota: p.float(prefix+"quota_per_s", required)}
	p.float(prefix+"fraction", 0) // unused, but validated: an invalid value indicates a wrong file
	if slices.ContainsFunc(earlier, func(o policy.Tenant) bool { return o.Name == t.Name }) {
		p.fail(prefix+"name", fmt.Errorf("duplicate tenant name %q", t.Name))
	}
	return t
}

// kinds reads the kinds of destinations. The settings state them as one list for each property.
func (p *pairs) kinds() (kinds []policy.DestKind) {
	ownLimits, batches := p.list("family_info.own_limits"), p.list("family_info.kind_batch")
	names := p.list("kinds")
	for i := range max(len(ownLimits), len(batches), len(names)) {
		k := policy.DestKind{Batch: 1}
		if i < len(names) {
			k.Name = names[i]
		}
		if i < len(ownLimits) {
			k.OwnLimits = ownLimits[i] == "true"
		}
		if i < len(batches) {
			k.Batch = p.batch(batches[i], i)
		}
		kinds = append(kinds, k)
	}
	return kinds
}

// batch reads how many messages one call to the kind of destination with that index may carry.
func (p *pairs) batch(value string, kind int) int {
	n, err := strconv.Atoi(value)
	if err != nil || n < 1 || n > maxBatch {
		p.fail(fmt.Sprintf("family_info.kind_batch.%d", kind), fmt.Errorf("invalid value %q; allowed: messages in one call, 1 to %d", value, maxBatch))
	}
	return max(n, 1)
}

// The values of a class's effect, and of the scope within which endpoints drop repeats of a keyed class.
const (
	effectSafe   = "safe"
	effectKeyed  = "keyed"
	effectUnsafe = "unsafe"

	scopeAll  = "all"
	scopeZone = "zone"
)

// checkScope records an error unless the scope of a keyed class is one of the known ones. There is no default: a repeat
// outside the scope takes effect twice.
func (p *pairs) checkScope(key string) {
	switch scope := p.values[key]; scope {
	case scopeAll, scopeZone:
	case "":
		p.fail(key, fmt.Errorf("missing; allowed: %s, %s, one of which the effect %s requires", scopeAll, scopeZone, effectKeyed))
	default:
		p.fail(key, fmt.Errorf("invalid value %q; allowed: %s, %s", scope, scopeAll, scopeZone))
	}
}

// maxBatch bounds the messages in one call that a kind may allow: a body of 64 KiB holds no more.
const maxBatch = 1000

// required is passed in place of a default for a setting that must be present.
const required = -1

// pairs reads typed values of path=value pairs and keeps the first error. The values that it returns after an error are
// unspecified.
type pairs struct {
	values map[string]string
	err    error
}

func (p *pairs) fail(key string, err error) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s: %w", key, err)
	}
}

// float returns the number under key, or def if the key is absent or its value empty. With def required, absence is an
// error.
func (p *pairs) float(key string, def float64) float64 {
	v, ok := p.values[key]
	if !ok || v == "" {
		if def == required {
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

// number parses a numeric setting. Times, rates, counts, shares and worths are all finite and not negative.
func number(v string) (float64, error) {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || !(f >= 0) || math.IsInf(f, 0) {
		return 0, fmt.Errorf("invalid value %q; allowed: a number of 0 or more", v)
	}
	return f, nil
}

// integer returns the number under key as an int, rounded down; def is as for float.
func (p *pairs) integer(key string, def int) int {
	f := p.float(key, float64(def))
	if f != f || f < -1<<31 || f > 1<<31 {
		p.fail(key, fmt.Errorf("%v is out of range", f))
		return 0
	}
	return int(f)
}

// count returns the number of items of a list, which may be at most maxItems; def is as for float.
func (p *pairs) count(key string, def int) int {
	n := p.integer(key, def)
	if n < 0 || n > maxItems {
		p.fail(key, fmt.Errorf("%d items: out of range", n))
		return 0
	}
	return n
}

// requireOver records an error unless v is greater than bound; allowed describes the permitted values.
func (p *pairs) requireOver(key string, v, bound float64, allowed string) {
	if !(v > bound) && p.err == nil {
		p.fail(key, fmt.Errorf("invalid value %v; allowed: %s", v, allowed))
	}
}

func (p *pairs) flag(key string) bool { return p.values[key] == "true" }

func (p *pairs) list(key string) []string {
	if p.values[key] == "" {
		return nil
	}
	return strings.Split(p.values[key], ",")
}
