package faultmatrix

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"mimosaseam.example/mimosaseam/internal/core/lease"
	"mimosaseam.example/mimosaseam/internal/harness"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	longAnswer = 400
)

// order changes the weights version of the engines' pool; the fault acts on
// the first engine ordered, or on the router that holds the lease.
func order(where int) func(*world, func(subject), fault) {
	return func(w *world, inject func(subject), f fault) {
		newWeights := harness.InitialWeightsVersion + "-" + strconv.Itoa(len(w.seen.weights))
		w.seen.weights = append(w.seen.weights, newWeights)
		b := w.arm(w.engineProxies(), "POST /v1/orders", harness.ToServer, "", "")
		_, err := w.sys.PutConfig(w.ctx, map[string]any{"/demo/pools/" + harness.Model: w.sys.EnginePool(newWeights)})
		w.must(err)
		hit := w.hit("the order", b)
		ordered := w.engineAt(hit.Proxy)
		s := w.onEngine(ordered, hit)
		if where == onRouter {
			holder := w.holder()
			s = w.onRouter(holder, holder.Proxy, harness.Hit{})
		}
		inject(s)
		b.Release()
		w.await("the engines that can be reached have the new weights", func() bool {
			for _, e := range w.liveEngines() {
				if e != ordered && w.weightsOf(e) != newWeights {
					return false
				}
			}
			return true
		})
		w.ask(w.ctx, w.reachableRouter(s), harness.AccountOne, w.prompt(), tokens, true, nil)()
		w.heal()
		w.await("all live engines have the new weights", func() bool {
			for _, e := range w.liveEngines() {
				if w.weightsOf(e) != newWeights {
					return false
				}
			}
			return true
		})
	}
}

func (w *world) weightsOf(e *harness.Standin) string {
	var state port.EngineState
	if harness.GetJSON(w.ctx, "http://"+e.Direct+"/v1/state", &state) != nil {
		return ""
	}
	return state.WeightsVersion
}

// reachableRouter is a live router that the fault does not act on.
func (w *world) reachableRouter(s subject) *harness.Router {
	for _, r := range w.liveRouters() {
		if r.Process != s.process {
			return r
		}
	}
	w.t.Fatal("no router is left")
	return nil
}

// holder is the router that holds the lease for orders.
func (w *world) holder() *harness.Router {
	var answer struct {
		Records []struct {
			Offset port.Offset `json:"offset"`
			Data   []byte      `json:"data"`
		} `json:"records"`
	}
	w.must(harness.GetJSON(w.ctx, "http://"+w.sys.Log.Direct+"/v1/streams/"+port.StreamOrders+"/records?from=1&limit=10000", &answer))
	var fold lease.State
	for _, r := range answer.Records {
		fold.Apply(port.Record{Offset: r.Offset, Data: r.Data})
	}
	current, _ := fold.Current()
	for _, r := range w.sys.Routers {
		if strings.HasPrefix(current.Holder, r.Name+"/") {
			return r
		}
	}
	w.t.Fatal("no router holds the lease")
	return nil
}

// plannedStop ends a router that relays a stream.
func plannedStop(inDrain bool, where int) func(*world, func(subject), fault) {
	return func(w *world, inject func(subject), f fault) {
		router := w.liveRouters()[0]
		poisoned := f.name == "crash on one request"
		prompt := w.prompt()
		if poisoned {
			prompt += poison
		}
		b := w.arm(w.engineProxies(), "POST /v1/completions", midWay.direction, midWay.pattern, question(prompt))
		ctx, giveUp := context.WithCancel(w.ctx)
		defer giveUp()
		answer := w.ask(ctx, router, harness.AccountOne, prompt, longAnswer, !poisoned && where == onTarget, nil)
		hit := w.hit("the engine's stream", b)
		s := w.onEngine(w.engineAt(hit.Proxy), hit)
		if where == onRouter {
			s = w.onRouter(router, router.Proxy, harness.Hit{})
		}
		router.Terminate()
		if inDrain {
			w.await("the router is unready", func() bool {
				return harness.GetJSON(w.ctx, router.AdminURL+"/readyz", nil) != nil
			})
		}
		inject(s)
		b.Release()
		if s.hangs && f.stops {
			giveUp()
		}
		answer()
		killed := w.gone[router.Name]
		w.gone[router.Name] = true
		w.ask(w.ctx, w.otherRouter(), harness.AccountOne, prompt, tokens, !poisoned, nil)()
		w.heal()
		w.await("the stopped router ends", func() bool { return !router.Running() })
		if !killed && !router.Succeeded() {
			w.object("the stopped router did not end with success: " + router.Tail())
		}
	}
}

// finish heals everything, sends work through every live router, changes the
// configuration, lets an engine leave, and collects what ran.
func (w *world) finish() {
	w.recover()
	w.leave()
	w.collect()
}

// recover heals everything and waits until all live routers work.
func (w *world) recover() {
	w.heal()
	w.probe()
	w.settleConfig()
}

// probe checks that every live router serves again: completions of both
// accounts end whole, and a new reservation is answered with its outcome.
func (w *world) probe() {
	prompt := w.prompt()
	for _, r := range w.liveRouters() {
		for _, account := range []string{harness.AccountOne, harness.AccountTwo} {
			w.ask(w.ctx, r, account, prompt, 5, true, nil)()
		}
		w.newReservation(r)
		if a := harness.Call(w.ctx, r.Proxy.Address(), harness.APIKey(harness.AccountOne), http.MethodGet, "/svc/lookup/routes/17", "", ""); a.Status != http.StatusOK {
			w.object("a lookup through " + r.Name + " after the fault: " + a.Body)
		}
	}
}

// newReservation repeats a new key until its outcome is known: a router that
// has not caught up with the log after an outage may refuse it.
func (w *world) newReservation(r *harness.Router) {
	key := newKey()
	var a harness.Response
	if harness.Poll(w.ctx, waitTimeout, func() bool {
		a = w.reserve(w.ctx, r, key)
		return a.Err == nil && a.Status == http.StatusOK
	}) != nil {
		text, _ := json.Marshal(a)
		w.object("a new reservation through " + r.Name + " after the fault: " + string(text))
	}
}

func (w *world) settleConfig() {
	_, err := w.putMarker()
	w.must(err)
	var live []string
	for _, r := range w.liveRouters() {
		// A router that never gets there is reported by the check.
		_ = harness.Poll(w.ctx, waitTimeout, func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			states := w.seen.config[r.Name]
			return len(states) > 0 && states[len(states)-1].value == w.seen.finalValue
		})
		live = append(live, r.Name)
	}
	w.seen.live = live
}

// leave marks an engine as leaving and sends work once all routers know.
func (w *world) leave() {
	leaving := w.homeEngine()
	w.must(w.sys.MarkLeaving(w.ctx, leaving))
	for _, r := range w.liveRouters() {
		w.await(r.Name+" knows that "+leaving.Name+" leaves", func() bool {
			status, err := r.Status(w.ctx)
			for _, t := range status.Targets {
				if err == nil && t.Name == leaving.Name {
					return t.Leaving
				}
			}
			return false
		})
	}
	before := len(w.runsOf(leaving))
	for _, r := range w.liveRouters() {
		w.ask(w.ctx, r, harness.AccountOne, w.prompt(), 5, true, nil)()
	}
	for _, run := range w.runsOf(leaving)[before:] {
		w.seen.leavingRuns = append(w.seen.leavingRuns, run.RequestID)
	}
}

// collect reads what the targets ran and checks the invariants.
func (w *world) collect() {
	w.seen.runs = slices.Clone(w.lostRuns)
	w.seen.orders = map[string][]uint64{}
	for _, e := range w.liveEngines() {
		w.seen.runs = append(w.seen.runs, w.runsOf(e)...)
		var answer struct {
			Orders []port.Order `json:"orders"`
		}
		w.must(harness.GetJSON(w.ctx, "http://"+e.Direct+"/control/orders", &answer))
		for _, o := range answer.Orders {
			w.seen.orders[e.Name] = append(w.seen.orders[e.Name], uint64(o.Fencing))
		}
	}
	w.seen.effects = w.effects()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range invariants {
		for _, objection := range i.check(&w.seen) {
			w.t.Errorf("%s: %s", i.name, objection)
		}
	}
}
