package fleet

import (
	"strings"
	"testing"
	"time"
)

// The counter reads a log with the seconds before each line, as a benchmark writes it, and a log as the sender writes
// it. It skips lines that are not JSON and reports their number. A message that is restored after a restart counts as
// held only once.
func TestCounterSumsOverSendersAndTime(t *testing.T) {
	c := NewCounter(5*time.Second, -1)
	timedLog := `0.1 {"message":"started"}
0.2 {"dest":3,"num":1,"again":true,"record":"taken"}
0.3 {"dest":3,"num":1,"attempt":0,"record":"began"}
panic: not JSON
0.4 {"dest":3,"num":1,"outcome":"full","wait":200,"record":"ended"}
6.0 {"dest":3,"num":1,"attempt":1,"record":"began"}
6.1 {"dest":3,"num":1,"restored":true,"record":"taken"}
6.2 {"dest":3,"num":1,"outcome":"ok","wait":0,"record":"ended"}
6.2 {"dest":3,"num":1,"end":"delivered","record":"over"}
`
	senderLog := `{"time":"2026-01-01T00:00:01Z","dest":4,"cause":"load","record":"refused"}
{"time":"2026-01-01T00:00:02Z","message":"breaker open dest=4 endpoint=5"}
`
	for _, log := range []string{timedLog, senderLog} {
		if err := c.Add(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	for n, want := range []map[string]int{
		{"starts": 1, "taken": 1, "again": 1, "began": 1, "full": 1, "told": 1, "held": 1,
			"load": 1, "broken": 1, "further": 0},
		{"began": 1, "further": 1, "taken": 1, "restored": 1, "ok": 1, "delivered": 1, "held": -1},
	} {
		for column, v := range want {
			if got := c.windows[n][column]; got != v {
				t.Errorf("window %d: %s is %d, want %d", n, column, got, v)
			}
		}
	}
	var out strings.Builder
	c.WriteTable(&out)
	if !strings.Contains(out.String(), "1 lines skipped") || strings.Count(out.String(), "\n") != 4 {
		t.Errorf("want a table of four lines that reports one skipped line, got:\n%s", out.String())
	}
}
