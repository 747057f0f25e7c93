package completions

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against a target that gets no more calls because callers left while the connection to it
// was being set up.
func TestLeavingCallersDoNotOpenTheCircuit(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
		leave := func(ctx context.Context, _ port.Call) (port.Reply, error) {
			<-ctx.Done()
			return port.Reply{}, &port.NotRunError{Target: "s1", Reason: port.NotRunUnreachable, Cause: ctx.Err()}
		}
		b.service.scripts = map[string]func(context.Context, port.Call) (port.Reply, error){"s1": leave, "s2": leave, "s3": leave}
		call := ServiceRequest{Account: testAccount, Route: "lookup", Method: http.MethodPost, Path: "/duct"}
		for range 20 {
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() {
				_, err := b.ServiceCall(ctx, call)
				done <- err
			}()
			synctest.Wait() // the call waits for its connection
			cancel()
			is.Equal(failure(t, <-done).Kind, KindCanceled)
		}
		b.service.scripts = nil
		reply, err := b.ServiceCall(t.Context(), call)
		is.NoErr(err)
		is.Equal(reply.Status, http.StatusOK)
		for _, state := range b.Status().Circuits {
			is.Equal(state, retry.StateClosed)
		}
	})
}
