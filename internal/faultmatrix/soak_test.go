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
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the soak")
	soakSeeds = flag.Uint64("soak.seeds", 2, "number of seeds of the soak")
)

// soakRegressions are seeds that once failed, each with a line on the cause.
var soakRegressions = []uint64{
	// A line within which a connection broke counted as a chunk out of order (the
	// harness's client); seen once in CI and in 1 of 8 runs beside load.
	2,
}

const (
	// soakFaults is the number of faults in one run; they come in series and overlap.
	soakFaults = 10
	// Faults last and follow each other for at most these times. They are what a run is
	// made of; no verdict waits for a time.
	soakLongest, soakGap = 1500 * time.Millisecond, 700 * time.Millisecond
	// soakCallers send streams and reservations for as long as the faults last.
	soakCallers = 4
)

// TestSoak runs real processes under faults drawn from a seed, and checks what callers
// and targets saw. By hand: go test ./internal/faultmatrix -run TestSoak -soak.first 100
// -soak.seeds 50.
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
			w := newWorld(t)
			s := &soak{world: w, rnd: rand.New(rand.NewPCG(seed, 0))}
			s.run()
		})
	}
}

type soak struct {
	*world
	rnd *rand.Rand
	// ends are the ends of the faults under way.
	ends sync.WaitGroup
	// lostRouter and lostEngine say that one was killed or stopped for good.
	lostRouter, lostEngine bool
}

func (s *soak) run() {
	ctx, stop := context.WithCancel(s.ctx)
	var callers sync.WaitGroup
	var keys sync.Map
	for i := range soakCallers {
		callers.Go(func() { s.call(ctx, i, &keys) })
	}
	for range soakFaults {
		s.t.Logf("fault: %s", s.inject())
		s.pause(soakGap)
	}
	s.ends.Wait()
	s.outageOf(false) // two that overlap may end in the wrong order
	stop()
	callers.Wait()
	s.heal()
	s.probe()
	// The callers repeat their keys once it is known what ran.
	s.noteEffects()
	keys.Range(func(key, _ any) bool {
		s.reserve(s.ctx, s.otherRouter(), key.(string))
		return true
	})
	s.finish()
}

// call sends requests to the routers in turn until the context ends. A caller does not
// choose a live one.
func (s *soak) call(ctx context.Context, i int, keys *sync.Map) {
	accounts := []string{harness.AccountOne, harness.AccountTwo}
	for n := i; ctx.Err() == nil; n++ {
		r := s.sys.Routers[n%len(s.sys.Routers)]
		if n%3 == 0 {
			key := newKey()
			keys.Store(key, true)
			s.reserve(ctx, r, key)
			continue
		}
		s.ask(ctx, r, accounts[i%len(accounts)], s.prompt(), tokens, false, nil)()
	}
}

func (s *soak) pause(longest time.Duration) { time.Sleep(s.duration(longest)) }

func (s *soak) duration(longest time.Duration) time.Duration {
	return time.Duration(s.rnd.Float64() * float64(longest))
}

// inject begins one fault and returns what it is. Its end comes by itself.
func (s *soak) inject() string {
	name, process, link := s.subject()
	during := func(begin, end func()) {
		d := s.duration(soakLongest)
		begin()
		s.ends.Go(func() { time.Sleep(d); end() })
	}
	switch kind := s.rnd.IntN(9); kind {
	case 0:
		during(process.Freeze, process.Resume)
		return "freeze " + name
	case 1:
		during(func() { link.Cut(harness.ToClient) }, link.Heal)
		return "cut one way " + name
	case 2:
		during(func() { link.Cut(harness.ToClient, harness.ToServer) }, link.Heal)
		return "cut both ways " + name
	case 3:
		during(link.Silence, link.Heal)
		return "silent connections " + name
	case 4:
		during(func() { link.Slow(slowBy) }, link.Heal)
		return "slow " + name
	case 5:
		during(func() { s.outageOf(true) }, func() { s.outageOf(false) })
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

func (s *soak) outageOf(on bool) {
	if err := s.setOutage(on); err != nil {
		s.object("the outage of the platform was not set: " + err.Error())
	}
}

// subject draws a process and the link that leads to it.
func (s *soak) subject() (string, *harness.Process, *harness.Proxy) {
	if s.rnd.IntN(2) == 0 {
		r := s.liveRouters()[s.rnd.IntN(len(s.liveRouters()))]
		return r.Name, r.Process, r.Proxy
	}
	e := s.liveEngines()[s.rnd.IntN(len(s.liveEngines()))]
	return e.Name, e.Process, e.Proxy
}

// loseRouter kills or stops a router, one in each run.
func (s *soak) loseRouter() string {
	if s.lostRouter {
		return "nothing"
	}
	s.lostRouter = true
	r := s.liveRouters()[s.rnd.IntN(len(s.liveRouters()))]
	s.gone[r.Name] = true
	if s.rnd.IntN(2) == 0 {
		r.Kill()
		return "kill " + r.Name
	}
	r.Terminate()
	return "stop " + r.Name
}

// loseEngine kills an engine, one in each run.
func (s *soak) loseEngine() string {
	if s.lostEngine {
		return "nothing"
	}
	s.lostEngine = true
	e := s.liveEngines()[s.rnd.IntN(len(s.liveEngines()))]
	s.onEngine(e, harness.Hit{}).kill()
	return "kill " + e.Name
}
