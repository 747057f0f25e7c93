package completions

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/shutdown"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against a planned stop that closes the connection of an open request without an
// answer, or calls one that may have run not run.
func TestStopEndsOpenRequestsWithAnAnswer(t *testing.T) {
	hang := func(chunks int) func(context.Context, port.Generation) (port.ChunkStream, error) {
		return func(ctx context.Context, g port.Generation) (port.ChunkStream, error) {
			s := newStream(ctx, g)
			s.chunks, s.err = s.chunks[:chunks], errStalled
			return s, nil
		}
	}
	for name, c := range map[string]struct {
		chunks  int
		kind    Kind
		outcome Outcome
	}{"before the first chunk": {0, KindUnavailable, OutcomeMayHaveRun}, "in the middle": {2, KindBroken, OutcomeMayHaveRun}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
				for _, e := range []string{"e1", "e2", "e3"} {
					b.engine.scripts[e] = hang(c.chunks)
				}
				begun := time.Now()
				time.AfterFunc(100*time.Millisecond, b.EndRequests)
				_, err := b.complete(t.Context(), "p", 4, &textSink{})
				f := failure(t, err)
				is.Equal(f.Kind, c.kind)
				is.Equal(f.Outcome, c.outcome)
				is.Equal(time.Since(begun), 100*time.Millisecond)
			})
		})
	}
}

// Guards against a stopping router that begins requests which it would cut off.
func TestStopBeginsOnlyWhatItCanEnd(t *testing.T) {
	for name, c := range map[string]struct {
		expected, left time.Duration
		served         bool
	}{"enough time": {time.Second, 2 * time.Second, true}, "too little time": {2 * time.Second, time.Second, false}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
				for range 30 {
					for _, route := range []string{"read", "reserve"} {
						now := time.Now()
						b.durations.End(b.durations.Start("kabelgang/"+route, now), now.Add(c.expected), true)
					}
				}
				b.BeginStop(shutdown.NewSchedule(time.Now(), shutdown.Timing{FinalAnswers: c.left, End: c.left}))
				_, completionErr := b.complete(t.Context(), "p", 4, &textSink{})
				_, callErr := b.ServiceCall(t.Context(), ServiceRequest{Account: testAccount, Route: "reserve", Method: http.MethodPost, Path: "/duct",
					IdempotencyKey: "k", KeyCreated: time.Now(), First: true})
				for _, err := range []error{completionErr, callErr} {
					if c.served {
						is.NoErr(err)
						continue
					}
					f := failure(t, err)
					is.Equal(f.Kind, KindDraining)
					is.Equal(f.Outcome, OutcomeNotRun)
				}
				is.Equal(len(b.engine.addresses()) > 0, c.served)
			})
		})
	}
}

// Guards against a repeat of a request that has not run, begun without time for it.
func TestStopIsAskedBeforeEachAttempt(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
		refuse := func(context.Context, port.Generation) (port.ChunkStream, error) {
			time.Sleep(1200 * time.Millisecond)
			return nil, &port.NotRunError{Reason: port.NotRunOverloaded}
		}
		for _, e := range []string{"e1", "e2", "e3"} {
			b.engine.scripts[e] = refuse
		}
		now := time.Now()
		for range 30 {
			b.durations.End(b.durations.Start("kabelgang/read", now), now.Add(time.Second), true)
		}
		b.BeginStop(shutdown.NewSchedule(now, shutdown.Timing{FinalAnswers: 2 * time.Second, End: 2 * time.Second}))
		// It arrived before the stop.
		_, err := b.complete(t.Context(), "p", 4, &textSink{})
		f := failure(t, err)
		is.Equal(f.Kind, KindDraining)
		is.Equal(f.Outcome, OutcomeNotRun)
		is.Equal(len(b.engine.addresses()), 1)
	})
}
