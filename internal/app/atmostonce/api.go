// Package atmostonce runs non-idempotent calls at most once: it writes intents
// and outcomes to the ledger stream and follows it.
package atmostonce

import (
	"context"
	"net/http"
	"time"
)

// Key is an idempotency key in the scope of one client account.
type Key struct {
	ClientAccount string
	Value         string
	// CreatedAt is the age of the key as the caller states it.
	CreatedAt time.Time
}

// Request is one caller's wish to run a non-idempotent call.
type Request struct {
	Key      Key
	BodyHash string
	Route    string
	// First is the caller's assertion that it never sent the key before.
	First bool
	// Retention is how long the outcome answers repeats.
	Retention time.Duration
	Deadline  time.Time
	// Resendable says that the target deduplicates keys or checks fencing, so an
	// attempt with an unknown outcome may be sent again.
	Resendable bool
}

// Outcome is a kept answer.
type Outcome struct {
	Status int
	Header http.Header
	Body   []byte
}

// Dispatch sends the one attempt. It returns a port.NotRunError when the
// target did not run it and a port.UnknownOutcomeError when it may have run.
type Dispatch func(ctx context.Context, attemptID string) (Outcome, error)

// Runner runs calls at most once. Run returns the outcome, or a
// *NotRunError, *MayHaveRunError, *KeyReusedError or *KeyExpiredError.
type Runner interface {
	Run(ctx context.Context, r Request, dispatch Dispatch) (Outcome, error)
}

// NotRunError says that the call did not run and never will under this request.
type NotRunError struct {
	RetryAfter time.Duration
	Cause      error
}

func (e *NotRunError) Error() string {
	if e.Cause == nil {
		return "the call did not run"
	}
	return "the call did not run: " + e.Cause.Error()
}

func (e *NotRunError) Unwrap() error { return e.Cause }

// MayHaveRunError says that the call may have run; repeating it with the same
// key is safe.
type MayHaveRunError struct {
	RetryAfter time.Duration
	Cause      error
}

func (e *MayHaveRunError) Error() string {
	if e.Cause == nil {
		return "the call may have run"
	}
	return "the call may have run: " + e.Cause.Error()
}

func (e *MayHaveRunError) Unwrap() error { return e.Cause }

// KeyReusedError says that the key was used before with another body.
type KeyReusedError struct{ Key string }

func (e *KeyReusedError) Error() string {
	return "idempotency key was used before with another body"
}

// KeyExpiredError says that the key is older than the retained horizon, or
// lies further in the future than clocks differ.
type KeyExpiredError struct {
	CreatedAt time.Time
	Horizon   time.Duration
	// Future says that the key was created in the future; Horizon is then the
	// tolerated difference of clocks.
	Future bool
}

func (e *KeyExpiredError) Error() string {
	if e.Future {
		return "idempotency key of " + e.CreatedAt.UTC().Format(time.RFC3339) +
			" is more than " + e.Horizon.String() + " in the future"
	}
	return "idempotency key of " + e.CreatedAt.UTC().Format(time.RFC3339) +
		" is older than the retained " + e.Horizon.String()
}
