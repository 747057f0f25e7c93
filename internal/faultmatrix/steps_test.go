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

// step is one moment of one flow; run lets the flow reach it, injects the
// fault and sees the flow to its end.
type step struct {
	name string
	run  func(*world, func(subject), fault)
}

var steps = []step{
	{"completion, before placement", completion(nil, onTarget)},
	{"completion, before the first chunk", completion(beforeFirstChunk, onTarget)},
	{"completion, mid-way", completion(midWay, onTarget)},
	{"completion, before the terminal marker", completion(beforeMarker, onTarget)},
	{"completion, before placement, router", completion(nil, onRouter)},
	{"completion, before the first chunk, router", completion(beforeFirstChunk, onRouter)},
	{"completion, mid-way, router", completion(midWay, onRouter)},
	{"completion, before the terminal marker, router", completion(beforeMarker, onRouter)},
	{"reservation, before the intent append", reservation(logLink, "POST /v1/streams/ledger", harness.ToServer, onTarget)},
	{"reservation, after the intent append", reservation(logLink, "POST /v1/streams/ledger", harness.ToClient, onTarget)},
	{"reservation, after dispatch", reservation(appLink, "POST /ducts", harness.ToServer, onTarget)},
	{"reservation, before the answer", reservation(appLink, "POST /ducts", harness.ToClient, onTarget)},
	{"reservation, after dispatch, router", reservation(appLink, "POST /ducts", harness.ToServer, onRouter)},
	{"reservation, before the answer, router", reservation(appLink, "POST /ducts", harness.ToClient, onRouter)},
	{"configuration, before the append", configChange(operatorLink, "POST /v1/streams/config", harness.ToServer, "")},
	{"configuration, after the append", configChange(operatorLink, "POST /v1/streams/config", harness.ToClient, "")},
	{"configuration, before it is applied", configChange(followerLink, "GET /v1/streams/config", harness.ToClient, `"offset":`)},
	{"order to an engine", order(onTarget)},
	{"order to an engine, router", order(onRouter)},
	{"planned stop, at the signal", plannedStop(false, onTarget)},
	{"planned stop, during the drain", plannedStop(true, onTarget)},
	{"planned stop, at the signal, router", plannedStop(false, onRouter)},
	{"planned stop, during the drain, router", plannedStop(true, onRouter)},
}

// notApplicable names the cells that make no sense: by fault, a part of the
// step's name and the reason.
var notApplicable = []struct{ fault, step, reason string }{
	{"crash on one request", "reservation", "only engines compute on a prompt; the crash of an application is the fault kill"},
	{"crash on one request", "configuration", "no target runs a configuration change"},
	{"crash on one request", "order", "an order carries no prompt; the crash of an engine is the fault kill"},
	{"crash on one request", ", router", "the crash is of the target, as in the step without the router"},
	{"platform outage", ", router", "the outage acts on the platform, as in the step without the router"},
	{"operator race", ", router", "the race acts on the log, as in the step without the router"},
}

func (w *world) arm(proxies []*harness.Proxy, request string, d harness.Direction, pattern, marker string) *harness.Breakpoint {
	b := harness.NewBreakpoint(request, d, pattern, marker)
	for _, p := range proxies {
		p.AddBreakpoint(b)
	}
	return b
}

func (w *world) hit(what string, b *harness.Breakpoint) harness.Hit {
	w.t.Helper()
	var hit harness.Hit
	w.await(what+" is held", func() bool {
		select {
		case hit = <-b.Hit():
			return true
		default:
			return false
		}
	})
	return hit
}

func (w *world) engineProxies() []*harness.Proxy {
	var out []*harness.Proxy
	for _, e := range w.liveEngines() {
		out = append(out, e.Proxy)
	}
	return out
}

type point struct {
	direction harness.Direction
	pattern   string
}

var (
	beforeFirstChunk = &point{harness.ToServer, ""}
	midWay           = &point{harness.ToClient, `{"index":30,`}
	beforeMarker     = &point{harness.ToClient, `"finish_reason":"length"`}
)

// completion runs a streamed completion through the first live router.
func completion(at *point, where int) func(*world, func(subject), fault) {
	return func(w *world, inject func(subject), f fault) {
		router := w.liveRouters()[0]
		poisoned := f.name == "crash on one request"
		prompt := w.prompt()
		if poisoned {
			prompt += poison
		}
		subjectOf := func(hit harness.Hit) subject {
			if where == onRouter {
				return w.onRouter(router, router.Proxy, harness.Hit{})
			}
			if hit.Proxy == nil {
				return w.onEngine(w.homeEngine(), hit)
			}
			return w.onEngine(w.engineAt(hit.Proxy), hit)
		}
		ctx, giveUp := context.WithCancel(w.ctx)
		defer giveUp()
		mustBeWhole := !poisoned && where == onTarget
		// A crashing request that meets the bystander through another router has a
		// test of its own.
		by := w.otherRouter()
		if poisoned && !w.apart {
			by = router
		}
		bystander := sync.OnceValue(w.bystander(by))
		defer bystander()
		beforeRepeat := func() {
			if poisoned && !w.apart {
				bystander()
			}
		}
		if at == nil {
			s := subjectOf(harness.Hit{})
			inject(s)
			answer := w.ask(ctx, router, harness.AccountOne, prompt, tokens, mustBeWhole, nil)
			w.finishCompletion(s, f, giveUp, answer, beforeRepeat, prompt, poisoned)
			return
		}
		b := w.arm(w.engineProxies(), "POST /v1/completions", at.direction, at.pattern, question(prompt))
		answer := w.ask(ctx, router, harness.AccountOne, prompt, tokens, mustBeWhole, nil)
		s := subjectOf(w.hit("the engine's stream", b))
		inject(s)
		b.Release()
		w.finishCompletion(s, f, giveUp, answer, beforeRepeat, prompt, poisoned)
	}
}

// bystander starts a stream of the other account; it must arrive whole whatever
// happens to the request of the step.
func (w *world) bystander(r *harness.Router) func() harness.Response {
	begun := make(chan struct{})
	answer := w.ask(w.ctx, r, harness.AccountTwo, w.prompt(), bystanderTokens, true, func(n int) {
		if n == 1 {
			close(begun)
		}
	})
	<-begun
	return answer
}

func (w *world) finishCompletion(s subject, f fault, giveUp func(), answer func() harness.Response, beforeRepeat func(), prompt string, poisoned bool) {
	if s.hangs && f.stops {
		giveUp()
	}
	answer()
	beforeRepeat()
	// The load balancer sends the repeat to another router.
	w.ask(w.ctx, w.otherRouter(), harness.AccountOne, prompt, tokens, !poisoned, nil)()
}

func (w *world) otherRouter() *harness.Router { live := w.liveRouters(); return live[len(live)-1] }

// homeEngine is the engine that ran the last request of the first account.
func (w *world) homeEngine() *harness.Standin {
	prompt := w.prompt()
	w.ask(w.ctx, w.liveRouters()[0], harness.AccountOne, prompt, 5, true, nil)()
	w.mu.Lock()
	id := w.seen.streams[len(w.seen.streams)-1].id
	w.mu.Unlock()
	for _, e := range w.liveEngines() {
		for _, r := range w.runsOf(e) {
			if r.RequestID == id {
				return e
			}
		}
	}
	w.t.Fatal("no engine ran the request")
	return nil
}

func logLink(w *world, r *harness.Router) *harness.Proxy      { return r.LogProxy }
func appLink(w *world, _ *harness.Router) *harness.Proxy      { return w.sys.App.Proxy }
func operatorLink(w *world, _ *harness.Router) *harness.Proxy { return w.sys.OperatorLogProxy }
func followerLink(w *world, r *harness.Router) *harness.Proxy { return r.LogProxy }

// reservation sends one key through the first live router, and again through
// another until the outcome is known or stays open.
func reservation(link func(*world, *harness.Router) *harness.Proxy, request string, d harness.Direction, where int) func(*world, func(subject), fault) {
	return func(w *world, inject func(subject), f fault) {
		router := w.liveRouters()[0]
		b := w.arm([]*harness.Proxy{link(w, router)}, request, d, "", "")
		ctx, giveUp := context.WithCancel(w.ctx)
		defer giveUp()
		key, first := newKey(), make(chan harness.Response, 1)
		go func() { first <- w.reserve(ctx, router, key) }()
		hit := w.hit(request, b)
		var s subject
		switch {
		case where == onRouter:
			s = w.onRouter(router, router.Proxy, harness.Hit{})
		case strings.Contains(request, "ledger"):
			s = w.onRouter(router, router.LogProxy, hit)
			s.hangs = f.name == "freeze and resume"
		default:
			s = w.onApp(hit)
		}
		inject(s)
		b.Release()
		if s.hangs && f.stops {
			giveUp()
		}
		a := <-first
		if a.Outcome == "not_run" {
			w.heal()
			w.noteEffects()
		}
		w.reserve(w.ctx, w.otherRouter(), key)
		w.heal()
		w.noteEffects()
		var repeats sync.WaitGroup
		for _, r := range w.liveRouters() {
			repeats.Go(func() { w.reserve(w.ctx, r, key) })
		}
		repeats.Wait()
	}
}

// configChange publishes a change as an operator; the fault acts on the
// operator's command, or on a router that is about to apply the change.
func configChange(link func(*world, *harness.Router) *harness.Proxy, request string, d harness.Direction, pattern string) func(*world, func(subject), fault) {
	return func(w *world, inject func(subject), f fault) {
		router := w.liveRouters()[0]
		held := link(w, router)
		b := w.arm([]*harness.Proxy{held}, request, d, pattern, "")
		name, value := w.marker()
		put, err := w.sys.StartPutConfig("put-"+name, value)
		w.must(err)
		hit := w.hit("the change", b)
		s := subject{process: put, kill: put.Kill, link: held, hit: hit}
		if held == router.LogProxy {
			s = w.onRouter(router, held, hit)
		}
		inject(s)
		b.Release()
		if f.stops || f.name == "platform outage" {
			// The change must not need the faulty part to be in force elsewhere, nor
			// may completions suffer.
			w.ask(w.ctx, w.otherRouter(), harness.AccountOne, w.prompt(), tokens, true, nil)()
			w.heal()
		}
		w.await("the operator's command ends", func() bool { return !put.Running() })
		if put.Succeeded() {
			w.accept(name, put.Tail())
		}
	}
}
