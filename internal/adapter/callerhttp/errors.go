package callerhttp

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"mimosaseam.example/mimosaseam/internal/app/router"
)

// errorBody is the body of every error response and of the error event of a stream.
type errorBody struct {
	Error   errorText      `json:"error"`
	Outcome router.Outcome `json:"outcome"`
}

type errorText struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

// statusByKind maps kinds of failures to HTTP status codes.
var statusByKind = map[router.Kind]int{
	router.KindNotFound:     http.StatusNotFound,
	router.KindInvalid:      http.StatusBadRequest,
	router.KindRateLimited:  http.StatusTooManyRequests,
	router.KindOverloaded:   http.StatusServiceUnavailable,
	router.KindDeadline:     http.StatusGatewayTimeout,
	router.KindUnavailable:  http.StatusServiceUnavailable,
	router.KindCrashSuspect: http.StatusUnprocessableEntity,
	router.KindDraining:     http.StatusServiceUnavailable,
	router.KindBroken:       http.StatusBadGateway,
	router.KindUpstream:     http.StatusBadGateway,
	router.KindCanceled:     499, // never received by the caller; the customary code in logs
	router.KindKeyReused:    http.StatusConflict,
	router.KindKeyExpired:   http.StatusGone,
}

// asFailure returns err as a *router.Failure.
func asFailure(err error) *router.Failure {
	var f *router.Failure
	if errors.As(err, &f) {
		return f
	}
	return &router.Failure{Kind: router.KindUnavailable, Message: "the request failed",
		Outcome: router.OutcomeMayHaveRun, Cause: err}
}

func bodyOf(f *router.Failure) errorBody {
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
	outcome := router.OutcomeNotRun
	if h := x.r.Header; h.Get("Idempotency-Key") != "" && !isFirst(h) {
		outcome = router.OutcomeMayHaveRun
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
