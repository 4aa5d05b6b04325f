package discovery

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"sliptide/internal/standin"
	"sliptide/policy"
)

const noContent = "HTTP/1.1 204 No Content\r\n\r\n"

// Guards against notices that end by a copy of the answer to earlier ones, and are never handed in.
func TestRepeatedAnswerTakesNoLaterNotice(t *testing.T) {
	agent := standin.NewRawPartner(t)
	told := make(chan []uint64, 10)
	n := NewNoticeQueue(agent.Addr, zerolog.Nop(), func(nums []uint64) { told <- nums })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go n.Run(ctx)
	n.Post(Notice{Num: 1, Trace: "a"})
	(<-agent.Calls).Write(noContent)
	<-told
	n.Post(Notice{Num: 2, Trace: "b"})
	second := <-agent.Calls
	if second.Conn != 2 {
		t.Errorf("the second notice goes out on connection %d, where a copy of the first answer may come", second.Conn)
	}
	second.Write(noContent)
	<-told
}

// Guards against a watch whose answers come one late, after the agent has written one twice: changes would come late.
func TestRepeatedListShiftsNoLaterOne(t *testing.T) {
	agent := standin.NewRawPartner(t)
	updates := make(chan List, 10)
	w := NewWatch(agent.Addr, &policy.Settings{}, 1, zerolog.Nop(), func(l List) { updates <- l })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	answer := func(version int) string {
		body := fmt.Sprintf(oneEndpoint, version)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	(<-agent.Calls).Write(answer(41))
	<-updates
	watch := <-agent.Calls
	watch.Write(answer(41)) // the copy; the watch's own answer is still to come
	again := <-agent.Calls
	if again.Conn == watch.Conn || again.URI() != "/discovery/hosts?index=41&wait=3000" {
		t.Errorf("asked %s on connection %d, which owes an answer", again.URI(), again.Conn)
	}
	again.Write(answer(42))
	for l := range updates {
		if l.Version == 42 {
			return
		}
	}
}
