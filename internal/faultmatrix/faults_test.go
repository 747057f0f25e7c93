package faultmatrix

import (
	"errors"
	"net/http"
	"time"

	"mimosaseam.example/mimosaseam/internal/harness"
	"mimosaseam.example/mimosaseam/internal/standin/apprunner"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// poison marks the prompt of the request that crashes engines.
const poison = "poison"

// slowBy delays each read of a slow connection.
const slowBy = 20 * time.Millisecond

// subject is what a fault acts on: a process, and the link that leads to it.
type subject struct {
	kill    func()
	process *harness.Process
	link    *harness.Proxy
	hit     harness.Hit
	engine  *harness.Standin
	// hangs says that the caller itself waits on the subject, so that it has to
	// give up when the subject stops answering.
	hangs bool
}

type fault struct {
	name string
	act  func(*world, subject)
	// stops says that the subject does not answer for as long as the fault lasts.
	stops bool
}

var faults = []fault{
	{"kill", func(_ *world, s subject) { s.kill() }, false},
	{"freeze and resume", func(w *world, s subject) {
		s.process.Freeze()
		w.heals = append(w.heals, s.process.Resume)
	}, true},
	{"cut one way", func(w *world, s subject) { w.link(s).Cut(harness.ToClient) }, true},
	{"cut both ways", func(w *world, s subject) { w.link(s).Cut(harness.ToClient, harness.ToServer) }, true},
	{"silent connection", func(w *world, s subject) { w.link(s).Silence() }, true},
	{"slow", func(w *world, s subject) { w.link(s).Slow(slowBy) }, false},
	{"lost answer", func(w *world, s subject) { w.link(s).LoseResponse(s.hit) }, false},
	{"platform outage", func(w *world, _ subject) { w.outage() }, false},
	{"operator race", func(w *world, _ subject) { w.race() }, false},
	{"crash on one request", func(w *world, s subject) { w.crashOnRequest(s) }, false},
}

// link returns the subject's link and heals it in the end.
func (w *world) link(s subject) *harness.Proxy {
	w.heals = append(w.heals, s.link.Heal)
	return s.link
}

func (w *world) outage() {
	w.must(w.setOutage(true))
	w.heals = append(w.heals, func() { w.must(w.setOutage(false)) })
}

func (w *world) setOutage(on bool) error {
	fault := map[string]bool{"outage": on}
	return errors.Join(harness.Control(w.ctx, http.MethodPost, "http://"+w.sys.Log.Direct+"/control/faults", fault),
		harness.Control(w.ctx, http.MethodPost, "http://"+w.sys.VMs.Direct+"/control/faults", fault))
}

// crashOnRequest makes the poisoned prompt crash every engine that starts it,
// and crashes the engine that has it now.
func (w *world) crashOnRequest(s subject) {
	for _, e := range w.liveEngines() {
		w.engineFault(e, engine.Fault{Kind: engine.FaultCrashOnMarker, Marker: poison})
	}
	w.heals = append(w.heals, func() {
		for _, e := range w.liveEngines() {
			w.engineFault(e, engine.Fault{Kind: engine.FaultClear})
		}
	})
	if s.engine != nil && s.hit.Proxy != nil {
		w.engineFault(s.engine, engine.Fault{Kind: engine.FaultCrash})
	}
}

func (w *world) engineFault(e *harness.Standin, f engine.Fault) {
	w.must(harness.Control(w.ctx, http.MethodPost, "http://"+e.Direct+"/control/faults", f))
}

func (w *world) onEngine(e *harness.Standin, hit harness.Hit) subject {
	return subject{process: e.Process, link: e.Proxy, hit: hit, engine: e, kill: func() {
		w.lostRuns = append(w.lostRuns, w.runsOf(e)...)
		w.gone[e.Name] = true
		e.Kill()
	}}
}

func (w *world) onRouter(r *harness.Router, link *harness.Proxy, hit harness.Hit) subject {
	return subject{process: r.Process, link: link, hit: hit, hangs: true, kill: func() {
		w.gone[r.Name] = true
		r.Kill()
	}}
}

// onApp crashes the application in place of a kill: it drops its connections,
// but what it has counted stays.
func (w *world) onApp(hit harness.Hit) subject {
	return subject{process: w.sys.App.Process, link: w.sys.App.Proxy, hit: hit, kill: func() {
		w.must(harness.Control(w.ctx, http.MethodPost, "http://"+w.sys.App.Direct+"/control/faults",
			apprunner.Fault{Kind: apprunner.FaultCrash}))
	}}
}
