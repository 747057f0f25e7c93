package engine

import (
	"net/http"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// loadHistory retains the load reports that may still be served under LoadLag.
type loadHistory struct{ reports []port.LoadReport }

// recordLoadLocked records the current load, which is served once it is LoadLag old.
func (e *Engine) recordLoadLocked() {
	now := e.config.Clock.Now()
	report := port.LoadReport{
		Incarnation: port.Incarnation(e.incarnation), WeightsVersion: e.version,
		Running: e.running, Waiting: len(e.waiting), Slots: e.config.Slots,
		CachedBlocks: e.cache.len(), CapacityBlocks: e.config.CapacityBlocks,
		MeasuredAt: now,
	}
	e.load.reports = append(e.load.reports, report)
	e.load.prune(now.Add(-e.config.LoadLag))
}

// prune drops all reports before the latest one taken at or before visible.
func (l *loadHistory) prune(visible time.Time) {
	shown := 0
	for i, r := range l.reports {
		if r.MeasuredAt.After(visible) {
			break
		}
		shown = i
	}
	if shown > 0 {
		l.reports = append(l.reports[:0], l.reports[shown:]...)
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if e.config.LoadLag <= 0 {
		e.recordLoadLocked()
	}
	e.load.prune(e.config.Clock.Now().Add(-e.config.LoadLag))
	report := e.load.reports[0]
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := port.EngineState{
		Incarnation: port.Incarnation(e.incarnation), Model: e.model, WeightsVersion: e.version,
		Adapters: append([]string{}, e.adapters...), Role: e.role, Loading: e.loadingLocked() || e.orders.pending > 0,
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

func (e *Engine) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Runs []Run `json:"runs"`
	}{e.Runs()})
}

// Runs returns the accepted attempts in order of arrival.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs.snapshot()
}
