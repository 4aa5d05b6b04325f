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

// The measurements of this file run with `make measure`. They print tables for docs/knowledge.md and check nothing.

func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv("SLIPTIDE_MEASURE") == "" {
		t.Skip("a measurement: make measure")
	}
}

// limitedPartner accepts a limited number of calls in each second. It refuses others and requests a wait until the
// end of the second, or until it reopens while it is down. After an outage its capacity rises from a quarter to all
// of its limit over warmUp.
type limitedPartner struct {
	mu               sync.Mutex
	limit            float64
	reopensAt        time.Time     // the partner is down until then
	failsWhileDown   bool          // answers 500 while down; otherwise requests a wait
	warmUp           time.Duration // 0: none; a partner with a warm-up accepts calls over its limit, too
	second           int64         // Unix time that acceptedInSecond counts
	acceptedInSecond int
	waitUntil        time.Time // end of the wait that was requested last
	calls            []time.Time
	refused          []time.Time
	duringWait       []time.Time // calls during a requested wait
}

// serve answers a call after 20 ms. Each answer states the partner's limit.
func (p *limitedPartner) serve(w http.ResponseWriter, q *http.Request) {
	io.Copy(io.Discard, q.Body)
	time.Sleep(20 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.calls = append(p.calls, now)
	if now.Add(-100*time.Millisecond).Before(p.waitUntil) && now.Before(p.waitUntil) {
		p.duringWait = append(p.duringWait, now)
	}
	w.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf("TEXT x0=0.5, x1=%.1f", p.limit))
	refuse := func(wait time.Duration) {
		p.refused = append(p.refused, now)
		p.waitUntil = now.Add(wait)
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		w.WriteHeader(429)
	}
	if now.Before(p.reopensAt) {
		if p.failsWhileDown {
			w.WriteHeader(500)
			return
		}
		refuse(p.reopensAt.Sub(now))
		return
	}
	if s := now.UnixMilli() / 1000; s != p.second {
		p.second, p.acceptedInSecond = s, 0
	}
	if float64(p.acceptedInSecond) >= p.limit && p.warmUp == 0 {
		refuse(time.Duration(1000-now.UnixMilli()%1000) * time.Millisecond)
		return
	}
	p.acceptedInSecond++
	w.WriteHeader(200)
}

// capacity returns the partner's capacity at a time, in calls per second.
func (p *limitedPartner) capacity(at time.Time) float64 {
	if p.warmUp == 0 || at.Before(p.reopensAt) {
		return p.limit
	}
	return p.limit * min(1, 0.25+0.75*float64(at.Sub(p.reopensAt))/float64(p.warmUp))
}

// countWithin returns how many of the times lie in the given span after from.
func countWithin(list []time.Time, from time.Time, span time.Duration) (n int) {
	for _, at := range list {
		if !at.Before(from) && at.Before(from.Add(span)) {
			n++
		}
	}
	return n
}

// generateLoad submits messages at the given rate per second to the destinations in turn until stop is closed.
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

// discardNoticesAndWatches receives and discards notices and watches until stop is closed.
func (r *rig) discardNoticesAndWatches(stop <-chan struct{}) {
	for {
		select {
		case <-r.notices:
		case <-r.watches:
		case <-stop:
			return
		}
	}
}

// Measures, for the first 5 s after a SIGKILL and restart, the calls that partners refuse and the calls during a
// requested wait, and for 3 s how far the load on a partner that is warming up exceeds its capacity.
func TestMeasureRestart(t *testing.T) {
	skipUnlessMeasuring(t)
	type result struct{ calls, refused, duringWait, whileWarming, warmingCapacity float64 }
	results := map[string][]result{}
	var mu sync.Mutex
	t.Run("runs", func(t *testing.T) {
		for seed := range uint64(3) {
			for name, operatorXML := range map[string]string{"off": "", "on": strings.Replace(knowledgeXML, "100ms", "1s", 1)} {
				t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
					r := newRigWithOperatorFile(t, operatorXML, func(settings, limits map[string]any) {
						settings["limits"].(map[string]any)["most_held"] = 400
						settings["family_info"].(map[string]any)["call_slots"] = 16
					})
					var partners []*limitedPartner
					r.updateList(func() {
						for i := range 5 {
							p := &limitedPartner{limit: 6}
							partners = append(partners, p)
							r.endpoints = append(r.endpoints, r.endpointWithHandler(fmt.Sprint("p-", i), i, p.serve))
						}
						r.endpoints = slices.DeleteFunc(r.endpoints, func(e endpoint) bool { return e.ID == "drains-0" })
					})
					stop := make(chan struct{})
					defer close(stop)
					go r.discardNoticesAndWatches(stop)
					go r.generateLoad(38, 5, seed, stop)
					time.Sleep(5 * time.Second)
					outageStart := time.Now()
					partners[3].mu.Lock() // down during the restart
					partners[3].reopensAt = outageStart.Add(7500 * time.Millisecond)
					partners[3].mu.Unlock()
					partners[4].mu.Lock() // failing, then warming up during the restart
					partners[4].reopensAt, partners[4].failsWhileDown, partners[4].warmUp = outageStart.Add(3500*time.Millisecond), true, 9*time.Second
					partners[4].mu.Unlock()
					time.Sleep(5500 * time.Millisecond)
					r.kill(syscall.SIGKILL)
					time.Sleep(600 * time.Millisecond)
					restartedAt := time.Now()
					r.start()
					time.Sleep(time.Until(restartedAt.Add(5 * time.Second)))
					var sum result
					for i, p := range partners {
						p.mu.Lock()
						if i == 4 {
							sum.whileWarming += float64(countWithin(p.calls, restartedAt, 3*time.Second))
							for s := range 30 {
								sum.warmingCapacity += p.capacity(restartedAt.Add(time.Duration(s)*100*time.Millisecond)) / 10
							}
						} else {
							sum.calls += float64(countWithin(p.calls, restartedAt, 5*time.Second))
							sum.refused += float64(countWithin(p.refused, restartedAt, 5*time.Second))
							sum.duringWait += float64(countWithin(p.duringWait, restartedAt, 5*time.Second))
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
			t.Logf("knowledge %-3s: first 5 s after the restart: %3.0f calls, %3.0f refused, %3.0f during a requested wait; the warming partner in 3 s: %3.0f calls, %.1f within its capacity",
				name, r.calls, r.refused, r.duringWait, r.whileWarming, r.warmingCapacity)
			sum.calls, sum.refused, sum.duringWait, sum.whileWarming, sum.warmingCapacity = sum.calls+r.calls, sum.refused+r.refused, sum.duringWait+r.duringWait, sum.whileWarming+r.whileWarming, sum.warmingCapacity+r.warmingCapacity
		}
		n := float64(len(results[name]))
		t.Logf("knowledge %-3s: mean: %.1f calls, %.1f refused, %.1f during a requested wait; warming up: %.1f calls, %.2f of its capacity",
			name, sum.calls/n, sum.refused/n, sum.duringWait/n, sum.whileWarming/n, sum.whileWarming/sum.warmingCapacity)
	}
}

// loadResult holds the results of a run of measureLoad, in milliseconds, percent of a core and MB.
type loadResult struct {
	intake50, intake99, delivery50, delivery99, cpu, rss float64

	rssAt []float64 // resident MB, every ten seconds
}

// measureLoad loads a sender for length, at a rate per second, over 20 partners that each take callDuration for a call.
// Since a rig's test is parallel, result is complete only when the test t, which must be a group of its own, has ended.
func measureLoad(t *testing.T, operatorXML string, rate float64, callDuration, length time.Duration, seed uint64, result *loadResult) {
	t.Run("run", func(t *testing.T) {
		r := newRigWithOperatorFile(t, operatorXML, func(settings, limits map[string]any) { settings["limits"].(map[string]any)["most_held"] = 400 })
		var mu sync.Mutex
		submittedAt := map[string]time.Time{}
		var intake, delivery []float64
		r.updateList(func() {
			for i := range 20 {
				r.endpoints = append(r.endpoints, r.endpointWithHandler(fmt.Sprint("p-", i), i, func(w http.ResponseWriter, q *http.Request) {
					at := time.Now()
					mu.Lock()
					delivery = append(delivery, float64(at.Sub(submittedAt[q.Header.Get("X-Trace-Id")]))/1e6)
					mu.Unlock()
					time.Sleep(callDuration)
					w.Header().Set("Endpoint-Load-Metrics", "TEXT x0=0.5, x1=100")
				}))
			}
			r.endpoints = slices.DeleteFunc(r.endpoints, func(e endpoint) bool { return e.State == "draining" })
		})
		stop := make(chan struct{})
		defer close(stop)
		go r.discardNoticesAndWatches(stop)
		var wg sync.WaitGroup
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
		rng := rand.New(rand.NewPCG(seed, 3))
		time.Sleep(time.Second)
		cpuBefore := standin.CPUSeconds(r.proc.Process.Pid)
		startedAt := time.Now()
		nextSubmission := time.Now()
		for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
			// Open loop: a delay does not lower the rate.
			nextSubmission = nextSubmission.Add(time.Duration(rng.ExpFloat64() / rate * 1e9))
			time.Sleep(time.Until(nextSubmission))
			if time.Since(startedAt) > time.Duration(len(result.rssAt)+1)*10*time.Second {
				result.rssAt = append(result.rssAt, math.Round(10*standin.ResidentMB(r.proc.Process.Pid))/10)
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := fmt.Sprint("c", i)
				submitted := time.Now()
				mu.Lock()
				submittedAt[id] = submitted
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
				intake = append(intake, float64(time.Since(submitted))/1e6)
				mu.Unlock()
			}()
		}
		wg.Wait()
		result.cpu = (standin.CPUSeconds(r.proc.Process.Pid) - cpuBefore) / length.Seconds() * 100
		result.rss = standin.ResidentMB(r.proc.Process.Pid)
		mu.Lock()
		defer mu.Unlock()
		result.intake50, result.intake99 = quantile(intake, .5), quantile(intake, .99)
		result.delivery50, result.delivery99 = quantile(delivery, .5), quantile(delivery, .99)
	})
}

// Measures the cost of knowledge at 120 messages per second: off and on in turn, three times each.
func TestMeasureCost(t *testing.T) {
	skipUnlessMeasuring(t)
	for round := range 3 {
		for _, name := range []string{"off", "on"} {
			operatorXML := ""
			if name == "on" {
				operatorXML = strings.Replace(knowledgeXML, "100ms", "3s", 1)
			}
			var res loadResult
			t.Run(fmt.Sprint(name, round), func(t *testing.T) {
				measureLoad(t, operatorXML, 120, 20*time.Millisecond, 10*time.Second, uint64(round), &res)
			})
			t.Logf("knowledge %-3s: intake p50 %.2f p99 %.2f ms, delivery p50 %.2f p99 %.2f ms, CPU %.1f%%, resident %.1f MB",
				name, res.intake50, res.intake99, res.delivery50, res.delivery99, res.cpu, res.rss)
		}
	}
}

// Measures the cost of telemetry at 80% of full load, which is what 20 slots allow with calls of 50 ms. Telemetry is
// off, or on with all traces kept and a collector that is healthy, absent or a black hole (it never answers), in
// turns.
func TestMeasureTelemetry(t *testing.T) {
	skipUnlessMeasuring(t)
	const rounds = 5
	modes := []string{"off", "healthy", "absent", "black hole"}
	all := map[string][]loadResult{}
	for round := range rounds {
		for k := range modes {
			mode := modes[(k+round)%len(modes)]
			c, operatorXML := startCollector(t, round%2 == 1)
			switch mode {
			case "off":
				operatorXML = ""
			case "absent":
				c.Close()
			case "black hole":
				c.SetBehaviour(collector.Behaviour{NeverAnswer: true})
			}
			var res loadResult
			t.Run(fmt.Sprint(mode, round), func(t *testing.T) {
				measureLoad(t, operatorXML, 320, 50*time.Millisecond, 6*time.Second, uint64(round), &res)
			})
			all[mode] = append(all[mode], res)
		}
	}
	median := func(mode string, of func(loadResult) float64) float64 {
		var list []float64
		for _, c := range all[mode] {
			list = append(list, of(c))
		}
		return quantile(list, 0.5)
	}
	for _, mode := range modes {
		p50 := median(mode, func(c loadResult) float64 { return c.delivery50 })
		p99 := median(mode, func(c loadResult) float64 { return c.delivery99 })
		t.Logf("telemetry %-10s: delivery p50 %.2f (%.3f of off) p99 %.2f (%.3f) ms, intake p99 %.2f ms, CPU %.1f%%, resident %.1f MB; medians of %d", mode,
			p50, p50/median("off", func(c loadResult) float64 { return c.delivery50 }), p99, p99/median("off", func(c loadResult) float64 { return c.delivery99 }),
			median(mode, func(c loadResult) float64 { return c.intake99 }), median(mode, func(c loadResult) float64 { return c.cpu }), median(mode, func(c loadResult) float64 { return c.rss }), rounds)
	}
}

// Measures the memory of a sender whose collector is a black hole, for three minutes at 80% of full load: with
// telemetry off and over each protocol, side by side.
func TestMeasureTelemetryMemory(t *testing.T) {
	skipUnlessMeasuring(t)
	modes := []string{"off", "HTTP", "gRPC"}
	results := make([]loadResult, len(modes))
	t.Run("side by side", func(t *testing.T) {
		for i, mode := range modes {
			t.Run(mode, func(t *testing.T) {
				t.Parallel()
				c, operatorXML := startCollector(t, mode == "gRPC")
				c.SetBehaviour(collector.Behaviour{NeverAnswer: true})
				if mode == "off" {
					operatorXML = ""
				}
				measureLoad(t, operatorXML, 320, 50*time.Millisecond, 3*time.Minute, 1, &results[i])
			})
		}
	})
	for i, mode := range modes {
		t.Logf("black hole, %s: resident every 10 s %v MB", mode, results[i].rssAt)
	}
}

// quantile sorts list and returns its q-quantile, or NaN if it is empty.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}
