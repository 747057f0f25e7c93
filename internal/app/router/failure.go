package router

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/app/atmostonce"
	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Kind is the type of a failure as callers see it.
type Kind string

// The kinds of failures.
const (
	KindNotFound     Kind = "not_found"
	KindInvalid      Kind = "invalid_request"
	KindRateLimited  Kind = "rate_limited"
	KindOverloaded   Kind = "overloaded"
	KindDeadline     Kind = "deadline_exceeded"
	KindUnavailable  Kind = "unavailable"
	KindCrashSuspect Kind = "crash_suspect"
	KindDraining     Kind = "draining"
	KindBroken       Kind = "stream_broken"
	KindUpstream     Kind = "upstream_error"
	KindCanceled     Kind = "canceled"
	KindKeyReused    Kind = "key_reused"
	KindKeyExpired   Kind = "key_expired"
)

// Outcome says whether a failed request may have taken effect.
type Outcome string

// The outcomes of failed requests.
const (
	OutcomeNotRun     Outcome = "not_run"
	OutcomeMayHaveRun Outcome = "may_have_run"
)

// Failure is the end of a request without a whole response.
type Failure struct {
	Kind       Kind
	Message    string
	Outcome    Outcome
	RetryAfter time.Duration
	Cause      error
}

func (f *Failure) Error() string {
	text := string(f.Kind) + ": " + f.Message + " (" + string(f.Outcome) + ")"
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

func (f *Failure) Unwrap() error { return f.Cause }

// ErrNotDraining says that WaitDrained was called before BeginDrain.
var ErrNotDraining = eris.New("the router is not draining")

// ErrQuarantined says that the request crashed its targets and is refused.
var ErrQuarantined = eris.New("requests like this one crashed the targets that ran them")

// NoTargetError says that no target of the pool was usable in time.
type NoTargetError struct {
	Pool string
	// Excluded maps the pool's targets to the reasons.
	Excluded map[string]string
}

func (e *NoTargetError) Error() string {
	reasons := make([]string, 0, len(e.Excluded))
	for target, reason := range e.Excluded {
		reasons = append(reasons, target+": "+reason)
	}
	slices.Sort(reasons)
	return "no target of pool " + e.Pool + " is usable (" + strings.Join(reasons, ", ") + ")"
}

// StalledError says that an attempt made no progress.
type StalledError struct {
	Target string
	After  time.Duration
}

func (e *StalledError) Error() string {
	return "target " + e.Target + " made no progress for " + e.After.String()
}

// Advice given with refusals, by kind.
const (
	retryAfterDefault = time.Second
	retryAfterDrain   = time.Second
)

func outcome(sent bool) Outcome {
	if sent {
		return OutcomeMayHaveRun
	}
	return OutcomeNotRun
}

func retryAfter(kind Kind) time.Duration {
	switch kind {
	case KindUnavailable, KindOverloaded, KindDeadline, KindBroken:
		return retryAfterDefault
	default:
		return 0
	}
}

// logText returns the text of an error for logs and traces. What a target says
// of an input that it refuses may quote the prompt and is left out.
func logText(err error) string {
	var bad *port.BadRequestError
	if errors.As(err, &bad) {
		return bad.Peer + " refused the request with status " + strconv.Itoa(bad.Status)
	}
	return err.Error()
}

// LogCause is the text of the failure's cause for logs.
func (f *Failure) LogCause() string {
	if f.Cause == nil {
		return ""
	}
	return logText(f.Cause)
}

// asFailure returns err as a *Failure.
func asFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return failureOf(context.Background(), err, true)
}

func failDraining() *Failure {
	return &Failure{Kind: KindDraining, Message: "this router is stopping, another one will serve the request",
		Outcome: OutcomeNotRun, RetryAfter: retryAfterDrain}
}

// failureOf turns an error that ended a request into a *Failure. sent says
// whether an attempt may have run.
func failureOf(ctx context.Context, err error, sent bool) *Failure {
	var refused *limits.RefusedError
	var gone *callerGoneError
	var bad *port.BadRequestError
	var large *ReplyTooLargeError
	f := &Failure{Outcome: outcome(sent), Cause: err}
	switch {
	case errors.As(err, &refused):
		f.Kind, f.Message = kindOfRefusal(refused.Reason)
		f.RetryAfter = refused.RetryAfter
		if f.RetryAfter <= 0 {
			f.RetryAfter = retryAfterDefault
		}
		return f
	case errors.As(err, &bad):
		f.Kind, f.Message = KindInvalid, "the target refused the request: "+bad.Message
	case errors.As(err, &large):
		f.Kind, f.Message = KindUpstream, "the reply is too large"
	case errors.Is(err, ErrQuarantined):
		f.Kind, f.Message = KindCrashSuspect, ErrQuarantined.Error()
	case errors.As(err, &gone):
		f.Kind, f.Message = KindCanceled, "the caller left"
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded):
		f.Kind, f.Message = KindDeadline, "the deadline passed"
	case errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, context.Canceled):
		f.Kind, f.Message = KindCanceled, "the caller left"
	default:
		f.Kind, f.Message = KindUnavailable, "no target could serve the request"
	}
	f.RetryAfter = retryAfter(f.Kind)
	return f
}

func kindOfRefusal(reason limits.Reason) (Kind, string) {
	switch reason {
	case limits.ReasonRequestRate, limits.ReasonPromptRate, limits.ReasonOutputRate, limits.ReasonConcurrency:
		return KindRateLimited, "the client account is over its limit"
	case limits.ReasonDeadline:
		return KindOverloaded, "the request cannot be served before its deadline"
	case limits.ReasonNoTargets:
		return KindUnavailable, "no target of the pool is usable"
	default:
		return KindOverloaded, "too many requests are waiting"
	}
}

// failureOfRunner turns the refusals of the at-most-once runner into a
// *Failure; nil for other errors.
func failureOfRunner(err error, first bool) *Failure {
	var notRun *atmostonce.NotRunError
	var mayHaveRun *atmostonce.MayHaveRunError
	var reused *atmostonce.KeyReusedError
	var expired *atmostonce.KeyExpiredError
	switch {
	case errors.As(err, &notRun):
		return &Failure{Kind: KindUnavailable, Message: "the call did not run", Outcome: OutcomeNotRun,
			RetryAfter: max(notRun.RetryAfter, retryAfterDefault), Cause: err}
	case errors.As(err, &mayHaveRun):
		return &Failure{Kind: KindUnavailable, Message: "the call may have run, repeat it with the same key to learn more",
			Outcome: OutcomeMayHaveRun, RetryAfter: max(mayHaveRun.RetryAfter, retryAfterDefault), Cause: err}
	case errors.As(err, &reused):
		// The call with this body did not run; the one that used the key may have.
		return &Failure{Kind: KindKeyReused, Message: reused.Error(), Outcome: OutcomeNotRun, Cause: err}
	case errors.As(err, &expired):
		// An earlier use of the key is beyond what the ledger remembers.
		return &Failure{Kind: KindKeyExpired, Message: expired.Error(), Outcome: outcome(!first), Cause: err}
	}
	return nil
}

// ReplyTooLargeError says that a service's reply exceeds what the router holds.
type ReplyTooLargeError struct {
	Target string
	Limit  int
}

func (e *ReplyTooLargeError) Error() string {
	return "the reply of " + e.Target + " is larger than " + strconv.Itoa(e.Limit) + " bytes"
}
