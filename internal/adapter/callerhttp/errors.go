package callerhttp

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"mimosaseam.example/mimosaseam/internal/adapter/clientconn"
	"mimosaseam.example/mimosaseam/internal/app/completions"
)

// errorBody is the body of every error response and of the error event of a stream.
type errorBody struct {
	Error   errorText           `json:"error"`
	Outcome completions.Outcome `json:"outcome"`
}

type errorText struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

// statusByKind maps kinds of failures to HTTP status codes.
var statusByKind = map[completions.Kind]int{
	completions.KindNotFound:     http.StatusNotFound,
	completions.KindInvalid:      http.StatusBadRequest,
	completions.KindRateLimited:  http.StatusTooManyRequests,
	completions.KindOverloaded:   http.StatusServiceUnavailable,
	completions.KindDeadline:     http.StatusGatewayTimeout,
	completions.KindUnavailable:  http.StatusServiceUnavailable,
	completions.KindCrashSuspect: http.StatusUnprocessableEntity,
	completions.KindDraining:     http.StatusServiceUnavailable,
	completions.KindBroken:       http.StatusBadGateway,
	completions.KindUpstream:     http.StatusBadGateway,
	completions.KindCanceled:     499, // never received by the caller; the customary code in logs
	completions.KindKeyReused:    http.StatusConflict,
	completions.KindKeyExpired:   http.StatusGone,
}

// asFailure returns err as a *completions.Failure.
func asFailure(err error) *completions.Failure {
	var f *completions.Failure
	if errors.As(err, &f) {
		return f
	}
	return &completions.Failure{Kind: completions.KindUnavailable, Message: "the request failed",
		Outcome: completions.OutcomeMayHaveRun, Cause: err}
}

func bodyOf(f *completions.Failure) errorBody {
	return errorBody{Error: errorText{Type: string(f.Kind), Message: f.Message}, Outcome: f.Outcome}
}

// fail sends the error response of a request whose response has not started.
func (x *exchange) fail(err error) {
	f := asFailure(err)
	status, ok := statusByKind[f.Kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	x.writeError(status, bodyOf(f), f.RetryAfter)
	x.logRequest(string(f.Kind), slog.String("outcome", string(f.Outcome)), slog.String("cause", f.LogCause()))
}

// refuse rejects a request without passing it on. If its idempotency key was sent
// before, the earlier request may have run.
func (x *exchange) refuse(status int, kind, message string, retryAfter time.Duration) {
	if !x.bodyRead {
		clientconn.DiscardBody(x.w, x.r)
	}
	outcome := completions.OutcomeNotRun
	if h := x.r.Header; h.Get("Idempotency-Key") != "" && !isFirst(h) {
		outcome = completions.OutcomeMayHaveRun
	}
	x.writeError(status, errorBody{Error: errorText{Type: kind, Message: message}, Outcome: outcome}, retryAfter)
	x.logRequest(kind)
}

func (x *exchange) writeError(status int, body errorBody, retryAfter time.Duration) {
	h := x.w.Header()
	if retryAfter > 0 {
		seconds := int64((retryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	data, _ := json.Marshal(body) // strings only: cannot fail
	x.writeBody(status, "application/json", data)
}

func (x *exchange) writeBody(status int, contentType string, data []byte) {
	h := x.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(data)))
	x.status = status
	x.extendWriteDeadline()
	x.w.WriteHeader(status)
	_, _ = x.w.Write(data)
}

// extendWriteDeadline sets the deadline of the next write. It has no effect on
// writers without deadlines, as in tests.
func (x *exchange) extendWriteDeadline() {
	_ = x.rc.SetWriteDeadline(time.Now().Add(x.s.Limits.WriteTimeout))
}
