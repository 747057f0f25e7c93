package completions

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

// inBubble runs a test in a synctest bubble, which has a fake clock.
func inBubble(t *testing.T, change func(*config.Snapshot), test func(t *testing.T, is *is.I, b *testRouter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t), newTestRouter(t, change)) })
}

func failure(t *testing.T, err error) *Failure {
	t.Helper()
	var f *Failure
	if !errors.As(err, &f) {
		t.Fatalf("got %v, want a *Failure", err)
	}
	return f
}

// Guards against responses that are incomplete, out of order or contain duplicate
// chunks after a stream breaks, stalls, or repeats or loses chunks at any step.
func TestFaultyStreamsAreResumedWhole(t *testing.T) {
	broken := &port.BrokenStreamError{Target: "e1"}
	cases := map[string]struct {
		script func(context.Context, port.Generation) (port.ChunkStream, error)
		resume int
	}{
		"broken before the first chunk":     {breakAfter(0, broken), 0},
		"broken midway":                     {breakAfter(3, broken), 3},
		"broken before the terminal marker": {breakAfter(5, broken), 5},
		"ended before the terminal marker":  {breakAfter(5, nil), 5},
		"stalled before the first chunk":    {breakAfter(0, errStalled), 0},
		"stalled midway":                    {breakAfter(2, errStalled), 2},
		"unknown outcome": {func(context.Context, port.Generation) (port.ChunkStream, error) {
			return nil, &port.UnknownOutcomeError{Peer: "e1"}
		}, 0},
		"stalled before the headers": {func(ctx context.Context, _ port.Generation) (port.ChunkStream, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, 0},
		"overloaded": {func(context.Context, port.Generation) (port.ChunkStream, error) {
			return nil, &port.NotRunError{Target: "e1", Reason: port.NotRunOverloaded}
		}, 0},
		"missing chunk": {func(ctx context.Context, g port.Generation) (port.ChunkStream, error) {
			s := newStream(ctx, g)
			s.chunks = append(s.chunks[:2], s.chunks[3:]...)
			return s, nil
		}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
				b.engine.scripts["e1"] = c.script
				sink := &textSink{}
				end, err := b.complete(t.Context(), "p", 6, sink)
				is.NoErr(err)
				is.Equal(sink.text.String(), fullText("p", 6))
				is.Equal(sink.outOfOrder, 0)
				is.Equal(end.Target, "e2")
				is.Equal(end.Usage.CompletionTokens, 6)
				resumed := b.engine.sent[1].g
				is.Equal(resumed.ResumeFrom, c.resume)
				is.Equal(resumed.ResumeText, fullText("p", c.resume))
				is.Equal(resumed.ExpectWeights, "v1")
				is.True(resumed.AttemptID != b.engine.sent[0].g.AttemptID)
				is.Equal(b.Status().OpenRequests, 0)
			})
		})
	}
}

// Guards against duplicate chunks in the response.
func TestDuplicatedChunksAreDropped(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
		b.engine.scripts["e1"] = func(ctx context.Context, g port.Generation) (port.ChunkStream, error) {
			s := newStream(ctx, g)
			s.chunks = append(s.chunks[:3:3], s.chunks[1:]...)
			return s, nil
		}
		sink := &textSink{}
		_, err := b.complete(t.Context(), "p", 6, sink)
		is.NoErr(err)
		is.Equal(sink.text.String(), fullText("p", 6))
		is.Equal(len(b.engine.sent), 1)
	})
}

// Guards against a response that looks complete although it could not be resumed,
// and against a retry on the same target while an untried one is usable.
func TestUnresumableStreamFailsVisibly(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
		broken := &port.BrokenStreamError{}
		b.engine.scripts["e1"] = func(ctx context.Context, g port.Generation) (port.ChunkStream, error) {
			return breakAfter(3-g.ResumeFrom, broken)(ctx, g)
		}
		b.engine.scripts["e2"], b.engine.scripts["e3"] = breakAfter(0, broken), breakAfter(0, broken)
		sink := &textSink{}
		_, err := b.complete(t.Context(), "p", 6, sink)
		f := failure(t, err)
		is.Equal(f.Kind, KindBroken)
		is.Equal(f.Outcome, OutcomeMayHaveRun)
		is.Equal(sink.text.String(), fullText("p", 3))
		is.Equal(fmt.Sprint(b.engine.addresses()[:3]), "[e1 e2 e3]")
		is.True(len(b.engine.sent) <= 1+maxConsecutiveFailures)
	})
}

// Guards against the text of a target's refusal at the end of a stream that had begun, and
// against a caller that is told there that its request is not valid.
func TestRefusedResumptionBreaksTheStream(t *testing.T) {
	for name, refusal := range map[string]error{
		"bad request":   &port.BadRequestError{Peer: "e2", Status: 400, Message: "the engine's text"},
		"limited":       &port.RateLimitedError{Peer: "e2"},
		"not run":       &port.NotRunError{Target: "e2", Reason: port.NotRunOverloaded},
		"unavailable":   &port.UnavailableError{Peer: "e2"},
		"unknown":       &port.UnknownOutcomeError{Peer: "e2"},
		"broken stream": &port.BrokenStreamError{Target: "e2"},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
				b.engine.scripts["e1"] = func(ctx context.Context, g port.Generation) (port.ChunkStream, error) {
					return breakAfter(3-g.ResumeFrom, &port.BrokenStreamError{})(ctx, g)
				}
				refuse := func(context.Context, port.Generation) (port.ChunkStream, error) { return nil, refusal }
				b.engine.scripts["e2"], b.engine.scripts["e3"] = refuse, refuse
				sink := &textSink{}
				_, err := b.complete(t.Context(), "p", 6, sink)
				f := failure(t, err)
				is.True(f.Kind == KindBroken || f.Kind == KindDeadline)
				is.Equal(f.Outcome, OutcomeMayHaveRun)
				is.True(!strings.Contains(f.Message, "the engine's text"))
				is.Equal(sink.text.String(), fullText("p", 3))
			})
		})
	}
}

// Guards against the outcome "not run" for a request that may have run, and the
// reverse.
func TestOutcomeOfRefusals(t *testing.T) {
	refuse := func(err error) func(context.Context, port.Generation) (port.ChunkStream, error) {
		return func(context.Context, port.Generation) (port.ChunkStream, error) { return nil, err }
	}
	hang := func(ctx context.Context, _ port.Generation) (port.ChunkStream, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	cases := map[string]struct {
		script func(context.Context, port.Generation) (port.ChunkStream, error)
		kind   Kind
		want   Outcome
	}{
		"overloaded":  {refuse(&port.NotRunError{Reason: port.NotRunOverloaded}), KindUnavailable, OutcomeNotRun},
		"unreachable": {refuse(&port.NotRunError{Reason: port.NotRunUnreachable}), KindUnavailable, OutcomeNotRun},
		"bad request": {refuse(&port.BadRequestError{Status: 400}), KindInvalid, OutcomeNotRun},
		"unknown":     {refuse(&port.UnknownOutcomeError{}), KindUnavailable, OutcomeMayHaveRun},
		"no response": {hang, KindDeadline, OutcomeMayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
				for _, e := range []string{"e1", "e2", "e3"} {
					b.engine.scripts[e] = c.script
				}
				_, err := b.Completion(t.Context(), CompletionRequest{Account: testAccount, Model: "ledger", Prompt: "p",
					MaxTokens: 1, Deadline: time.Now().Add(5 * time.Second)}, &textSink{})
				f := failure(t, err)
				is.Equal(f.Kind, c.kind)
				is.Equal(f.Outcome, c.want)
			})
		})
	}
}

// Guards against responses that reach the wrong caller, including late responses of
// abandoned attempts.
func TestResponsesReachTheirOwnCaller(t *testing.T) {
	inBubble(t, func(s *config.Snapshot) {
		pool := s.Pools[config.Ref{Team: "kabelgang", Name: "ledger-lm"}]
		pool.Slots = 64
		s.Pools[config.Ref{Team: "kabelgang", Name: "ledger-lm"}] = pool
	}, func(t *testing.T, is *is.I, b *testRouter) {
		var late atomic.Int64
		for i, e := range []string{"e1", "e2", "e3"} {
			b.engine.scripts[e] = func(ctx context.Context, g port.Generation) (port.ChunkStream, error) {
				s := newStream(ctx, g)
				s.interval = time.Duration(1+len(g.Prompt)%7+i) * time.Millisecond
				if e == "e1" && len(g.Prompt)%3 == 0 {
					s.ctx, s.interval = context.Background(), 4*time.Second // responds after it was abandoned
					late.Add(1)
				}
				return s, nil
			}
		}
		results := make(chan bool)
		for i := range 40 {
			go func() {
				sink := &textSink{}
				prompt := fmt.Sprintf("%0*d", 1+i, i)
				_, err := b.complete(t.Context(), prompt, 20, sink)
				results <- err == nil && sink.text.String() == fullText(prompt, 20) && sink.outOfOrder == 0
			}()
		}
		for range 40 {
			is.True(<-results)
		}
		is.True(late.Load() > 0)
		<-time.After(time.Hour) // advances the fake clock past the late responses
	})
}

// Guards against attempts that continue after the caller disconnected, and requests
// that stay counted as open.
func TestCallerDisconnects(t *testing.T) {
	for name, sink := range map[string]func(disconnect func()) *textSink{
		"disconnect": func(disconnect func()) *textSink {
			return &textSink{chunk: func(context.Context, port.Chunk) error { disconnect(); return nil }}
		},
		"write failure": func(func()) *textSink {
			return &textSink{chunk: func(context.Context, port.Chunk) error { return context.Canceled }}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
				b.engine.scripts["e1"] = breakAfter(2, errStalled)
				ctx, disconnect := context.WithCancel(t.Context())
				defer disconnect()
				_, err := b.complete(ctx, "p", 6, sink(disconnect))
				is.Equal(failure(t, err).Kind, KindCanceled)
				synctest.Wait()
				is.Equal(b.engine.cancels, []string{"e1"})
				is.Equal(len(b.engine.sent), 1)
				is.Equal(b.Status().OpenRequests, 0)
			})
		})
	}
}

// Guards against unbounded buffering of a response whose caller reads slowly.
func TestSlowCallerAppliesBackpressure(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
		var stream *fakeStream
		b.engine.scripts["e1"] = func(ctx context.Context, g port.Generation) (port.ChunkStream, error) {
			stream = newStream(ctx, g)
			return stream, nil
		}
		ahead := 0
		sink := &textSink{}
		sink.chunk = func(ctx context.Context, _ port.Chunk) error {
			_ = ctxtime.Sleep(ctx, 5*time.Second) // longer than the stall timeout
			synctest.Wait()
			ahead = max(ahead, stream.read-sink.nextIndex)
			return nil
		}
		_, err := b.complete(t.Context(), "p", 8, sink)
		is.NoErr(err)
		is.True(ahead <= 1)
		is.Equal(len(b.engine.sent), 1) // a slow caller is not a stalled engine
	})
}

// Guards against placement by the cache of an engine that restarted, and against
// spending retry budget when an engine rejects the expected incarnation.
func TestChangedIncarnationIsRescheduled(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
		b.placer.cached = 64
		b.targets.Observe("e1", "i0", "v1", 0)
		b.engine.scripts["e1"] = func(ctx context.Context, g port.Generation) (port.ChunkStream, error) {
			if g.ExpectIncarnation == "i0" {
				return nil, &port.NotRunError{Target: "e1", Reason: port.NotRunIncarnationChanged}
			}
			return newStream(ctx, g), nil
		}
		_, err := b.complete(t.Context(), "p", 2, &textSink{})
		is.NoErr(err)
		is.Equal(b.engine.addresses(), []string{"e1", "e1"})
		is.Equal(b.engine.sent[1].g.ExpectIncarnation, port.Incarnation(""))
		is.True(len(b.placer.dropped) > 0)
		is.Equal(b.metrics.count(MetricExtraAttempts), int64(0))
		is.Equal(b.targets.State("e1").Incarnation, port.Incarnation("i1"))
	})
}

// Guards against waiting for the first token of a slow target although the route
// hedges, and against duplicate output from hedging.
func TestHedge(t *testing.T) {
	inBubble(t, func(s *config.Snapshot) {
		ref := config.Ref{Team: "kabelgang", Name: "read"}
		route := s.Routes[ref]
		route.HedgeAfterMs = 100
		s.Routes[ref] = route
	}, func(t *testing.T, is *is.I, b *testRouter) {
		b.engine.scripts["e1"] = breakAfter(0, errStalled)
		start := time.Now()
		sink := &textSink{}
		end, err := b.complete(t.Context(), "p", 3, sink)
		is.NoErr(err)
		is.Equal(time.Since(start), 100*time.Millisecond)
		is.Equal(end.Target, "e2")
		is.Equal(sink.text.String(), fullText("p", 3))
		synctest.Wait()
		is.Equal(b.engine.cancels, []string{"e1"})
	})
}

// Guards against deadlines that are not forwarded, requests to leaving targets, and
// requests that require weights that no target serves.
func TestAttemptCarriesDeadlineAndAvoidsLeavingTargets(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
		b.targets.SetLeaving(map[string]bool{"e1": true})
		for _, e := range []string{"e1", "e2", "e3"} {
			b.targets.Observe(e, "i1", "v0", 0)
		}
		own := time.Now().Add(7 * time.Second)
		_, err := b.Completion(t.Context(), CompletionRequest{Account: testAccount, Model: "ledger", Prompt: "p",
			MaxTokens: 2, Deadline: own}, &textSink{})
		is.NoErr(err)
		is.Equal(b.engine.addresses(), []string{"e2"})
		g := b.engine.sent[0].g
		is.Equal(g.Deadline, own)
		is.Equal(g.ExpectWeights, "v0")
		is.Equal(g.Scope, port.Scope{ClientAccount: "kabelgang/planner", Model: "ledger", WeightsVersion: "v0"})

		e, err := b.Explain(t.Context(), CompletionRequest{Account: testAccount, Model: "ledger", Prompt: "p"})
		is.NoErr(err)
		is.Equal(len(e.Candidates), 2)
		is.Equal(e.Excluded, map[string]string{"e1": excludedLeaving})
	})
}

// Guards against a drain that interrupts an open request or accepts a new one.
func TestDrain(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
		is.Equal(b.WaitDrained(t.Context()), ErrNotDraining)
		sink := &textSink{}
		sink.chunk = func(ctx context.Context, c port.Chunk) error {
			if c.Index == 0 {
				b.BeginDrain()
				_, err := b.complete(ctx, "q", 1, &textSink{})
				f := failure(t, err)
				is.Equal(f.Kind, KindDraining)
				is.Equal(f.Outcome, OutcomeNotRun)
			}
			return nil
		}
		_, err := b.complete(t.Context(), "p", 4, sink)
		is.NoErr(err)
		is.Equal(sink.text.String(), fullText("p", 4))
		is.NoErr(b.WaitDrained(t.Context()))
	})
}

// Guards against steps of a request without a span, and against prompts in spans
// and logs.
func TestTraceAndLogOfResumedRequest(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
		spans := tracetest.NewInMemoryExporter()
		b.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans)).Tracer("test")
		var logs bytes.Buffer
		b.Logger = slog.New(slog.NewJSONHandler(&logs, nil))
		b.engine.scripts["e1"] = breakAfter(1, &port.BrokenStreamError{Target: "e1"})
		_, err := b.complete(t.Context(), "secret words", 3, &textSink{})
		is.NoErr(err)
		names := map[string]int{}
		for _, s := range spans.GetSpans() {
			names[s.Name]++
			is.True(!strings.Contains(fmt.Sprint(s.Attributes, s.Status, s.Events), "secret"))
		}
		is.Equal(names, map[string]int{"admit": 1, "place": 2, "attempt": 2, "relay": 1})
		for _, field := range []string{`"request_id":"r"`, `"account":"kabelgang/planner"`, `"target":"e1"`, `"attempt_id":`} {
			is.True(strings.Contains(logs.String(), field))
		}
		is.True(!strings.Contains(logs.String(), "secret"))
	})
}

// Guards against cached blocks that are retained after the engine restarts, and
// against restarted engines without a slow start.
func TestTargetsObserveRestarts(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, is *is.I, b *testRouter) {
		v := b.targets
		v.Observe("e1", "i1", "v1", time.Minute)
		is.True(v.State("e1").ColdUntil.IsZero()) // the first observation is not a restart
		v.Observe("e1", "i2", "v1", time.Minute)
		is.Equal(v.State("e1").ColdUntil, time.Now().Add(time.Minute))
		v.Observe("e1", "", "v2", 0)
		is.Equal(v.State("e1").Incarnation, port.Incarnation("i2"))
		v.Observe("e1", "i2", "v2", 0)
		is.Equal(b.placer.dropped, []string{"e1", "e1"})
	})
}
