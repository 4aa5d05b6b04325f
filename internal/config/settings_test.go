package config

import (
	"strings"
	"testing"
)

const goodSettings = `services.count=1
services.0.name=note
services.0.aim=4000
services.0.deadline=20000
services.0.effect=keyed
family_info.call_slots=10
family_info.kind_batch=5,1
kinds=big,plain
areas=a,b,c
zone=2
limits.max_attempts=6
limits.most_held=100`

// Settings that make no sense are refused whole, with the key, what it says and what is allowed.
func TestBadSettings(t *testing.T) {
	if _, err := ParseSettings(goodSettings); err != nil {
		t.Fatalf("good settings: %v", err)
	}
	for _, c := range []struct{ from, to, want string }{
		{"services.0.deadline=20000", "services.0.deadline=0", "setting services.0.deadline: 0 is not allowed; allowed: a time in milliseconds over 0"},
		{"services.0.deadline=20000", "services.0.deadline=-5", "setting services.0.deadline: -5 is not allowed"},
		{"services.0.aim=4000", "services.0.aim=0", "setting services.0.aim: 0 is not allowed"},
		{"limits.max_attempts=6", "limits.max_attempts=0", "setting limits.max_attempts: 0 is not allowed; allowed: a whole number over 0"},
		{"family_info.call_slots=10", "family_info.call_slots=0", "setting family_info.call_slots: 0 is not allowed"},
		{"family_info.kind_batch=5,1", "family_info.kind_batch=0,1", `setting family_info.kind_batch.0: "0": allowed: a whole number of messages in one call, 1 to 1000`},
		{"family_info.kind_batch=5,1", "family_info.kind_batch=5,x", `setting family_info.kind_batch.1: "x"`},
		{"services.0.effect=keyed", "services.0.effect=twice", `setting services.0.effect: "twice" is not an effect`},
		{"services.count=1", "services.count=0", "setting services: no class is defined; allowed: one or more"},
		{"limits.max_attempts=6\n", "", "setting limits.max_attempts: missing"},
		{"services.count=1", "services.count=2\nservices.1.name=note\nservices.1.deadline=100\nservices.1.effect=safe", `setting services.1.name: "note": allowed: a name that no other class has`},
		{"zone=2", "zone=3", "setting zone: 3 names no zone; allowed: 0 to 2, the positions of areas [a b c]"},
		{"zone=2", "zone=2\nfamily_info.toll=0.1,0.2", "setting family_info.toll: 2 figures for the 3 zones of areas [a b c]"},
	} {
		text := strings.Replace(goodSettings, c.from, c.to, 1)
		if text == goodSettings {
			t.Fatalf("%q is not in the good settings", c.from)
		}
		_, err := ParseSettings(text)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.to, err, c.want)
		}
	}
}
