package enginetest

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/apprunner"
)

// ServiceHarness provides one plain service that does not deduplicate calls.
type ServiceHarness struct {
	Service port.Service
	Address string
	// Unreachable is an address on which nothing listens.
	Unreachable string
	Inject      func(apprunner.Fault)
	Effects     func() apprunner.Effects
}

// serviceCase is one reservation over a reused connection.
type serviceCase struct {
	name        string
	fault       apprunner.FaultKind
	change      func(*port.Call)
	unreachable bool
	failure     error
	reason      port.NotRunReason
	// effects and calls are the numbers that the service counted, except for the
	// initial lookup.
	effects int
	calls   int
}

func noBody(c *port.Call) { c.Body = nil }

var serviceCases = []serviceCase{
	{name: "answered", effects: 1, calls: 1},
	{name: "answered, no body", change: noBody, effects: 1, calls: 1},
	{
		name: "declared not run", fault: apprunner.FaultRefuse,
		failure: &port.NotRunError{}, reason: port.NotRunDeclared, calls: 1,
	},
	{name: "crash before the effect", fault: apprunner.FaultCrashBeforeEffect, failure: &port.UnknownOutcomeError{}, calls: 1},
	{
		name: "crash after the effect", fault: apprunner.FaultCrashAfterEffect,
		failure: &port.UnknownOutcomeError{}, effects: 1, calls: 1,
	},
	{
		name: "crash after the effect, no body", fault: apprunner.FaultCrashAfterEffect, change: noBody,
		failure: &port.UnknownOutcomeError{}, effects: 1, calls: 1,
	},
	{name: "nothing listens", unreachable: true, failure: &port.NotRunError{}, reason: port.NotRunUnreachable},
	{
		name: "deadline has passed", change: func(c *port.Call) { c.Deadline = time.Now().Add(-time.Second) },
		failure: &port.NotRunError{}, reason: port.NotRunUnreachable,
	},
	{name: "invalid path", change: func(c *port.Call) { c.Path = "no slash" }, failure: &port.BadRequestError{}},
}

func reservation() port.Call {
	return port.Call{
		RequestID: "r", AttemptID: "a", Method: http.MethodPost, Path: "/duct/7?part=2", IdempotencyKey: "key",
		Header: http.Header{"Connection": {"X-Private"}, "X-Private": {"1"}, "X-Kept": {"1"}}, Body: []byte("two ducts"),
	}
}

// RunService runs the contract tests of port.Service. They guard against an adapter
// that retries a call after it was sent, or reports a call as not run although it
// may have run.
func RunService(t *testing.T, open func(*testing.T) ServiceHarness) {
	for _, c := range serviceCases {
		t.Run(c.name, func(t *testing.T) { c.run(t, open(t)) })
	}
	t.Run("late response", func(t *testing.T) { lateResponse(t, open(t)) })
	t.Run("unresponsive connection", func(t *testing.T) { unresponsiveService(t, open(t)) })
}

func (c serviceCase) run(t *testing.T, h ServiceHarness) {
	is := is.New(t)
	lookup(t.Context(), t, h)
	if c.fault != "" {
		h.Inject(apprunner.Fault{Kind: c.fault})
	}
	call := reservation()
	if c.change != nil {
		c.change(&call)
	}
	address := h.Address
	if c.unreachable {
		address = h.Unreachable
	}
	reply, err := h.Service.Call(t.Context(), address, call)
	wantFailure(t, err, c.failure)
	if refusal := (*port.NotRunError)(nil); errors.As(err, &refusal) {
		is.Equal(refusal.Reason, c.reason)
	}
	if err == nil {
		_, err = io.ReadAll(reply.Body)
		is.NoErr(err)
		is.Equal(reply.Status, http.StatusOK)
		is.NoErr(reply.Body.Close())
	}
	effects := h.Effects()
	is.Equal(effects.Total, c.effects)
	is.Equal(effects.ByKey["key"], c.effects)
	is.Equal(effects.ByBody[apprunner.Digest(call.Body)], c.effects)
	is.Equal(effects.Calls-effects.Lookups, c.calls)
}

func lookup(ctx context.Context, t *testing.T, h ServiceHarness) {
	t.Helper()
	is := is.New(t)
	reply, err := h.Service.Call(ctx, h.Address, port.Call{Method: http.MethodGet, Path: "/duct/7"})
	is.NoErr(err)
	body, err := io.ReadAll(reply.Body)
	is.NoErr(err)
	is.Equal(string(body), `{"lookup":"/duct/7"}`)
	is.NoErr(reply.Body.Close())
}

// lateResponse checks that the outcome is unknown to a caller that gives up while
// waiting for the response.
func lateResponse(t *testing.T, h ServiceHarness) {
	h.Inject(apprunner.Fault{Kind: apprunner.FaultLate, DelayMs: 3_600_000})
	err := giveUp(t, h, func(e apprunner.Effects) bool { return e.Total == 1 })
	wantFailure(t, err, &port.UnknownOutcomeError{})
}

// unresponsiveService checks that a call over a connection that stopped responding
// has an unknown outcome while a new connection works.
func unresponsiveService(t *testing.T, h ServiceHarness) {
	lookup(t.Context(), t, h)
	h.Inject(apprunner.Fault{Kind: apprunner.FaultSilent})
	lookup(port.WithFreshConnection(t.Context()), t, h)
	err := giveUp(t, h, func(e apprunner.Effects) bool { return e.Calls == 3 })
	wantFailure(t, err, &port.UnknownOutcomeError{})
}

// giveUp makes a reservation and cancels it once the service has received it.
func giveUp(t *testing.T, h ServiceHarness, received func(apprunner.Effects) bool) error {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	failed := make(chan error)
	go func() {
		_, err := h.Service.Call(ctx, h.Address, reservation())
		failed <- err
	}()
	for !received(h.Effects()) {
		runtime.Gosched()
	}
	cancel()
	return <-failed
}
