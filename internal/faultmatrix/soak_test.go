package faultmatrix

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"mimosaseam.example/mimosaseam/internal/harness"
)

var (
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the soak test")
	soakSeeds = flag.Uint64("soak.seeds", 2, "number of seeds of the soak test")
)

// soakRegressions lists seeds that once failed, each with its cause.
var soakRegressions = []uint64{
	// The harness's client reported a line truncated by a broken connection as a chunk
	// out of order. Occurred once in CI and in 1 of 8 runs under load.
	2,
	// A caller that canceled between [DONE] and the end of the response counted as one
	// that got a short text. Occurred once under load.
	2347,
}

const (
	// soakFaults is the number of faults in one run. They start one after another and
	// may overlap.
	soakFaults = 10
	// These bound the duration of a fault and the pause before the next one. They shape
	// the load of a run; no check depends on them.
	soakMaxDuration, soakMaxPause = 1500 * time.Millisecond, 700 * time.Millisecond
	// soakCallers is the number of callers that send streams and reservations while
	// faults are injected.
	soakCallers = 4
)

// TestSoak runs real processes under faults drawn from a seed, and checks what callers
// and targets observed. To run other seeds:
// go test ./internal/faultmatrix -run TestSoak -soak.first 100 -soak.seeds 50
func TestSoak(t *testing.T) {
	seeds := slices.Clone(soakRegressions)
	for i := range *soakSeeds {
		if seed := *soakFirst + i; !slices.Contains(seeds, seed) {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			s := &soak{testEnv: env, rnd: rand.New(rand.NewPCG(seed, 0))}
			s.run()
		})
	}
}

type soak struct {
	*testEnv
	rnd *rand.Rand
	// activeFaults counts the faults that have not ended.
	activeFaults sync.WaitGroup
	// lostRouter and lostEngine are set once one was permanently killed or stopped.
	lostRouter, lostEngine bool
}

func (s *soak) run() {
	ctx, stop := context.WithCancel(s.ctx)
	var callers sync.WaitGroup
	var keys sync.Map
	for i := range soakCallers {
		callers.Go(func() { s.runCaller(ctx, i, &keys) })
	}
	for range soakFaults {
		s.t.Logf("fault: %s", s.inject())
		s.pause(soakMaxPause)
	}
	s.activeFaults.Wait()
	s.trySetOutage(false) // overlapping outages may end in either order and leave one set
	stop()
	callers.Wait()
	s.heal()
	s.probe()
	// The callers retry their keys after the effects are recorded.
	s.recordEffects()
	keys.Range(func(key, _ any) bool {
		s.reserve(s.ctx, s.otherRouter(), key.(string))
		return true
	})
	s.finish()
}

// runCaller sends requests to the routers in round-robin order until the context ends.
// A caller does not avoid routers that are down.
func (s *soak) runCaller(ctx context.Context, i int, keys *sync.Map) {
	accounts := []string{harness.AccountOne, harness.AccountTwo}
	for n := i; ctx.Err() == nil; n++ {
		r := s.sys.Routers[n%len(s.sys.Routers)]
		if n%3 == 0 {
			key := newKey()
			keys.Store(key, true)
			s.reserve(ctx, r, key)
			continue
		}
		s.startCompletion(ctx, r, accounts[i%len(accounts)], s.prompt(), completionTokens, false, nil)()
	}
}

func (s *soak) pause(limit time.Duration) { time.Sleep(s.duration(limit)) }

func (s *soak) duration(limit time.Duration) time.Duration {
	return time.Duration(s.rnd.Float64() * float64(limit))
}

// inject starts one fault and returns its description. Temporary faults end by
// themselves.
func (s *soak) inject() string {
	name, process, proxy := s.subject()
	during := func(begin, end func()) {
		d := s.duration(soakMaxDuration)
		begin()
		s.activeFaults.Go(func() { time.Sleep(d); end() })
	}
	switch kind := s.rnd.IntN(9); kind {
	case 0:
		during(process.Freeze, process.Resume)
		return "freeze " + name
	case 1:
		during(func() { proxy.Cut(harness.ToClient) }, proxy.Heal)
		return "cut one way " + name
	case 2:
		during(func() { proxy.Cut(harness.ToClient, harness.ToServer) }, proxy.Heal)
		return "cut both ways " + name
	case 3:
		during(proxy.Silence, proxy.Heal)
		return "silent connections " + name
	case 4:
		during(func() { proxy.Slow(slowReadDelay) }, proxy.Heal)
		return "slow " + name
	case 5:
		during(func() { s.trySetOutage(true) }, func() { s.trySetOutage(false) })
		return "platform outage"
	case 6:
		_, err := s.putMarker()
		return fmt.Sprint("configuration change, error ", err)
	case 7:
		return s.loseRouter()
	default:
		return s.loseEngine()
	}
}

func (s *soak) trySetOutage(on bool) {
	if err := s.setOutage(on); err != nil {
		s.recordFailure("setting the platform outage failed: " + err.Error())
	}
}

// subject draws a process and the proxy in front of it.
func (s *soak) subject() (string, *harness.Process, *harness.Proxy) {
	if s.rnd.IntN(2) == 0 {
		r := s.liveRouters()[s.rnd.IntN(len(s.liveRouters()))]
		return r.Name, r.Process, r.Proxy
	}
	e := s.liveEngines()[s.rnd.IntN(len(s.liveEngines()))]
	return e.Name, e.Process, e.Proxy
}

// loseRouter kills or stops a router, at most one in each run.
func (s *soak) loseRouter() string {
	if s.lostRouter {
		return "nothing"
	}
	s.lostRouter = true
	r := s.liveRouters()[s.rnd.IntN(len(s.liveRouters()))]
	s.stopped[r.Name] = true
	if s.rnd.IntN(2) == 0 {
		r.Kill()
		return "kill " + r.Name
	}
	r.Terminate()
	return "stop " + r.Name
}

// loseEngine kills an engine, at most one in each run.
func (s *soak) loseEngine() string {
	if s.lostEngine {
		return "nothing"
	}
	s.lostEngine = true
	e := s.liveEngines()[s.rnd.IntN(len(s.liveEngines()))]
	s.onEngine(e, harness.Hit{}).kill()
	return "kill " + e.Name
}
