package outbound

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"sliptide/internal/standin"
	"sliptide/policy"
)

// Guards against a transient error on this side, such as a lack of ports or file descriptors, that ends a call as a
// failure of the endpoint: the dial is retried. Here the first two dials fail and the third succeeds.
func TestTransientLocalDialErrorIsRetried(t *testing.T) {
	partner := standin.NewRawPartner(t)
	for _, errno := range []syscall.Errno{
		syscall.EADDRNOTAVAIL, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENETUNREACH, syscall.EINTR,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			attempts := 0
			ended := make(chan []policy.Event, 1)
			p := NewPool(Options{MaxConns: 4, KeepAlive: time.Minute, DialTimeout: time.Second, X0: -1, X1: -1,
				OnDone: func(_ *Call, events []policy.Event) { ended <- events },
				dial: func(ctx context.Context, addr string) (net.Conn, string, error) {
					if attempts++; attempts < 3 {
						return nil, "", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
					}
					return (&Partner{}).Dial(ctx, addr)
				}})
			p.Go(&Call{
				Endpoint: 1, Addr: partner.Addr, SentAt: time.Now(), Timeout: 5 * time.Second, Items: []Item{{ID: 1, Trace: "m"}},
			})
			select {
			case c := <-partner.Calls:
				c.Write(standin.AnswerOK)
			case events := <-ended:
				t.Fatalf("the call ended before it was written: outcome %v after %d dials, want a further dial", events[0].Outcome, attempts)
			}
			if events := <-ended; events[0].Outcome != policy.OK {
				t.Errorf("outcome %v after %d dials, want OK", events[0].Outcome, attempts)
			}
		})
	}
}
