package completions

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/app/atmostonce"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against non-idempotent calls that are sent twice, idempotent calls that are
// not retried, and failures with the wrong outcome.
func TestServiceCalls(t *testing.T) {
	failWith := func(err error) func(context.Context, port.Call) (port.Reply, error) {
		return func(context.Context, port.Call) (port.Reply, error) { return port.Reply{}, err }
	}
	lost := &port.UnknownOutcomeError{Peer: "s1"}
	notRun := &port.NotRunError{Target: "s1", Reason: port.NotRunDeclared}
	incomplete := func(context.Context, port.Call) (port.Reply, error) {
		return port.Reply{Status: 200, Body: io.NopCloser(iotest.ErrReader(lost))}, nil
	}
	large := func(context.Context, port.Call) (port.Reply, error) {
		return port.Reply{Status: 200, Body: io.NopCloser(zeros{})}, nil
	}
	unresponsive := func(ctx context.Context, c port.Call) (port.Reply, error) {
		if port.FreshConnectionRequested(ctx) && c.AttemptID != "attempt" {
			return port.Reply{Status: 200, Body: http.NoBody}, nil
		}
		<-ctx.Done()
		return port.Reply{}, &port.UnknownOutcomeError{Peer: "s1", Cause: ctx.Err()}
	}
	cases := map[string]struct {
		route  string
		script func(context.Context, port.Call) (port.Reply, error)
		sent   int
		kind   Kind
		want   Outcome
	}{
		"lookup succeeded":               {"lookup", nil, 1, "", ""},
		"lookup lost":                    {"lookup", failWith(lost), 2, "", ""},
		"lookup not run":                 {"lookup", failWith(notRun), 2, "", ""},
		"lookup on a stalled connection": {"lookup", unresponsive, 2, "", ""},
		"reservation without reply":      {"reserve", unresponsive, 1, KindUnavailable, OutcomeMayHaveRun},
		"lookup reply incomplete":        {"lookup", incomplete, 2, "", ""},
		"lookup reply too large":         {"lookup", large, 1, KindUpstream, OutcomeMayHaveRun},
		"reservation succeeded":          {"reserve", nil, 1, "", ""},
		"reservation lost":               {"reserve", failWith(lost), 1, KindUnavailable, OutcomeMayHaveRun},
		"reservation reply incomplete":   {"reserve", incomplete, 1, KindUnavailable, OutcomeMayHaveRun},
		"reservation not run":            {"reserve", failWith(notRun), 2, "", ""},
		"reservation with other error":   {"reserve", failWith(io.ErrUnexpectedEOF), 1, KindUnavailable, OutcomeMayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
				if c.script != nil {
					b.service.scripts = map[string]func(context.Context, port.Call) (port.Reply, error){"s1": c.script}
				}
				reply, err := b.ServiceCall(t.Context(), ServiceRequest{Account: testAccount, Route: c.route,
					Method: http.MethodPost, Path: "/duct", IdempotencyKey: "k", KeyCreated: time.Now()})
				is.Equal(len(b.service.sent), c.sent)
				if c.kind == "" {
					is.NoErr(err)
					is.Equal(reply.Status, http.StatusOK)
					return
				}
				f := failure(t, err)
				is.Equal(f.Kind, c.kind)
				is.Equal(f.Outcome, c.want)
			})
		})
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a second attempt on a target that rejects stale fencing tokens but
// may have run the first attempt.
func TestOnlyDeduplicatingTargetsMakeCallsResendable(t *testing.T) {
	for name, c := range map[string]struct {
		checksFencing, deduplicates, want bool
	}{"neither": {}, "checks fencing": {checksFencing: true}, "deduplicates": {deduplicates: true, want: true}} {
		t.Run(name, func(t *testing.T) {
			desk := config.Ref{Team: "kabelgang", Name: "desk"}
			inBubble(t, func(s *config.Snapshot) {
				pool := s.Pools[desk]
				pool.ChecksFencing, pool.DeduplicatesKeys = c.checksFencing, c.deduplicates
				s.Pools[desk] = pool
			}, func(t *testing.T, is *is.I, b *testRouter) {
				runner := &fakeRunner{}
				b.Runner = runner
				_, err := b.ServiceCall(t.Context(), ServiceRequest{Account: testAccount, Route: "reserve",
					Method: http.MethodPost, Path: "/duct", IdempotencyKey: "k", KeyCreated: time.Now()})
				is.NoErr(err)
				is.Equal(runner.requests[0].Resendable, c.want)
			})
		})
	}
}

// Guards against a reservation that is sent without an idempotency key, that is not
// sent although no earlier call ran, or that is cancelled when its caller
// disconnects.
func TestReservationNeedsKeyAndOutlivesCaller(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
		req := ServiceRequest{Account: testAccount, Route: "reserve", Method: http.MethodPost, Path: "/duct"}
		_, err := b.ServiceCall(t.Context(), req)
		is.Equal(failure(t, err).Kind, KindInvalid)
		is.Equal(failure(t, err).Outcome, OutcomeNotRun)
		is.Equal(len(b.service.sent), 0)

		ctx, disconnect := context.WithCancel(t.Context())
		b.service.scripts = map[string]func(context.Context, port.Call) (port.Reply, error){
			"s1": func(ctx context.Context, c port.Call) (port.Reply, error) {
				disconnect()
				if ctx.Err() != nil || c.IdempotencyKey != "k" || c.AttemptID != "attempt" {
					return port.Reply{}, errors.Join(ctx.Err(), io.ErrUnexpectedEOF)
				}
				return port.Reply{Status: 201, Body: http.NoBody}, nil
			}}
		req.IdempotencyKey, req.KeyCreated = "k", time.Now()
		reply, err := b.ServiceCall(ctx, req)
		is.NoErr(err)
		is.Equal(reply.Status, 201)
	})
}

// Guards against errors of the at-most-once runner that reach callers with the wrong
// outcome.
func TestRunnerRefusals(t *testing.T) {
	cases := map[string]struct {
		err   error
		first bool
		kind  Kind
		want  Outcome
	}{
		"not run":            {&atmostonce.NotRunError{}, false, KindUnavailable, OutcomeNotRun},
		"may have run":       {&atmostonce.MayHaveRunError{}, false, KindUnavailable, OutcomeMayHaveRun},
		"key reused":         {&atmostonce.KeyReusedError{}, false, KindKeyReused, OutcomeNotRun},
		"key expired":        {&atmostonce.KeyExpiredError{}, false, KindKeyExpired, OutcomeMayHaveRun},
		"first, key expired": {&atmostonce.KeyExpiredError{}, true, KindKeyExpired, OutcomeNotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := failureFromRunner(c.err, c.first)
			is.Equal(f.Kind, c.kind)
			is.Equal(f.Outcome, c.want)
		})
	}
}

// Guards against the outcome "not run" for a key that was sent before, whose earlier call may
// have run, when the call is refused before the ledger is read.
func TestEarlyRefusalOfRepeatedKey(t *testing.T) {
	for first, want := range map[bool]Outcome{true: OutcomeNotRun, false: OutcomeMayHaveRun} {
		inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
			req := ServiceRequest{Account: testAccount, Route: "reserve", Method: http.MethodPost, Path: "/duct",
				IdempotencyKey: "k", KeyCreated: time.Now(), First: first}
			b.targets.SetLeaving(map[string]bool{"s1": true, "s2": true, "s3": true})
			_, err := b.ServiceCall(t.Context(), req)
			is.Equal(failure(t, err).Outcome, want)
			b.BeginDrain()
			_, err = b.ServiceCall(t.Context(), req)
			is.Equal(failure(t, err).Kind, KindDraining)
			is.Equal(failure(t, err).Outcome, want)
		})
	}
}

// Guards against a router that runs out of memory because many replies do not end, and against
// short replies that fail meanwhile.
func TestRepliesShareTheirMemory(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
		const calls = 40
		over := make(chan struct{})
		var stalled atomic.Int64
		answer := func(_ context.Context, c port.Call) (port.Reply, error) {
			if c.Path == "/short" {
				return port.Reply{Status: 200, Body: io.NopCloser(strings.NewReader("short"))}, nil
			}
			body := io.MultiReader(io.LimitReader(zeros{}, 5<<20), iotest.ErrReader(io.ErrUnexpectedEOF))
			return port.Reply{Status: 200, Body: io.NopCloser(&stallingReader{body, &stalled, over, 4 << 20})}, nil
		}
		b.service.scripts = map[string]func(context.Context, port.Call) (port.Reply, error){"s1": answer, "s2": answer, "s3": answer}
		ask := func(path string) (ServiceReply, error) {
			return b.ServiceCall(t.Context(), ServiceRequest{Account: testAccount, Route: "reserve", Method: http.MethodPost, Path: path, IdempotencyKey: path, KeyCreated: time.Now()})
		}
		var open sync.WaitGroup
		tooLarge := make(chan bool, calls)
		for i := range calls {
			open.Go(func() {
				_, err := ask(fmt.Sprint("/endless", i))
				var large *ReplyTooLargeError
				tooLarge <- errors.As(err, &large)
			})
		}
		synctest.Wait()
		refused := len(tooLarge)
		is.True(refused > 0)
		is.True(stalled.Load() > 0)
		is.True(stalled.Load()*(4<<20) <= replyMemory)
		reply, err := ask("/short")
		is.NoErr(err)
		is.Equal(string(reply.Body), "short")
		close(over)
		open.Wait()
		is.True(b.replies.Take(replyMemory)) // all of it is free again
	})
}

// stallingReader stops after a number of bytes until over is closed.
type stallingReader struct {
	io.Reader
	stalled *atomic.Int64
	over    chan struct{}
	left    int
}

func (r *stallingReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		r.stalled.Add(1)
		<-r.over
	}
	n, err := r.Reader.Read(p)
	r.left -= n
	return n, err
}
