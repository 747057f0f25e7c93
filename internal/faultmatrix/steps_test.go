package faultmatrix

import (
	"context"
	"strings"
	"sync"

	"mimosaseam.example/mimosaseam/internal/harness"
)

const (
	onTarget = iota
	onRouter
)

// step is one point of one flow. run drives the flow to that point, injects the
// fault and completes the flow.
type step struct {
	name string
	run  func(*testEnv, func(subject), fault)
}

var steps = []step{
	{"completion, before placement", completion(nil, onTarget)},
	{"completion, before the first chunk", completion(beforeFirstChunk, onTarget)},
	{"completion, mid-way", completion(midStream, onTarget)},
	{"completion, before the terminal marker", completion(beforeTerminalMarker, onTarget)},
	{"completion, before placement, router", completion(nil, onRouter)},
	{"completion, before the first chunk, router", completion(beforeFirstChunk, onRouter)},
	{"completion, mid-way, router", completion(midStream, onRouter)},
	{"completion, before the terminal marker, router", completion(beforeTerminalMarker, onRouter)},
	{"reservation, before the intent append", reservation(logProxy, "POST /v1/streams/ledger", harness.ToServer, onTarget)},
	{"reservation, after the intent append", reservation(logProxy, "POST /v1/streams/ledger", harness.ToClient, onTarget)},
	{"reservation, after dispatch", reservation(appProxy, "POST /ducts", harness.ToServer, onTarget)},
	{"reservation, before the answer", reservation(appProxy, "POST /ducts", harness.ToClient, onTarget)},
	{"reservation, after dispatch, router", reservation(appProxy, "POST /ducts", harness.ToServer, onRouter)},
	{"reservation, before the answer, router", reservation(appProxy, "POST /ducts", harness.ToClient, onRouter)},
	{"configuration, before the append", configChange(operatorProxy, "POST /v1/streams/config", harness.ToServer, "")},
	{"configuration, after the append", configChange(operatorProxy, "POST /v1/streams/config", harness.ToClient, "")},
	{"configuration, before it is applied", configChange(followerProxy, "GET /v1/streams/config", harness.ToClient, `"offset":`)},
	{"order to an engine", order(onTarget)},
	{"order to an engine, router", order(onRouter)},
	{"planned stop, at the signal", plannedStop(false, onTarget)},
	{"planned stop, during the drain", plannedStop(true, onTarget)},
	{"planned stop, at the signal, router", plannedStop(false, onRouter)},
	{"planned stop, during the drain, router", plannedStop(true, onRouter)},
}

// notApplicable lists the cells that are skipped, by fault and a part of the step's
// name, with the reason.
var notApplicable = []struct{ fault, step, reason string }{
	{"crash on one request", "reservation", "only engines process prompts; the fault kill covers the crash of an application"},
	{"crash on one request", "configuration", "no target runs a configuration change"},
	{"crash on one request", "order", "an order carries no prompt; the fault kill covers the crash of an engine"},
	{"crash on one request", ", router", "the fault crashes the target, as in the step without the router"},
	{"platform outage", ", router", "the outage acts on the platform, as in the step without the router"},
	{"operator race", ", router", "the race acts on the log, as in the step without the router"},
}

func (env *testEnv) setBreakpoint(proxies []*harness.Proxy, request string, d harness.Direction, pattern, marker string) *harness.Breakpoint {
	b := harness.NewBreakpoint(request, d, pattern, marker)
	for _, p := range proxies {
		p.AddBreakpoint(b)
	}
	return b
}

func (env *testEnv) awaitHit(what string, b *harness.Breakpoint) harness.Hit {
	env.t.Helper()
	var hit harness.Hit
	env.await(what+" is held", func() bool {
		select {
		case hit = <-b.Hit():
			return true
		default:
			return false
		}
	})
	return hit
}

func (env *testEnv) engineProxies() []*harness.Proxy {
	var out []*harness.Proxy
	for _, e := range env.liveEngines() {
		out = append(out, e.Proxy)
	}
	return out
}

type point struct {
	direction harness.Direction
	pattern   string
}

var (
	beforeFirstChunk     = &point{harness.ToServer, ""}
	midStream            = &point{harness.ToClient, `{"index":30,`}
	beforeTerminalMarker = &point{harness.ToClient, `"finish_reason":"length"`}
)

// completion runs a streaming completion through the first live router.
func completion(at *point, where int) func(*testEnv, func(subject), fault) {
	return func(env *testEnv, inject func(subject), f fault) {
		router := env.liveRouters()[0]
		poisoned := f.name == "crash on one request"
		prompt := env.prompt()
		if poisoned {
			prompt += poison
		}
		subjectOf := func(hit harness.Hit) subject {
			if where == onRouter {
				return env.onRouter(router, router.Proxy, harness.Hit{})
			}
			if hit.Proxy == nil {
				return env.onEngine(env.probeEngine(), hit)
			}
			return env.onEngine(env.engineAt(hit.Proxy), hit)
		}
		ctx, cancel := context.WithCancel(env.ctx)
		defer cancel()
		mustComplete := !poisoned && where == onTarget
		// TestBystanderOnAnotherRouter covers a crashing request and a bystander on
		// different routers.
		bystanderRouter := env.otherRouter()
		if poisoned && !env.bystanderApart {
			bystanderRouter = router
		}
		bystander := sync.OnceValue(env.bystander(bystanderRouter))
		defer bystander()
		beforeRetry := func() {
			if poisoned && !env.bystanderApart {
				bystander()
			}
		}
		if at == nil {
			s := subjectOf(harness.Hit{})
			inject(s)
			awaitResponse := env.startCompletion(ctx, router, harness.AccountOne, prompt, completionTokens, mustComplete, nil)
			env.finishCompletion(s, f, cancel, awaitResponse, beforeRetry, prompt, poisoned)
			return
		}
		b := env.setBreakpoint(env.engineProxies(), "POST /v1/completions", at.direction, at.pattern, uniqueSuffix(prompt))
		awaitResponse := env.startCompletion(ctx, router, harness.AccountOne, prompt, completionTokens, mustComplete, nil)
		s := subjectOf(env.awaitHit("the engine's stream", b))
		inject(s)
		b.Release()
		env.finishCompletion(s, f, cancel, awaitResponse, beforeRetry, prompt, poisoned)
	}
}

// bystander starts a stream of the other account, which must be complete whatever
// happens to the request of the step.
func (env *testEnv) bystander(r *harness.Router) func() harness.Response {
	started, ended := make(chan struct{}), make(chan struct{})
	awaitResponse := env.startCompletion(env.ctx, r, harness.AccountTwo, env.prompt(), bystanderTokens, true, func(n int) {
		if n == 1 {
			close(started)
		}
	})
	var response harness.Response
	go func() {
		response = awaitResponse()
		close(ended)
	}()
	select {
	case <-started:
	case <-ended: // without a first chunk: the checks report it
	}
	return func() harness.Response {
		<-ended
		return response
	}
}

func (env *testEnv) finishCompletion(s subject, f fault, cancel func(), awaitResponse func() harness.Response, beforeRetry func(), prompt string, poisoned bool) {
	if s.callerBlocks && f.unresponsive {
		cancel()
	}
	awaitResponse()
	beforeRetry()
	// The load balancer sends the retry to another router.
	env.startCompletion(env.ctx, env.otherRouter(), harness.AccountOne, prompt, completionTokens, !poisoned, nil)()
}

func (env *testEnv) otherRouter() *harness.Router {
	live := env.liveRouters()
	return live[len(live)-1]
}

// probeEngine sends a request of the first account and returns the engine that ran it.
func (env *testEnv) probeEngine() *harness.Standin {
	prompt := env.prompt()
	env.startCompletion(env.ctx, env.liveRouters()[0], harness.AccountOne, prompt, 5, true, nil)()
	env.mu.Lock()
	id := env.observed.streams[len(env.observed.streams)-1].id
	env.mu.Unlock()
	for _, e := range env.liveEngines() {
		for _, r := range env.runsOf(e) {
			if r.RequestID == id {
				return e
			}
		}
	}
	env.t.Fatal("no engine ran the request")
	return nil
}

func logProxy(env *testEnv, r *harness.Router) *harness.Proxy      { return r.LogProxy }
func appProxy(env *testEnv, _ *harness.Router) *harness.Proxy      { return env.sys.App.Proxy }
func operatorProxy(env *testEnv, _ *harness.Router) *harness.Proxy { return env.sys.OperatorLogProxy }
func followerProxy(env *testEnv, r *harness.Router) *harness.Proxy { return r.LogProxy }

// reservation sends one key through the first live router and retries it through
// another, and after healing through every live router.
func reservation(proxy func(*testEnv, *harness.Router) *harness.Proxy, request string, d harness.Direction, where int) func(*testEnv, func(subject), fault) {
	return func(env *testEnv, inject func(subject), f fault) {
		router := env.liveRouters()[0]
		b := env.setBreakpoint([]*harness.Proxy{proxy(env, router)}, request, d, "", "")
		ctx, cancel := context.WithCancel(env.ctx)
		defer cancel()
		key, first := newKey(), make(chan harness.Response, 1)
		go func() { first <- env.reserve(ctx, router, key) }()
		hit := env.awaitHit(request, b)
		var s subject
		switch {
		case where == onRouter:
			s = env.onRouter(router, router.Proxy, harness.Hit{})
		case strings.Contains(request, "ledger"):
			s = env.onRouter(router, router.LogProxy, hit)
			s.callerBlocks = f.name == "freeze and resume"
		default:
			s = env.onApp(hit)
		}
		inject(s)
		b.Release()
		if s.callerBlocks && f.unresponsive {
			cancel()
		}
		resp := <-first
		if resp.Outcome == "not_run" {
			env.heal()
			env.recordEffects()
		}
		env.reserve(env.ctx, env.otherRouter(), key)
		env.heal()
		env.recordEffects()
		var retries sync.WaitGroup
		for _, r := range env.liveRouters() {
			retries.Go(func() { env.reserve(env.ctx, r, key) })
		}
		retries.Wait()
	}
}

// configChange publishes a change as an operator. The fault acts on the operator's
// command, or on a router that is about to apply the change.
func configChange(proxy func(*testEnv, *harness.Router) *harness.Proxy, request string, d harness.Direction, pattern string) func(*testEnv, func(subject), fault) {
	return func(env *testEnv, inject func(subject), f fault) {
		router := env.liveRouters()[0]
		held := proxy(env, router)
		b := env.setBreakpoint([]*harness.Proxy{held}, request, d, pattern, "")
		name, value := env.nextMarker()
		put, err := env.sys.StartPutConfig("put-"+name, value)
		env.must(err)
		hit := env.awaitHit("the change", b)
		s := subject{process: put, kill: put.Kill, proxy: held, hit: hit}
		if held == router.LogProxy {
			s = env.onRouter(router, held, hit)
		}
		inject(s)
		b.Release()
		if f.unresponsive || f.name == "platform outage" {
			// The change must come into force elsewhere without the faulty component, and
			// completions must not be affected.
			env.startCompletion(env.ctx, env.otherRouter(), harness.AccountOne, env.prompt(), completionTokens, true, nil)()
			env.heal()
		}
		env.await("the operator's command exits", func() bool { return !put.Running() })
		if put.Succeeded() {
			env.recordAccepted(name, put.Tail())
		}
	}
}
