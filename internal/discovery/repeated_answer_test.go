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

// Guards against a notice that counts as acknowledged by a duplicate of the answer to an earlier one, and is never
// posted.
func TestRepeatedAnswerDoesNotAcknowledgeLaterNotice(t *testing.T) {
	agent := standin.NewRawPartner(t)
	acknowledged := make(chan []uint64, 10)
	n := NewNoticeQueue(agent.Addr, zerolog.Nop(), func(nums []uint64) { acknowledged <- nums })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go n.Run(ctx)
	n.Post(Notice{Num: 1, Trace: "a"})
	(<-agent.Calls).Write(noContent)
	<-acknowledged
	n.Post(Notice{Num: 2, Trace: "b"})
	second := <-agent.Calls
	if second.Conn != 2 {
		t.Errorf("second notice posted on connection %d, want a new one without a duplicate of the first answer", second.Conn)
	}
	second.Write(noContent)
	<-acknowledged
}

// The agent writes an answer twice. Guards against a watch that takes each further answer for that to the request
// before it, so that changes are seen late.
func TestRepeatedListDoesNotDelayLaterOnes(t *testing.T) {
	agent := standin.NewRawPartner(t)
	updates := make(chan List, 10)
	w := NewWatch(agent.Addr, &policy.Settings{}, 1, zerolog.Nop(), func(l List) { updates <- l })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	answer := func(version int) string {
		body := fmt.Sprintf(oneEndpointList, version)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	(<-agent.Calls).Write(answer(41))
	<-updates
	watch := <-agent.Calls
	watch.Write(answer(41)) // a duplicate; the watch itself is not answered yet
	retry := <-agent.Calls
	if retry.Conn == watch.Conn || retry.URI() != "/discovery/hosts?index=41&wait=3000" {
		t.Errorf("requested %s on connection %d, want a watch from 41 on a new connection", retry.URI(), retry.Conn)
	}
	retry.Write(answer(42))
	for l := range updates {
		if l.Version == 42 {
			return
		}
	}
}
