package port

import (
	"errors"
	"strconv"
	"syscall"
	"time"
)

// UnavailableError means that the peer refused the operation, or could not be
// reached before anything was sent: the operation had no effect.
type UnavailableError struct {
	Peer  string
	Cause error
}

func (e *UnavailableError) Error() string {
	return e.Peer + " is unavailable" + causeText(e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError means that the response was lost: the operation may or may
// not have taken effect.
type UnknownOutcomeError struct {
	Peer  string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return "no answer from " + e.Peer + ", the outcome is unknown" + causeText(e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnmarkedRefusalError means that a response has the status of a refusal but does not state
// that the request did not run. Relayed, its status would state it.
type UnmarkedRefusalError struct {
	Status int
	// RequestsPerSecond and Statement are as in NotRunError.
	RequestsPerSecond float64
	Statement         TargetStatement
}

func (e *UnmarkedRefusalError) Error() string {
	return "the response has the status of a refusal, " + strconv.Itoa(e.Status) + ", without its field"
}

// RateLimitedError means that the operation had no effect because of a rate
// limit, and may be retried after RetryAfter.
type RateLimitedError struct {
	Peer       string
	RetryAfter time.Duration
}

func (e *RateLimitedError) Error() string {
	return e.Peer + " is over its rate limit, retry after " + e.RetryAfter.String()
}

// ExpiredError means that the log no longer retains the requested offset.
type ExpiredError struct {
	Stream string
	From   Offset
	Oldest Offset
}

func (e *ExpiredError) Error() string {
	return "offset " + formatOffset(e.From) + " of stream " + strconv.Quote(e.Stream) +
		" has expired, the oldest is " + formatOffset(e.Oldest)
}

// NotRunReason is the reason why a target did not run an attempt.
type NotRunReason string

// The reasons why an attempt did not run.
const (
	NotRunOverloaded         NotRunReason = "overloaded"
	NotRunLoading            NotRunReason = "loading"
	NotRunIncarnationChanged NotRunReason = "incarnation_changed"
	NotRunWeightsChanged     NotRunReason = "weights_changed"
	NotRunUnreachable        NotRunReason = "unreachable"
	NotRunDeclared           NotRunReason = "declared"
)

// NotRunError means that the target did not run the attempt: either the target
// reported so, or the connection failed before the request was sent.
type NotRunError struct {
	Target     string
	Reason     NotRunReason
	RetryAfter time.Duration
	// Load is the load that the target reported with its refusal, nil if it did not.
	Load *LoadReport
	// RequestsPerSecond is the rate that the target named with its refusal, 0 if it named
	// none.
	RequestsPerSecond float64
	// Statement is what the target said of itself with its refusal.
	Statement TargetStatement
	// Weights is the version of the weights that the target reported, 0 if it reported none.
	Weights int
	Cause   error
}

// ProvesRestart reports whether the failure of a status request shows that the target's
// process has ended: its address refuses connections or belongs to another incarnation. A
// timeout may be the network's.
func ProvesRestart(err error) bool {
	var e *NotRunError
	return errors.As(err, &e) && (e.Reason == NotRunIncarnationChanged || errors.Is(e.Cause, syscall.ECONNREFUSED))
}

func (e *NotRunError) Error() string {
	return "target " + e.Target + " did not run the attempt: " + string(e.Reason) + causeText(e.Cause)
}

func (e *NotRunError) Unwrap() error { return e.Cause }

// BadRequestError means that the peer rejected the input; a retry with the same
// input would fail again.
type BadRequestError struct {
	Peer    string
	Status  int
	Message string
}

func (e *BadRequestError) Error() string {
	return e.Peer + " refused the request with status " + strconv.Itoa(e.Status) + ": " + e.Message
}

// BrokenStreamError means that a stream ended without its terminal marker.
type BrokenStreamError struct {
	Target string
	// Chunks is the number of chunks received before the break.
	Chunks int
	Cause  error
}

func (e *BrokenStreamError) Error() string {
	return "stream from " + e.Target + " broke after " + strconv.Itoa(e.Chunks) + " chunks" + causeText(e.Cause)
}

func (e *BrokenStreamError) Unwrap() error { return e.Cause }

// StaleFencingError means that the target has seen a newer fencing token.
type StaleFencingError struct {
	Target       string
	FencingToken Offset
}

func (e *StaleFencingError) Error() string {
	return "target " + e.Target + " refused the order: fencing token " + formatOffset(e.FencingToken) + " is stale"
}

// NotFoundError means that the peer has no object of the given name.
type NotFoundError struct {
	Peer string
	Name string
}

func (e *NotFoundError) Error() string {
	return e.Peer + " has no " + strconv.Quote(e.Name)
}

func causeText(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

func formatOffset(o Offset) string { return strconv.FormatUint(uint64(o), 10) }
