package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"mimosaseam.example/mimosaseam/internal/standin/conntrack"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

// The faults accepted by POST /control/faults.
const (
	// FaultCrash drops all connections, empties the cache and starts a new
	// incarnation after DownMs and the cold start.
	FaultCrash FaultKind = "crash"
	// FaultFreeze stops the whole engine until FaultResume.
	FaultFreeze FaultKind = "freeze"
	FaultResume FaultKind = "resume"
	// FaultSilent stops all output on the currently open connections for good.
	FaultSilent FaultKind = "silent"
	// FaultSlow multiplies prefill and decode times by Factor.
	FaultSlow FaultKind = "slow"
	// FaultDropChunk and FaultDuplicateChunk affect the chunk at Index.
	FaultDropChunk      FaultKind = "drop_chunk"
	FaultDuplicateChunk FaultKind = "duplicate_chunk"
	// FaultBreakStream closes the connection after After chunks of an attempt.
	FaultBreakStream FaultKind = "break_stream"
	// FaultRefuse refuses completions with "overloaded".
	FaultRefuse FaultKind = "refuse"
	// FaultCrashOnMarker crashes the engine when an attempt whose prompt contains
	// Marker starts.
	FaultCrashOnMarker FaultKind = "crash_on_marker"
	// FaultClear ends all lasting faults.
	FaultClear FaultKind = "clear"
)

// Fault is the body of POST /control/faults.
type Fault struct {
	Kind   FaultKind `json:"kind"`
	DownMs int       `json:"down_ms,omitempty"`
	Factor float64   `json:"factor,omitempty"`
	Index  int       `json:"index,omitempty"`
	After  int       `json:"after,omitempty"`
	Marker string    `json:"marker,omitempty"`
	// Times is the number of attempts affected by drop_chunk, duplicate_chunk,
	// break_stream and refuse: 0 means one, -1 all until "clear".
	Times int `json:"times,omitempty"`
}

// streamFaults holds the chunk indexes at which faults act on one attempt; -1
// means none.
type streamFaults struct {
	drop       int
	duplicate  int
	breakAfter int
}

type limitedFault struct {
	value int
	times int
}

// take uses the fault once and returns its value, or -1 if it is not active.
func (f *limitedFault) take() int {
	if f.times == 0 {
		return -1
	}
	if f.times > 0 {
		f.times--
	}
	return f.value
}

type faultState struct {
	// gate is closed unless the engine is frozen.
	gate       chan struct{}
	frozen     bool
	frozenFlag atomic.Bool
	downUntil  time.Time
	factor     float64
	marker     string
	markerDown time.Duration
	drop       limitedFault
	duplicate  limitedFault
	breakAfter limitedFault
	refuse     limitedFault
}

func (f *faultState) init() {
	f.gate = make(chan struct{})
	close(f.gate)
}

func (f *faultState) slowFactor() float64 {
	if f.factor <= 0 {
		return 1
	}
	return f.factor
}

func (f *faultState) matchesMarker(text string) bool {
	return f.marker != "" && strings.Contains(text, f.marker)
}

func (f *faultState) takeRefusal() bool { return f.refuse.take() >= 0 }

func (f *faultState) takeStreamFaults() streamFaults {
	return streamFaults{drop: f.drop.take(), duplicate: f.duplicate.take(), breakAfter: f.breakAfter.take()}
}

func (f *faultState) freeze() {
	if !f.frozen {
		f.frozen = true
		f.gate = make(chan struct{})
		f.frozenFlag.Store(true)
	}
}

func (f *faultState) resume() {
	if f.frozen {
		f.frozen = false
		f.frozenFlag.Store(false)
		close(f.gate)
	}
}

func (f *faultState) clear() {
	f.resume()
	f.factor, f.marker = 0, ""
	f.drop, f.duplicate, f.breakAfter, f.refuse = limitedFault{}, limitedFault{}, limitedFault{}, limitedFault{}
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "body is not a fault: "+err.Error())
		return
	}
	if !e.Inject(r.Context(), fault) {
		writeError(w, http.StatusBadRequest, "bad_request", "unknown fault "+string(fault.Kind))
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// Inject starts a fault and reports whether its kind is known. The connection
// that ctx belongs to, if any, is not affected.
func (e *Engine) Inject(ctx context.Context, fault Fault) bool {
	if fault.Kind == FaultCrash {
		e.Crash(ctx, milliseconds(fault.DownMs))
		return true
	}
	if fault.Kind == FaultSilent {
		e.tracker.Silence(ctx)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	times := fault.Times
	if times == 0 {
		times = 1
	}
	switch fault.Kind {
	case FaultFreeze:
		e.faults.freeze()
	case FaultResume:
		e.faults.resume()
	case FaultSilent:
		for _, a := range e.attempts {
			a.silent.Store(true)
		}
	case FaultSlow:
		e.faults.factor = fault.Factor
	case FaultDropChunk:
		e.faults.drop = limitedFault{fault.Index, times}
	case FaultDuplicateChunk:
		e.faults.duplicate = limitedFault{fault.Index, times}
	case FaultBreakStream:
		e.faults.breakAfter = limitedFault{fault.After, times}
	case FaultRefuse:
		e.faults.refuse = limitedFault{0, times}
	case FaultCrashOnMarker:
		e.faults.marker, e.faults.markerDown = fault.Marker, milliseconds(fault.DownMs)
	case FaultClear:
		e.faults.clear()
	default:
		return false
	}
	e.runLocked()
	return true
}

// applyFaults hangs on a silenced connection, drops the connection while the
// engine is down, and blocks while it is frozen.
func (e *Engine) applyFaults(ctx context.Context) {
	if conntrack.Silent(ctx) {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	down := e.config.Clock.Now().Before(e.faults.downUntil)
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	e.waitWhileFrozen()
}

func (e *Engine) waitWhileFrozen() {
	if !e.faults.frozenFlag.Load() {
		return
	}
	e.mu.Lock()
	gate := e.faults.gate
	e.mu.Unlock()
	<-gate
}

func isControl(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/control/") }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
