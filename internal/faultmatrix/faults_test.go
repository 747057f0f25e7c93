package faultmatrix

import (
	"errors"
	"net/http"
	"time"

	"mimosaseam.example/mimosaseam/internal/harness"
	"mimosaseam.example/mimosaseam/internal/standin/apprunner"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// poison is the marker in the prompt of the request that crashes engines.
const poison = "poison"

// slowReadDelay is the delay of each read on a slow connection.
const slowReadDelay = 20 * time.Millisecond

// subject is what a fault acts on: a process and the proxy in front of it.
type subject struct {
	kill    func()
	process *harness.Process
	proxy   *harness.Proxy
	hit     harness.Hit
	engine  *harness.Standin
	// callerBlocks is set when the caller itself waits for the subject and has to
	// cancel its request when the subject stops responding.
	callerBlocks bool
}

type fault struct {
	name  string
	apply func(*testEnv, subject)
	// unresponsive is set when the subject does not respond while the fault lasts.
	unresponsive bool
}

var faults = []fault{
	{"kill", func(_ *testEnv, s subject) { s.kill() }, false},
	{"freeze and resume", func(env *testEnv, s subject) {
		s.process.Freeze()
		env.healFuncs = append(env.healFuncs, s.process.Resume)
	}, true},
	{"cut one way", func(env *testEnv, s subject) { env.proxyOf(s).Cut(harness.ToClient) }, true},
	{"cut both ways", func(env *testEnv, s subject) { env.proxyOf(s).Cut(harness.ToClient, harness.ToServer) }, true},
	{"silent connection", func(env *testEnv, s subject) { env.proxyOf(s).Silence() }, true},
	{"slow", func(env *testEnv, s subject) { env.proxyOf(s).Slow(slowReadDelay) }, false},
	{"lost answer", func(env *testEnv, s subject) { env.proxyOf(s).LoseResponse(s.hit) }, false},
	{"platform outage", func(env *testEnv, _ subject) { env.startOutage() }, false},
	{"operator race", func(env *testEnv, _ subject) { env.raceOperators() }, false},
	{"crash on one request", func(env *testEnv, s subject) { env.crashOnRequest(s) }, false},
}

// proxyOf returns the subject's proxy and registers its healing.
func (env *testEnv) proxyOf(s subject) *harness.Proxy {
	env.healFuncs = append(env.healFuncs, s.proxy.Heal)
	return s.proxy
}

func (env *testEnv) startOutage() {
	env.must(env.setOutage(true))
	env.healFuncs = append(env.healFuncs, func() { env.must(env.setOutage(false)) })
}

func (env *testEnv) setOutage(on bool) error {
	fault := map[string]bool{"outage": on}
	return errors.Join(harness.Control(env.ctx, http.MethodPost, "http://"+env.sys.Log.Direct+"/control/faults", fault),
		harness.Control(env.ctx, http.MethodPost, "http://"+env.sys.VMs.Direct+"/control/faults", fault))
}

// crashOnRequest makes every engine crash when it starts the poisoned prompt, and
// crashes the engine that is running it.
func (env *testEnv) crashOnRequest(s subject) {
	for _, e := range env.liveEngines() {
		env.engineFault(e, engine.Fault{Kind: engine.FaultCrashOnMarker, Marker: poison})
	}
	env.healFuncs = append(env.healFuncs, func() {
		for _, e := range env.liveEngines() {
			env.engineFault(e, engine.Fault{Kind: engine.FaultClear})
		}
	})
	if s.engine != nil && s.hit.Proxy != nil {
		env.engineFault(s.engine, engine.Fault{Kind: engine.FaultCrash})
	}
}

func (env *testEnv) engineFault(e *harness.Standin, f engine.Fault) {
	env.must(harness.Control(env.ctx, http.MethodPost, "http://"+e.Direct+"/control/faults", f))
}

func (env *testEnv) onEngine(e *harness.Standin, hit harness.Hit) subject {
	return subject{process: e.Process, proxy: e.Proxy, hit: hit, engine: e, kill: func() {
		env.killedRuns = append(env.killedRuns, env.runsOf(e)...)
		env.stopped[e.Name] = true
		e.Kill()
	}}
}

func (env *testEnv) onRouter(r *harness.Router, proxy *harness.Proxy, hit harness.Hit) subject {
	return subject{process: r.Process, proxy: proxy, hit: hit, callerBlocks: true, kill: func() {
		env.stopped[r.Name] = true
		r.Kill()
	}}
}

// onApp injects a crash in place of a kill: the application drops its connections
// but retains its effect counters.
func (env *testEnv) onApp(hit harness.Hit) subject {
	return subject{process: env.sys.App.Process, proxy: env.sys.App.Proxy, hit: hit, kill: func() {
		env.must(harness.Control(env.ctx, http.MethodPost, "http://"+env.sys.App.Direct+"/control/faults",
			apprunner.Fault{Kind: apprunner.FaultCrash}))
	}}
}
