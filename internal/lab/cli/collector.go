package cli

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"

	trace "go.opentelemetry.io/proto/slim/otlp/trace/v1"

	"sliptide/internal/lab/collector"
)

type collectorCmd struct {
	HTTP string `default:"127.0.0.1:4318" help:"Where OTLP/HTTP is served; empty: nowhere." placeholder:"ADDRESS"`
	GRPC string `default:"127.0.0.1:4317" help:"Where OTLP/gRPC is served; empty: nowhere." placeholder:"ADDRESS"`
	Mood string `default:"healthy" enum:"healthy,hole,sip,slow,full,lying" help:"How it answers: healthy, hole (never answers), sip (reads one byte per second), slow (answers after a second), full (answers 503), lying (answers invalid protobuf)."`
}

// Run runs the command until it is interrupted.
func (c *collectorCmd) Run(env *Env) error {
	var mu sync.Mutex
	server := &collector.Collector{OnTraces: func(list []*trace.ResourceSpans) {
		mu.Lock()
		defer mu.Unlock()
		printTraces(env, list)
	}}
	server.SetBehaviour(behaviourOf(c.Mood))
	defer server.Close()
	for _, l := range []struct {
		addr, protocol string
		serve          func(net.Listener)
	}{{c.HTTP, "OTLP/HTTP", server.ServeHTTP}, {c.GRPC, "OTLP/gRPC", func(ln net.Listener) { server.ServeGRPC(ln) }}} {
		if l.addr == "" {
			continue
		}
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return fmt.Errorf("%s: %w", l.protocol, err)
		}
		fmt.Fprintf(env.Out, "%s on %s, %s\n", l.protocol, ln.Addr(), c.Mood)
		l.serve(ln)
	}
	<-env.Ctx.Done()
	return nil
}

// behaviourOf returns the collector behaviour for a value of --mood.
func behaviourOf(name string) collector.Behaviour {
	return map[string]collector.Behaviour{
		"hole": {NeverAnswer: true}, "sip": {SlowRead: true}, "slow": {AnswerDelay: 1e9},
		"full": {Status: 503, RetryAfter: 5e9}, "lying": {InvalidBody: true},
	}[name]
}

// printTraces prints the traces of one request in the order of the request.
func printTraces(env *Env, list []*trace.ResourceSpans) {
	for _, rs := range list {
		var attributes []string
		for _, a := range rs.Resource.GetAttributes() {
			attributes = append(attributes, a.Key+"="+a.Value.GetStringValue())
		}
		fmt.Fprintln(env.Out, "from", strings.Join(attributes, " "))
		var spans []*trace.Span
		for _, ss := range rs.ScopeSpans {
			spans = append(spans, ss.Spans...)
		}
		for len(spans) > 0 {
			id := string(spans[0].TraceId)
			end := slices.IndexFunc(spans, func(s *trace.Span) bool { return string(s.TraceId) != id })
			if end < 0 {
				end = len(spans)
			}
			collector.WriteTree(env.Out, spans[:end])
			spans = spans[end:]
		}
	}
}
