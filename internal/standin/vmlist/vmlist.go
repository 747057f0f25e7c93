// Package vmlist simulates the platform's VM list, which lags behind the actual
// state.
//
//	GET  /v1/vms          {"as_of","vms"}: the list as it was one lag ago
//	PUT  /control/vms     {"vms":[...]}: sets the current list
//	PUT  /control/lag     {"lag_ms":n}
//	POST /control/faults  {"outage":bool}
package vmlist

import (
	"net/http"
	"sync"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/httpreply"
)

// List is a simulated VM list. The first list that is set is served without lag.
type List struct {
	clock port.Clock
	mux   *http.ServeMux

	mu      sync.Mutex
	lag     time.Duration
	history []entry
}

type entry struct {
	at  time.Time
	vms []port.VM
}

// New returns a list without VMs.
func New(clock port.Clock, lag time.Duration) *List {
	l := &List{clock: clock, lag: lag, mux: http.NewServeMux()}
	var outage httpreply.Outage
	l.mux.HandleFunc("GET /v1/vms", outage.Guard(l.serve))
	l.mux.HandleFunc("PUT /control/vms", l.putVMs)
	l.mux.HandleFunc("PUT /control/lag", l.putLag)
	l.mux.HandleFunc("POST /control/faults", outage.Control)
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Set replaces the current list.
func (l *List) Set(vms []port.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, entry{at: l.clock.Now(), vms: append([]port.VM{}, vms...)})
}

// SetLag changes how far the served list lags behind the current one.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Served returns the list as it was one lag ago.
func (l *List) Served() port.VMSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := port.VMSnapshot{AsOf: l.clock.Now().Add(-l.lag), VMs: []port.VM{}}
	for i, e := range l.history {
		if i == 0 || !e.at.After(s.AsOf) {
			s.VMs = e.vms
		}
	}
	return s
}

func (l *List) serve(w http.ResponseWriter, _ *http.Request) {
	httpreply.JSON(w, http.StatusOK, l.Served())
}

func (l *List) putVMs(w http.ResponseWriter, r *http.Request) {
	var body port.VMSnapshot
	if httpreply.Decode(w, r, &body) {
		l.Set(body.VMs)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (l *List) putLag(w http.ResponseWriter, r *http.Request) {
	var body struct {
		LagMS int64 `json:"lag_ms"`
	}
	if httpreply.Decode(w, r, &body) {
		l.SetLag(time.Duration(body.LagMS) * time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	}
}
