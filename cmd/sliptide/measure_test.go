package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sliptide/internal/lab/collector"
	"sliptide/internal/standin"
)

// Long measurements, behind `make measure`: they print tables for docs/knowledge.md and judge nothing.

func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv("SLIPTIDE_MEASURE") == "" {
		t.Skip("a measurement: make measure")
	}
}

// limited is a stand-in partner that takes so many calls in each span of a second, and tells the wait to
// the span's end, or to its opening while it is shut. After an outage it is cold, from a quarter of its
// capacity to all of it.
type limitedPartner struct {
	mu      sync.Mutex
	limit   float64
	opens   time.Time // shut, or failing, until then
	fails   bool      // it answers errors while it is down; else it tells the wait
	cold    time.Duration
	span    int64
	taken   int
	until   time.Time // of the wait that it told
	calls   []time.Time
	refused []time.Time
	tooSoon []time.Time // inside a told wait
}

func (p *limitedPartner) serve(w http.ResponseWriter, q *http.Request) {
	io.Copy(io.Discard, q.Body)
	time.Sleep(20 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.calls = append(p.calls, now)
	if now.Add(-100*time.Millisecond).Before(p.until) && now.Before(p.until) {
		p.tooSoon = append(p.tooSoon, now)
	}
	w.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf("TEXT x0=0.5, x1=%.1f", p.limit))
	refuse := func(wait time.Duration) {
		p.refused = append(p.refused, now)
		p.until = now.Add(wait)
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		w.WriteHeader(429)
	}
	if now.Before(p.opens) {
		if p.fails {
			w.WriteHeader(500)
			return
		}
		refuse(p.opens.Sub(now))
		return
	}
	if s := now.UnixMilli() / 1000; s != p.span {
		p.span, p.taken = s, 0
	}
	if float64(p.taken) >= p.limit && p.cold == 0 {
		refuse(time.Duration(1000-now.UnixMilli()%1000) * time.Millisecond)
		return
	}
	p.taken++
	w.WriteHeader(200)
}

// capacity is what the partner can do at a time, in calls a second.
func (p *limitedPartner) capacity(at time.Time) float64 {
	if p.cold == 0 || at.Before(p.opens) {
		return p.limit
	}
	return p.limit * min(1, 0.25+0.75*float64(at.Sub(p.opens))/float64(p.cold))
}

func countWithin(list []time.Time, from time.Time, span time.Duration) (n int) {
	for _, at := range list {
		if !at.Before(from) && at.Before(from.Add(span)) {
			n++
		}
	}
	return n
}

// load hands in so many messages a second, over the destinations in turn, until stop is closed.
func (r *rig) generateLoad(rate float64, dests int, seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() / rate * 1e9)):
		}
		go r.trySubmit(fmt.Sprintf("l-%d-%d", seed, i), i%dests, 20, "")
	}
}

// quiet takes what the platform is told.
func (r *rig) discardPlatformCalls(stop <-chan struct{}) {
	for {
		select {
		case <-r.notices:
		case <-r.watches:
		case <-stop:
			return
		}
	}
}

// Calls that partners refuse, and that hit a told wait, in the first 5 s after a restart by SIGKILL; and how
// far a partner that is cold then is pushed over what it can do.
func TestMeasureRestart(t *testing.T) {
	skipUnlessMeasuring(t)
	type result struct{ calls, refused, tooSoon, cold, coldAllowed float64 }
	results := map[string][]result{}
	var mu sync.Mutex
	t.Run("runs", func(t *testing.T) {
		for seed := range uint64(3) {
			for name, op := range map[string]string{"off": "", "on": strings.Replace(knowledgeXML, "100ms", "1s", 1)} {
				t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
					r := newRigWith(t, op, func(set, limits map[string]any) {
						set["limits"].(map[string]any)["most_held"] = 400
						set["family_info"].(map[string]any)["call_slots"] = 16
					})
					var ps []*limitedPartner
					r.updateList(func() {
						for i := range 5 {
							p := &limitedPartner{limit: 6}
							ps = append(ps, p)
							r.endpoints = append(r.endpoints, r.endpointWithHandler(fmt.Sprint("p-", i), i, p.serve))
						}
						r.endpoints = slices.DeleteFunc(r.endpoints, func(e endpoint) bool { return e.ID == "drains-0" })
					})
					stop := make(chan struct{})
					defer close(stop)
					go r.discardPlatformCalls(stop)
					go r.generateLoad(38, 5, seed, stop)
					time.Sleep(5 * time.Second)
					begin := time.Now()
					ps[3].mu.Lock() // shut over the restart
					ps[3].opens = begin.Add(7500 * time.Millisecond)
					ps[3].mu.Unlock()
					ps[4].mu.Lock() // failing, then cold over the restart
					ps[4].opens, ps[4].fails, ps[4].cold = begin.Add(3500*time.Millisecond), true, 9*time.Second
					ps[4].mu.Unlock()
					time.Sleep(5500 * time.Millisecond)
					r.kill(syscall.SIGKILL)
					time.Sleep(600 * time.Millisecond)
					back := time.Now()
					r.start()
					time.Sleep(time.Until(back.Add(5 * time.Second)))
					var sum result
					for i, p := range ps {
						p.mu.Lock()
						if i == 4 {
							sum.cold += float64(countWithin(p.calls, back, 3*time.Second))
							for s := range 30 {
								sum.coldAllowed += p.capacity(back.Add(time.Duration(s)*100*time.Millisecond)) / 10
							}
						} else {
							sum.calls += float64(countWithin(p.calls, back, 5*time.Second))
							sum.refused += float64(countWithin(p.refused, back, 5*time.Second))
							sum.tooSoon += float64(countWithin(p.tooSoon, back, 5*time.Second))
						}
						p.mu.Unlock()
					}
					mu.Lock()
					results[name] = append(results[name], sum)
					mu.Unlock()
				})
			}
		}
	})
	for _, name := range []string{"off", "on"} {
		var sum result
		for _, r := range results[name] {
			t.Logf("knowledge %-3s: first 5 s after the restart: %3.0f calls, %3.0f refused, %3.0f inside a told wait; the cold partner in 3 s: %3.0f calls, %.1f within its capacity",
				name, r.calls, r.refused, r.tooSoon, r.cold, r.coldAllowed)
			sum.calls, sum.refused, sum.tooSoon, sum.cold, sum.coldAllowed = sum.calls+r.calls, sum.refused+r.refused, sum.tooSoon+r.tooSoon, sum.cold+r.cold, sum.coldAllowed+r.coldAllowed
		}
		n := float64(len(results[name]))
		t.Logf("knowledge %-3s: mean: %.1f calls, %.1f refused, %.1f inside a told wait; cold: %.1f calls, %.2f of its capacity",
			name, sum.calls/n, sum.refused/n, sum.tooSoon/n, sum.cold/n, sum.cold/sum.coldAllowed)
	}
}

// cost is what a run of load has come to: milliseconds, percent of a core, MB.
type cost struct {
	intake50, intake99, delivery50, delivery99, cpu, rss float64

	rssAt []float64 // every ten seconds
}

// runCost loads a sender with an operators' file at a rate over 20 partners that take so long for a call.
// A rig's test is parallel: res is filled when the test t, which must be a group of its own, has ended.
func runCost(t *testing.T, op string, rate float64, service, length time.Duration, seed uint64, res *cost) {
	t.Run("run", func(t *testing.T) {
		r := newRigWith(t, op, func(set, limits map[string]any) { set["limits"].(map[string]any)["most_held"] = 400 })
		var mu sync.Mutex
		handed := map[string]time.Time{}
		var intake, delivery []float64
		r.updateList(func() {
			for i := range 20 {
				r.endpoints = append(r.endpoints, r.endpointWithHandler(fmt.Sprint("p-", i), i, func(w http.ResponseWriter, q *http.Request) {
					at := time.Now()
					mu.Lock()
					delivery = append(delivery, float64(at.Sub(handed[q.Header.Get("X-Trace-Id")]))/1e6)
					mu.Unlock()
					time.Sleep(service)
					w.Header().Set("Endpoint-Load-Metrics", "TEXT x0=0.5, x1=100")
				}))
			}
			r.endpoints = slices.DeleteFunc(r.endpoints, func(e endpoint) bool { return e.State == "draining" })
		})
		stop := make(chan struct{})
		defer close(stop)
		go r.discardPlatformCalls(stop)
		var wg sync.WaitGroup
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		rng := rand.New(rand.NewPCG(seed, 3))
		time.Sleep(time.Second)
		from := standin.CPUSeconds(r.proc.Process.Pid)
		began := time.Now()
		next := time.Now()
		for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
			next = next.Add(time.Duration(rng.ExpFloat64() / rate * 1e9)) // open loop: a late one is made up for
			time.Sleep(time.Until(next))
			if time.Since(began) > time.Duration(len(res.rssAt)+1)*10*time.Second {
				res.rssAt = append(res.rssAt, math.Round(10*standin.ResidentMB(r.proc.Process.Pid))/10)
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := fmt.Sprint("c", i)
				begin := time.Now()
				mu.Lock()
				handed[id] = begin
				mu.Unlock()
				q, _ := http.NewRequest("POST", "http://"+r.addr+"/api", strings.NewReader("body"))
				for k, v := range map[string]string{"X-Trace-Id": id, "X-Qos": "note", "X-Customer": "acme", "Idempotency-Key": id, "X-Expires-In": "20.000", "X-Route-To": fmt.Sprintf("dest=%d", i%20)} {
					q.Header.Set(k, v)
				}
				resp, err := client.Do(q)
				if err != nil {
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				mu.Lock()
				intake = append(intake, float64(time.Since(begin))/1e6)
				mu.Unlock()
			}()
		}
		wg.Wait()
		res.cpu = (standin.CPUSeconds(r.proc.Process.Pid) - from) / length.Seconds() * 100
		res.rss = standin.ResidentMB(r.proc.Process.Pid)
		mu.Lock()
		defer mu.Unlock()
		res.intake50, res.intake99 = quantile(intake, .5), quantile(intake, .99)
		res.delivery50, res.delivery99 = quantile(delivery, .5), quantile(delivery, .99)
	})
}

// What knowledge costs at 120 messages a second: off and on in turn, three times each.
func TestMeasureCost(t *testing.T) {
	skipUnlessMeasuring(t)
	for round := range 3 {
		for _, name := range []string{"off", "on"} {
			op := ""
			if name == "on" {
				op = strings.Replace(knowledgeXML, "100ms", "3s", 1)
			}
			var res cost
			t.Run(fmt.Sprint(name, round), func(t *testing.T) { runCost(t, op, 120, 20*time.Millisecond, 10*time.Second, uint64(round), &res) })
			t.Logf("knowledge %-3s: intake p50 %.2f p99 %.2f ms, delivery p50 %.2f p99 %.2f ms, CPU %.1f%%, resident %.1f MB",
				name, res.intake50, res.intake99, res.delivery50, res.delivery99, res.cpu, res.rss)
		}
	}
}

// What a collector costs at 80% of full load, which is what 20 slots allow where a call takes 50 ms: telemetry
// off, and on with all traces kept and a collector that is healthy, absent or a black hole, in turns.
func TestMeasureTelemetry(t *testing.T) {
	skipUnlessMeasuring(t)
	const rounds = 5
	modes := []string{"off", "healthy", "absent", "black hole"}
	all := map[string][]cost{}
	for round := range rounds {
		for k := range modes {
			mode := modes[(k+round)%len(modes)]
			c, op := startCollector(t, round%2 == 1)
			switch mode {
			case "off":
				op = ""
			case "absent":
				c.Close()
			case "black hole":
				c.Set(collector.Mood{Hole: true})
			}
			var res cost
			t.Run(fmt.Sprint(mode, round), func(t *testing.T) { runCost(t, op, 320, 50*time.Millisecond, 6*time.Second, uint64(round), &res) })
			all[mode] = append(all[mode], res)
		}
	}
	median := func(mode string, of func(cost) float64) float64 {
		var list []float64
		for _, c := range all[mode] {
			list = append(list, of(c))
		}
		return quantile(list, 0.5)
	}
	for _, mode := range modes {
		p50 := median(mode, func(c cost) float64 { return c.delivery50 })
		p99 := median(mode, func(c cost) float64 { return c.delivery99 })
		t.Logf("telemetry %-10s: delivery p50 %.2f (%.3f of off) p99 %.2f (%.3f) ms, intake p99 %.2f ms, CPU %.1f%%, resident %.1f MB; medians of %d", mode,
			p50, p50/median("off", func(c cost) float64 { return c.delivery50 }), p99, p99/median("off", func(c cost) float64 { return c.delivery99 }),
			median(mode, func(c cost) float64 { return c.intake99 }), median(mode, func(c cost) float64 { return c.cpu }), median(mode, func(c cost) float64 { return c.rss }), rounds)
	}
}

// What a sender holds while its collector is a black hole, for three minutes at 80% of full load: telemetry off,
// and over each protocol, side by side.
func TestMeasureTelemetryMemory(t *testing.T) {
	skipUnlessMeasuring(t)
	modes := []string{"off", "HTTP", "gRPC"}
	results := make([]cost, len(modes))
	t.Run("side by side", func(t *testing.T) {
		for i, mode := range modes {
			t.Run(mode, func(t *testing.T) {
				t.Parallel()
				c, op := startCollector(t, mode == "gRPC")
				c.Set(collector.Mood{Hole: true})
				if mode == "off" {
					op = ""
				}
				runCost(t, op, 320, 50*time.Millisecond, 3*time.Minute, 1, &results[i])
			})
		}
	})
	for i, mode := range modes {
		t.Logf("black hole, %s: resident every 10 s %v MB", mode, results[i].rssAt)
	}
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}
