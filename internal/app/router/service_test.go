package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/app/atmostonce"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against non-idempotent calls that are sent twice, idempotent ones that
// are not retried, and refusals with the wrong outcome.
func TestServiceCalls(t *testing.T) {
	fail := func(err error) func(context.Context, port.Call) (port.Reply, error) {
		return func(context.Context, port.Call) (port.Reply, error) { return port.Reply{}, err }
	}
	lost := &port.UnknownOutcomeError{Peer: "s1"}
	notRun := &port.NotRunError{Target: "s1", Reason: port.NotRunDeclared}
	half := func(context.Context, port.Call) (port.Reply, error) {
		return port.Reply{Status: 200, Body: io.NopCloser(iotest.ErrReader(lost))}, nil
	}
	large := func(context.Context, port.Call) (port.Reply, error) {
		return port.Reply{Status: 200, Body: io.NopCloser(zeros{})}, nil
	}
	silent := func(ctx context.Context, c port.Call) (port.Reply, error) {
		if port.WantsFreshConnection(ctx) && c.AttemptID != "attempt" {
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
		"lookup answered":                {"lookup", nil, 1, "", ""},
		"lookup lost":                    {"lookup", fail(lost), 2, "", ""},
		"lookup not run":                 {"lookup", fail(notRun), 2, "", ""},
		"lookup on a silent connection":  {"lookup", silent, 2, "", ""},
		"reservation without answer":     {"reserve", silent, 1, KindUnavailable, OutcomeMayHaveRun},
		"lookup reply broken":            {"lookup", half, 2, "", ""},
		"lookup reply too large":         {"lookup", large, 1, KindUpstream, OutcomeMayHaveRun},
		"reservation answered":           {"reserve", nil, 1, "", ""},
		"reservation lost":               {"reserve", fail(lost), 1, KindUnavailable, OutcomeMayHaveRun},
		"reservation reply broken":       {"reserve", half, 1, KindUnavailable, OutcomeMayHaveRun},
		"reservation not run":            {"reserve", fail(notRun), 2, "", ""},
		"reservation with unknown fault": {"reserve", fail(io.ErrUnexpectedEOF), 1, KindUnavailable, OutcomeMayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, nil, func(t *testing.T, is *is.I, b *bench) {
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

// Guards against a second attempt at a target that refuses stale fencing tokens
// but may have run the first one.
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
			}, func(t *testing.T, is *is.I, b *bench) {
				runner := &fakeRunner{}
				b.Runner = runner
				_, err := b.ServiceCall(t.Context(), ServiceRequest{Account: testAccount, Route: "reserve",
					Method: http.MethodPost, Path: "/duct", IdempotencyKey: "k", KeyCreated: time.Now()})
				is.NoErr(err)
				is.Equal(runner.asked[0].Resendable, c.want)
			})
		})
	}
}

// Guards against a reservation that is not sent although nothing ran, or sent
// without a key; and against one that is given up when its caller leaves.
func TestReservationNeedsKeyAndOutlivesCaller(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, is *is.I, b *bench) {
		req := ServiceRequest{Account: testAccount, Route: "reserve", Method: http.MethodPost, Path: "/duct"}
		_, err := b.ServiceCall(t.Context(), req)
		is.Equal(failure(t, err).Kind, KindInvalid)
		is.Equal(failure(t, err).Outcome, OutcomeNotRun)
		is.Equal(len(b.service.sent), 0)

		ctx, leave := context.WithCancel(t.Context())
		b.service.scripts = map[string]func(context.Context, port.Call) (port.Reply, error){
			"s1": func(ctx context.Context, c port.Call) (port.Reply, error) {
				leave()
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

// Guards against refusals of the ledger that reach callers with another outcome.
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
			f := failureOfRunner(c.err, c.first)
			is.Equal(f.Kind, c.kind)
			is.Equal(f.Outcome, c.want)
		})
	}
}

// Guards against "not run" for a key that may have run when it was sent before
// and is now refused before the ledger was asked.
func TestEarlyRefusalOfRepeatedKey(t *testing.T) {
	for first, want := range map[bool]Outcome{true: OutcomeNotRun, false: OutcomeMayHaveRun} {
		inBubble(t, nil, func(t *testing.T, is *is.I, b *bench) {
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
