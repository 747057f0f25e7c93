// Package apprunner simulates an application runner, an HTTP service with
// idempotent lookups and non-idempotent reservations. It counts the effects of
// reservations, so that tests can detect duplicate execution.
package apprunner

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/conntrack"
)

const (
	maxBodyBytes = 8 << 20
	digestBytes  = 8
	// DefaultSlots is the number of slots in load reports.
	DefaultSlots = 64
)

// Config describes one application runner.
type Config struct {
	// Deduplicate makes a repeated idempotency key with the same body return the
	// first response without another effect.
	Deduplicate bool
	Slots       int
	// Incarnation is the incarnation in load reports.
	Incarnation string
	Now         func() time.Time
}

// Effects counts the reservations that took effect.
type Effects struct {
	Total  int            `json:"total"`
	ByKey  map[string]int `json:"by_key"`
	ByBody map[string]int `json:"by_body"`
	// Lookups counts the lookups executed, Calls all calls received, including
	// those that were refused or failed.
	Lookups int `json:"lookups"`
	Calls   int `json:"calls"`
}

type storedResponse struct {
	bodyDigest string
	body       []byte
}

// Runner is a simulated application runner. It is an http.Handler; Server returns
// a server whose connections it can also drop and silence.
type Runner struct {
	config  Config
	tracker conntrack.Tracker

	mu        sync.Mutex
	effects   Effects
	responses map[string]storedResponse
	running   int
	faults    map[FaultKind]*Fault
}

// New returns a runner without faults.
func New(c Config) *Runner {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Incarnation == "" {
		c.Incarnation = "app-1"
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Runner{
		config:    c,
		effects:   Effects{ByKey: map[string]int{}, ByBody: map[string]int{}},
		responses: map[string]storedResponse{},
		faults:    map[FaultKind]*Fault{},
	}
}

// Server returns a server for the runner. Faults drop and silence only the
// connections of this server.
func (s *Runner) Server() *http.Server { return s.tracker.Server(s) }

// Effects returns the counts so far.
func (s *Runner) Effects() Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.effects
	out.ByKey, out.ByBody = maps.Clone(out.ByKey), maps.Clone(out.ByBody)
	return out
}

// ServeHTTP serves the control paths, the load report and, on any other path,
// lookups (GET, HEAD) and reservations (all other methods).
func (s *Runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/control/effects":
		writeJSON(w, http.StatusOK, s.Effects())
	case r.URL.Path == "/control/faults":
		s.serveFaults(w, r)
	case conntrack.Silent(r.Context()):
		s.addRunning(1)
		defer s.addRunning(-1)
		hang(r.Context())
	case r.URL.Path == "/v1/load":
		s.serveLoad(w)
	default:
		s.serveCall(w, r)
	}
}

func (s *Runner) serveLoad(w http.ResponseWriter) {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, port.LoadReport{
		Incarnation: port.Incarnation(s.config.Incarnation), Running: running, Slots: s.config.Slots, MeasuredAt: s.config.Now(),
	})
}

func (s *Runner) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.addRunning(1)
	defer s.addRunning(-1)
	if s.take(FaultRefuse) != nil {
		w.Header().Set("X-Not-Run", "true")
		w.Header().Set("Retry-After", "1")
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"refused": "declared"})
		return
	}
	if s.take(FaultCrashBeforeEffect) != nil {
		panic(http.ErrAbortHandler)
	}
	response, status := s.run(r, body)
	if s.take(FaultCrashAfterEffect) != nil {
		panic(http.ErrAbortHandler)
	}
	if f := s.take(FaultLate); f != nil {
		wait(r.Context(), time.Duration(f.DelayMs)*time.Millisecond)
	}
	if conntrack.Silent(r.Context()) {
		hang(r.Context())
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(response)
}

// addRunning changes the number of running calls. An increase also counts a call.
func (s *Runner) addRunning(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += delta
	if delta > 0 {
		s.effects.Calls++
	}
}

// run executes the call and returns the response's body and status.
func (s *Runner) run(r *http.Request, body []byte) ([]byte, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := Digest(body)
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.effects.Lookups++
		return marshal(map[string]any{"lookup": r.URL.RequestURI()}), http.StatusOK
	}
	key := r.Header.Get("Idempotency-Key")
	if first, ok := s.responses[key]; ok && key != "" && s.config.Deduplicate {
		if first.bodyDigest != digest {
			return marshal(map[string]any{"error": "the key was used with another body"}), http.StatusConflict
		}
		return first.body, http.StatusOK
	}
	s.effects.Total++
	s.effects.ByBody[digest]++
	if key != "" {
		s.effects.ByKey[key]++
	}
	response := marshal(map[string]any{"reservation": digest, "number": s.effects.Total, "path": r.URL.RequestURI()})
	s.responses[key] = storedResponse{bodyDigest: digest, body: response}
	return response, http.StatusOK
}

// Digest returns the key under which Effects.ByBody counts this body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:digestBytes])
}

func marshal(value any) []byte {
	data, _ := json.Marshal(value)
	return data
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func hang(ctx context.Context) {
	<-ctx.Done()
	panic(http.ErrAbortHandler)
}

// wait returns after d, or ends the handler when the connection is closed.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Runner) serveFaults(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	err := json.NewDecoder(r.Body).Decode(&fault)
	if err != nil || !s.Inject(r.Context(), fault) {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "unknown fault " + strings.TrimSpace(string(fault.Kind))})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
