package completions

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

// Kind is the failure type reported to callers.
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

// Outcome reports whether a failed request may have taken effect.
type Outcome string

// The outcomes of failed requests.
const (
	OutcomeNotRun     Outcome = "not_run"
	OutcomeMayHaveRun Outcome = "may_have_run"
)

// Failure is the error of a request that ended without a complete response.
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

// ErrNotDraining means that WaitDrained was called before BeginDrain.
var ErrNotDraining = eris.New("the router is not draining")

// ErrStopping ends requests for which a planned stop leaves no time.
var ErrStopping = eris.New("the router is stopping")

// ErrQuarantined means that the request is rejected because it crashed targets.
var ErrQuarantined = eris.New("requests like this one crashed the targets that ran them")

// NoTargetError means that no target of the pool became usable in time.
type NoTargetError struct {
	Pool string
	// Excluded maps the names of the pool's targets to the reasons.
	Excluded map[string]string
}

func (e *NoTargetError) Error() string {
	reasons := make([]string, 0, len(e.Excluded))
	for target, reason := range e.Excluded {
		reasons = append(reasons, target+": "+reason)
	}
	slices.Sort(reasons)
	return "no usable target in pool " + e.Pool + " (" + strings.Join(reasons, ", ") + ")"
}

// StalledError means that an attempt made no progress within its timeout.
type StalledError struct {
	Target string
	After  time.Duration
}

func (e *StalledError) Error() string {
	return "target " + e.Target + " made no progress for " + e.After.String()
}

// Retry delays suggested to callers.
const (
	retryAfterDefault  = time.Second
	retryAfterDraining = time.Second
)

func outcome(mayHaveRun bool) Outcome {
	if mayHaveRun {
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

// logText returns the text of an error for logs and traces. It omits the message of
// a target that rejected its input, because the message may quote the prompt.
func logText(err error) string {
	var bad *port.BadRequestError
	if errors.As(err, &bad) {
		return bad.Peer + " refused the request with status " + strconv.Itoa(bad.Status)
	}
	return err.Error()
}

// LogCause returns the text of the failure's cause for logs.
func (f *Failure) LogCause() string {
	if f.Cause == nil {
		return ""
	}
	return logText(f.Cause)
}

// asFailure returns the *Failure in the chain of err, or converts err to one that
// may have run.
func asFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return failureFromError(context.Background(), err, true)
}

func drainingFailure() *Failure {
	return &Failure{Kind: KindDraining, Message: "this router is stopping, another one will serve the request",
		Outcome: OutcomeNotRun, RetryAfter: retryAfterDraining}
}

// failureFromError converts an error that ended a request to a *Failure.
func failureFromError(ctx context.Context, err error, mayHaveRun bool) *Failure {
	var refused *limits.RefusedError
	var disconnected *callerDisconnectedError
	var bad *port.BadRequestError
	var large *ReplyTooLargeError
	f := &Failure{Outcome: outcome(mayHaveRun), Cause: err}
	switch {
	case errors.As(err, &refused):
		f.Kind, f.Message = refusalKind(refused.Reason)
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
	case errors.As(err, &disconnected):
		f.Kind, f.Message = KindCanceled, "the caller left"
	case stopped(ctx, err) && mayHaveRun:
		f.Kind, f.Message = KindUnavailable, "this router has stopped, the request may have run"
	case stopped(ctx, err):
		return drainingFailure()
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

// stopped reports whether a planned stop ended the request.
func stopped(ctx context.Context, err error) bool {
	return errors.Is(err, ErrStopping) || errors.Is(context.Cause(ctx), ErrStopping)
}

func refusalKind(reason limits.Reason) (Kind, string) {
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

// failureFromRunner converts the errors defined by the at-most-once runner to a
// *Failure. It returns nil for other errors.
func failureFromRunner(err error, first bool) *Failure {
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
		// The call with this body did not run; the one that first used the key may
		// have.
		return &Failure{Kind: KindKeyReused, Message: reused.Error(), Outcome: OutcomeNotRun, Cause: err}
	case errors.As(err, &expired):
		// The ledger no longer retains an earlier use of the key.
		return &Failure{Kind: KindKeyExpired, Message: expired.Error(), Outcome: outcome(!first), Cause: err}
	}
	return nil
}

// ReplyTooLargeError means that the reply of a service exceeds the size that the
// router buffers, or what other replies leave of the memory for all.
type ReplyTooLargeError struct {
	Target string
	Limit  int
}

func (e *ReplyTooLargeError) Error() string {
	return "the reply of " + e.Target + " is larger than " + strconv.Itoa(e.Limit) + " bytes"
}
