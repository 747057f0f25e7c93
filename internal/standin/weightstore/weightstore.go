// Package weightstore simulates the platform's rate-limited weight store.
//
//	POST /v1/weights/fetch  {"version"} -> 200, or 429 with Retry-After
//	POST /control/faults    {"outage":bool}
package weightstore

import (
	"net/http"

	"golang.org/x/time/rate"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/httpreply"
)

type store struct {
	clock   port.Clock
	limiter *rate.Limiter
}

// New returns the handler of a store that allows perSecond fetches per second
// with bursts of up to burst.
func New(clock port.Clock, perSecond float64, burst int) http.Handler {
	s := &store{clock: clock, limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
	var outage httpreply.Outage
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/weights/fetch", outage.Guard(s.fetch))
	mux.HandleFunc("POST /control/faults", outage.Control)
	return mux
}

func (s *store) fetch(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Version string `json:"version"`
	}
	if !httpreply.Decode(w, r, &body) {
		return
	}
	if body.Version == "" {
		httpreply.Error(w, http.StatusBadRequest, "bad_request", "version is missing")
		return
	}
	now := s.clock.Now()
	reservation := s.limiter.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		httpreply.RateLimited(w, wait)
		return
	}
	httpreply.JSON(w, http.StatusOK, map[string]string{"version": body.Version})
}
