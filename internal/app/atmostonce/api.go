// Package atmostonce runs non-idempotent calls at most once. It records intents
// and outcomes in the ledger stream, which every router follows.
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
	// CreatedAt is the creation time of the key as stated by the caller.
	CreatedAt time.Time
}

// Request is a caller's request to run a non-idempotent call.
type Request struct {
	Key      Key
	BodyHash string
	Route    string
	// First is the caller's assertion that it never sent the key before.
	First bool
	// Retention is how long the outcome is replayed to repeated requests.
	Retention time.Duration
	Deadline  time.Time
	// Resendable means that the target deduplicates keys or checks fencing tokens,
	// so an attempt with an unknown outcome may be sent again.
	Resendable bool
}

// Outcome is the response of the target to a call.
type Outcome struct {
	Status int
	Header http.Header
	Body   []byte
}

// Dispatch sends the single attempt. It returns a port.NotRunError if the target
// did not run it and a port.UnknownOutcomeError if the target may have run it.
type Dispatch func(ctx context.Context, attemptID string) (Outcome, error)

// Runner runs calls at most once. Run returns the outcome, or a
// *NotRunError, *MayHaveRunError, *KeyReusedError or *KeyExpiredError.
type Runner interface {
	Run(ctx context.Context, r Request, dispatch Dispatch) (Outcome, error)
}

// NotRunError means that the call did not run and never will for this request.
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

// MayHaveRunError means that the call may have run. Repeating it with the same
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

// KeyReusedError means that the key was used before with a different body.
type KeyReusedError struct{ Key string }

func (e *KeyReusedError) Error() string {
	return "idempotency key was used before with another body"
}

// KeyExpiredError means that the key is older than the retention horizon, or
// further in the future than the tolerated clock skew.
type KeyExpiredError struct {
	CreatedAt time.Time
	Horizon   time.Duration
	// Future means that the key was created in the future; Horizon is then the
	// tolerated clock skew.
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
