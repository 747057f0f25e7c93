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
	longCompletionTokens = 400
)

// order changes the weights version of the engine pool. The fault acts on the first
// engine that receives an order, or on the router that holds the lease.
func order(where int) func(*testEnv, func(subject), fault) {
	return func(env *testEnv, inject func(subject), f fault) {
		newWeights := harness.InitialWeightsVersion + "-" + strconv.Itoa(len(env.observed.weights))
		env.observed.weights = append(env.observed.weights, newWeights)
		b := env.setBreakpoint(env.engineProxies(), "POST /v1/orders", harness.ToServer, "", "")
		_, err := env.sys.PutConfig(env.ctx, map[string]any{"/demo/pools/" + harness.Model: env.sys.EnginePool(newWeights)})
		env.must(err)
		hit := env.awaitHit("the order", b)
		ordered := env.engineAt(hit.Proxy)
		s := env.onEngine(ordered, hit)
		if where == onRouter {
			holder := env.leaseHolder()
			s = env.onRouter(holder, holder.Proxy, harness.Hit{})
		}
		inject(s)
		b.Release()
		env.await("the reachable engines have the new weights", func() bool {
			for _, e := range env.liveEngines() {
				if e != ordered && env.weightsOf(e) != newWeights {
					return false
				}
			}
			return true
		})
		env.startCompletion(env.ctx, env.reachableRouter(s), harness.AccountOne, env.prompt(), completionTokens, true, nil)()
		env.heal()
		env.await("all live engines have the new weights", func() bool {
			for _, e := range env.liveEngines() {
				if env.weightsOf(e) != newWeights {
					return false
				}
			}
			return true
		})
	}
}

func (env *testEnv) weightsOf(e *harness.Standin) string {
	var state port.EngineState
	if harness.GetJSON(env.ctx, "http://"+e.Direct+"/v1/state", &state) != nil {
		return ""
	}
	return state.WeightsVersion
}

// reachableRouter returns a live router that the fault does not act on.
func (env *testEnv) reachableRouter(s subject) *harness.Router {
	for _, r := range env.liveRouters() {
		if r.Process != s.process {
			return r
		}
	}
	env.t.Fatal("no live router is left")
	return nil
}

// leaseHolder returns the router that holds the lease for orders.
func (env *testEnv) leaseHolder() *harness.Router {
	var response struct {
		Records []struct {
			Offset port.Offset `json:"offset"`
			Data   []byte      `json:"data"`
		} `json:"records"`
	}
	env.must(harness.GetJSON(env.ctx, "http://"+env.sys.Log.Direct+"/v1/streams/"+port.StreamOrders+"/records?from=1&limit=10000", &response))
	var leaseState lease.State
	for _, r := range response.Records {
		leaseState.Apply(port.Record{Offset: r.Offset, Data: r.Data})
	}
	current, _ := leaseState.Current()
	for _, r := range env.sys.Routers {
		if strings.HasPrefix(current.Holder, r.Name+"/") {
			return r
		}
	}
	env.t.Fatal("no router holds the lease")
	return nil
}

// plannedStop terminates a router that is relaying a stream.
func plannedStop(inDrain bool, where int) func(*testEnv, func(subject), fault) {
	return func(env *testEnv, inject func(subject), f fault) {
		router := env.liveRouters()[0]
		poisoned := f.name == "crash on one request"
		prompt := env.prompt()
		if poisoned {
			prompt += poison
		}
		b := env.setBreakpoint(env.engineProxies(), "POST /v1/completions", midStream.direction, midStream.pattern, uniqueSuffix(prompt))
		ctx, cancel := context.WithCancel(env.ctx)
		defer cancel()
		awaitResponse := env.startCompletion(ctx, router, harness.AccountOne, prompt, longCompletionTokens, !poisoned && where == onTarget, nil)
		hit := env.awaitHit("the engine's stream", b)
		s := env.onEngine(env.engineAt(hit.Proxy), hit)
		if where == onRouter {
			s = env.onRouter(router, router.Proxy, harness.Hit{})
		}
		router.Terminate()
		if inDrain {
			env.await("the router is unready", func() bool {
				return harness.GetJSON(env.ctx, router.AdminURL+"/readyz", nil) != nil
			})
		}
		inject(s)
		b.Release()
		if s.callerBlocks && f.unresponsive {
			cancel()
		}
		awaitResponse()
		killed := env.stopped[router.Name]
		env.stopped[router.Name] = true
		env.startCompletion(env.ctx, env.otherRouter(), harness.AccountOne, prompt, completionTokens, !poisoned, nil)()
		env.heal()
		env.await("the stopped router exits", func() bool { return !router.Running() })
		if !killed && !router.Succeeded() {
			env.recordFailure("the stopped router did not exit successfully: " + router.Tail())
		}
	}
}

// finish heals all faults, sends requests through every live router, changes the
// configuration, marks an engine as leaving and checks the invariants.
func (env *testEnv) finish() {
	env.awaitRecovery()
	env.markEngineLeaving()
	env.collect()
}

// awaitRecovery heals all faults and waits until all live routers serve again.
func (env *testEnv) awaitRecovery() {
	env.heal()
	env.probe()
	env.awaitConfig()
}

// probe checks that every live router serves again: completions of both accounts are
// complete, and a new reservation returns its outcome.
func (env *testEnv) probe() {
	prompt := env.prompt()
	for _, r := range env.liveRouters() {
		for _, account := range []string{harness.AccountOne, harness.AccountTwo} {
			env.startCompletion(env.ctx, r, account, prompt, 5, true, nil)()
		}
		env.newReservation(r)
		if resp := harness.Call(env.ctx, r.Proxy.Address(), harness.APIKey(harness.AccountOne), http.MethodGet, "/svc/lookup/routes/17", "", ""); resp.Status != http.StatusOK {
			env.recordFailure("lookup through " + r.Name + " failed after the fault: " + resp.Body)
		}
	}
}

// newReservation retries a new key until its outcome is known: a router that has not
// caught up with the log after an outage may refuse it.
func (env *testEnv) newReservation(r *harness.Router) {
	key := newKey()
	var resp harness.Response
	if harness.Poll(env.ctx, waitTimeout, func() bool {
		resp = env.reserve(env.ctx, r, key)
		return resp.Err == nil && resp.Status == http.StatusOK
	}) != nil {
		text, _ := json.Marshal(resp)
		env.recordFailure("new reservation through " + r.Name + " failed after the fault: " + string(text))
	}
}

func (env *testEnv) awaitConfig() {
	_, err := env.putMarker()
	env.must(err)
	var live []string
	for _, r := range env.liveRouters() {
		// checkConfig reports a router that does not reach the final value.
		_ = harness.Poll(env.ctx, waitTimeout, func() bool {
			env.mu.Lock()
			defer env.mu.Unlock()
			states := env.observed.config[r.Name]
			return len(states) > 0 && states[len(states)-1].value == env.observed.finalValue
		})
		live = append(live, r.Name)
	}
	env.observed.live = live
}

// markEngineLeaving marks an engine as leaving and sends requests once all live
// routers report it as leaving.
func (env *testEnv) markEngineLeaving() {
	leaving := env.probeEngine()
	env.must(env.sys.MarkLeaving(env.ctx, leaving))
	for _, r := range env.liveRouters() {
		env.await(r.Name+" reports that "+leaving.Name+" is leaving", func() bool {
			status, err := r.Status(env.ctx)
			for _, t := range status.Targets {
				if err == nil && t.Name == leaving.Name {
					return t.Leaving
				}
			}
			return false
		})
	}
	before := len(env.runsOf(leaving))
	for _, r := range env.liveRouters() {
		env.startCompletion(env.ctx, r, harness.AccountOne, env.prompt(), 5, true, nil)()
	}
	for _, run := range env.runsOf(leaving)[before:] {
		env.observed.leavingRuns = append(env.observed.leavingRuns, run.RequestID)
	}
}

// collect reads what the targets executed and checks the invariants.
func (env *testEnv) collect() {
	env.observed.runs = slices.Clone(env.killedRuns)
	env.observed.orders = map[string][]uint64{}
	for _, e := range env.liveEngines() {
		env.observed.runs = append(env.observed.runs, env.runsOf(e)...)
		var response struct {
			Orders []port.Order `json:"orders"`
		}
		env.must(harness.GetJSON(env.ctx, "http://"+e.Direct+"/control/orders", &response))
		for _, o := range response.Orders {
			env.observed.orders[e.Name] = append(env.observed.orders[e.Name], uint64(o.FencingToken))
		}
	}
	env.observed.effects = env.effects()
	env.observed.unexpectedExits = env.sys.UnexpectedExits()
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, i := range invariants {
		for _, violation := range i.check(&env.observed) {
			env.t.Errorf("%s: %s", i.name, violation)
		}
	}
}
