// Package httpreply provides helpers for the stand-ins: JSON responses, error
// responses in the platform's format, and a switch that simulates an outage.
package httpreply

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// maxRequestBytes bounds the body of a JSON request.
const maxRequestBytes = 64 << 20

// JSON writes v as a JSON response with the status.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Error writes {"error":{"type","message"}} with the status.
func Error(w http.ResponseWriter, status int, kind, message string) {
	JSON(w, status, map[string]any{"error": map[string]string{"type": kind, "message": message}})
}

// RateLimited writes a 429 with Retry-After in whole seconds, rounded up.
func RateLimited(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	Error(w, http.StatusTooManyRequests, "rate_limited", "rate limit exceeded")
}

// Decode reads a JSON body into v. If the body is invalid, it responds with 400
// and returns false.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(v); err != nil {
		Error(w, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	return true
}

// Outage is a switch that makes a stand-in respond with 503 to all requests
// except control calls.
type Outage struct{ on atomic.Bool }

// Set switches the outage on or off.
func (o *Outage) Set(on bool) { o.on.Store(on) }

// Control handles POST /control/faults with {"outage":bool}.
func (o *Outage) Control(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Outage bool `json:"outage"`
	}
	if Decode(w, r, &body) {
		o.Set(body.Outage)
		w.WriteHeader(http.StatusNoContent)
	}
}

// Guard wraps a handler to respond with 503 while the outage is on.
func (o *Outage) Guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if o.on.Load() {
			Error(w, http.StatusServiceUnavailable, "unavailable", "outage")
			return
		}
		next(w, r)
	}
}
