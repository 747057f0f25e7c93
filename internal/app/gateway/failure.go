package gateway

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is the type of a failure.
type Kind int

// The kinds of failures.
const (
	// KindRefused: the request has not run and will not run.
	KindRefused Kind = iota
	// KindUnknown: the request may have run.
	KindUnknown
	// KindTimeout: the deadline passed, and the request may have run.
	KindTimeout
	// KindAborted: a part of the response was delivered.
	KindAborted
	// KindClientGone: the client disconnected.
	KindClientGone
	// KindNoRoute, KindNoAccount, KindTooLarge, KindInvalid and KindIncomplete are errors
	// of the client.
	KindNoRoute
	KindNoAccount
	KindTooLarge
	KindInvalid
	// KindIncomplete: the client did not send the whole request in time.
	KindIncomplete
	// KindCrashesTargets: the request, or a segment of its prompt, crashes the targets that
	// run it.
	KindCrashesTargets
	// KindOverAllotment: the client account has spent its allotment. The request has not run
	// and will not run.
	KindOverAllotment
)

var kindNames = [...]string{"refused", "unknown", "timeout", "aborted", "client gone", "no route", "no account", "too large", "invalid", "incomplete", "crashes targets", "over allotment"}

// String returns the kind's name in logs.
func (k Kind) String() string { return kindNames[k] }

func (k Kind) metric() string {
	switch k {
	case KindUnknown, KindTimeout:
		return MetricFailed
	case KindAborted:
		return MetricAborted
	case KindClientGone:
		return MetricClientGone
	}
	return MetricRefused
}

// Failure is the error of a request that ended without a complete response.
type Failure struct {
	Kind Kind
	// RetryAfter is the time after which the client should retry; 0: no advice.
	RetryAfter time.Duration
	Cause      error
}

func (f *Failure) Error() string {
	if f.Cause == nil {
		return f.Kind.String()
	}
	return f.Kind.String() + ": " + f.Cause.Error()
}

func (f *Failure) Unwrap() error { return f.Cause }

func failureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{Kind: KindUnknown, Cause: err}
}

// CrashingSegmentsError means that the prompt has segments one of which crashes targets.
type CrashingSegmentsError struct{ Segments []string }

func (e *CrashingSegmentsError) Error() string {
	return "prompt segments " + strings.Join(e.Segments, ", ")
}

// Causes of failures.
var (
	ErrNoConfiguration = eris.New("no configuration is in force yet")
	ErrUnverified      = eris.New("the configuration was not verified for too long")
	ErrNoMemory        = eris.New("no memory for the prompt of the request")
	ErrNoTarget        = eris.New("no target can take the request now")
	ErrRetryBudget     = eris.New("repeated sends to the service are at their bound")
	ErrUnresponsive    = eris.New("the target stopped responding")
	ErrRouteTimeout    = eris.New("the route's timeout or the client's deadline has passed")
	ErrStopping        = eris.New("the router is stopping")
	ErrEmptyStream     = eris.New("the stream ended with its connection before its first event")
	ErrNotContinued    = eris.New("the response does not continue the stream that has begun")
	ErrPanic           = eris.New("an unexpected error, logged as panic")
)

// clientDisconnected reports whether the client has disconnected.
func clientDisconnected(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}
