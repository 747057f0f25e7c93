package atmostonce

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/portfake"
)

const (
	planRouters = 3
	planLength  = 40 * time.Second
)

// planCall is one request of a plan.
type planCall struct {
	key, router        int
	at, timeout, delay time.Duration
	target             string // behaviour of the target
	first              bool
}

// planFault is one fault of a plan; it ends after length.
type planFault struct {
	kind       string
	router     int
	at, length time.Duration
}

type plan struct {
	dedupe bool
	calls  []planCall
	faults []planFault
}

func drawPlan(t *rapid.T) plan {
	ms := func(most int, label string) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
	}
	// The time span varies so that some plans have many calls in flight.
	span := rapid.SampledFrom([]int{200, 5000, int(planLength.Milliseconds())}).Draw(t, "span")
	p := plan{dedupe: rapid.IntRange(0, 3).Draw(t, "dedupe") == 0}
	earliest := map[int]int{}
	for i := range rapid.IntRange(1, 8).Draw(t, "calls") {
		c := planCall{
			key: rapid.IntRange(0, 1).Draw(t, "key"), router: rapid.IntRange(0, planRouters-1).Draw(t, "router"),
			at: ms(span, "at"), timeout: 500*time.Millisecond + ms(15000, "timeout"), delay: ms(3000, "delay"),
			target: rapid.SampledFrom([]string{"ok", "ok", "not run", "crash before", "crash after"}).Draw(t, "target"),
		}
		if e, ok := earliest[c.key]; !ok || c.at < p.calls[e].at {
			earliest[c.key] = i
		}
		p.calls = append(p.calls, c)
	}
	for _, i := range earliest {
		p.calls[i].first = rapid.Bool().Draw(t, "first")
	}
	for range rapid.IntRange(0, 5).Draw(t, "faults") {
		p.faults = append(p.faults, planFault{
			kind: rapid.SampledFrom([]string{"outage", "lose after", "lose before", "slow", "jump", "pause", "pause", "stop"}).
				Draw(t, "fault"),
			router: rapid.IntRange(0, planRouters-1).Draw(t, "router"), at: ms(span, "at"), length: ms(12000, "length"),
		})
	}
	return p
}

// planRun is one execution of a plan.
type planRun struct {
	plan
	w       *cluster
	routers []*router

	mu       sync.Mutex
	failures []string
	bodies   map[string]map[string]bool
	notRun   []int // calls that returned "not run"
}

func (p *planRun) failf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = append(p.failures, fmt.Sprintf(format, args...))
}

func (p *planRun) call(i int) {
	c := p.calls[i]
	<-time.After(c.at)
	r := p.routers[c.router]
	req := request(fmt.Sprint("k", c.key))
	req.First, req.Resendable = c.first, p.dedupe
	req.Deadline = r.Now().Add(c.timeout)
	out, err := r.Run(p.w.ctx, req, func(context.Context, string) (Outcome, error) {
		r.passStep(onDispatch)
		if p.w.ctx.Err() != nil || c.target == "crash before" {
			return Outcome{}, &port.UnknownOutcomeError{Peer: "target"}
		}
		if c.target == "not run" {
			return Outcome{}, &port.NotRunError{Target: "t"}
		}
		out := p.w.target.effect(req.Key.Value, fmt.Sprint(i))
		<-time.After(c.delay)
		r.passStep(afterEffect)
		if c.target == "crash after" {
			return Outcome{}, &port.UnknownOutcomeError{Peer: "target"}
		}
		return out, nil
	})
	p.recordResult(i, req.Key.Value, out, err)
}

func (p *planRun) recordResult(i int, key string, out Outcome, err error) {
	switch k := resultKind(out, err); k {
	case "ok", "replay":
		p.mu.Lock()
		if p.bodies[key] == nil {
			p.bodies[key] = map[string]bool{}
		}
		p.bodies[key][string(out.Body)] = true
		p.mu.Unlock()
	case "not run":
		p.mu.Lock()
		p.notRun = append(p.notRun, i)
		p.mu.Unlock()
	case "may have run":
	default:
		p.failf("call %d: unexpected result %q", i, k)
	}
}

func (p *planRun) fault(f planFault) {
	<-time.After(f.at)
	r := p.routers[f.router]
	heal := func() { p.w.log.SetFaults(portfake.Faults{}) }
	switch f.kind {
	case "outage":
		p.w.log.SetFaults(portfake.Faults{Outage: true})
	case "lose after":
		p.w.log.SetFaults(portfake.Faults{LoseAfterEffect: 2})
	case "lose before":
		p.w.log.SetFaults(portfake.Faults{LoseBeforeEffect: 2})
	case "slow":
		p.w.log.SetFaults(portfake.Faults{DelayMS: 700})
	case "jump":
		r.advanceClock(f.length)
		return
	case "pause":
		heal = r.pause()
	case "stop":
		r.pause() // never resumes
		return
	}
	<-time.After(f.length)
	heal()
}

// check compares the results with the runs at the target.
func (p *planRun) check() {
	for key := range 2 {
		name := fmt.Sprint("k", key)
		if n := p.w.target.count(name); n > 1 {
			p.failf("%s ran %d times", name, n)
		}
		if n := len(p.bodies[name]); n > 1 {
			p.failf("%s has %d different outcomes", name, n)
		}
	}
	for _, i := range p.notRun {
		for _, run := range p.w.target.runs {
			for j, c := range p.calls {
				earlier := c.key == p.calls[i].key && c.at < p.calls[i].at
				if run.sender == fmt.Sprint(j) && (j == i || earlier) {
					p.failf("call %d returned not run, but call %d ran", i, j)
				}
			}
		}
	}
}

// execute runs the plan and, after all faults have ended, repeats each key
// through a newly started router.
func execute(t *testing.T, p plan) []string {
	e := &planRun{plan: p, bodies: map[string]map[string]bool{}}
	inCluster(t, func(t *testing.T, w *cluster) {
		e.w = w
		w.target.dedupe = p.dedupe
		for i := range planRouters {
			e.routers = append(e.routers, w.router(fmt.Sprint("r", i)))
		}
		var wg sync.WaitGroup
		for i := range p.calls {
			go e.call(i)
		}
		for _, f := range p.faults {
			wg.Go(func() { e.fault(f) })
		}
		<-time.After(planLength + time.Minute)
		wg.Wait()
		w.log.SetFaults(portfake.Faults{})
		<-time.After(time.Minute)
		fresh := w.router("fresh")
		for key := range 2 {
			out, err := fresh.send(request(fmt.Sprint("k", key)), "fresh")
			e.recordResult(-1, fmt.Sprint("k", key), out, err)
		}
		synctest.Wait()
		e.check()
	})
	return e.failures
}

// Guards against a second run, a false "not run", and different outcomes for one
// key under random interleavings of calls and faults on several routers.
func TestPlans(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		if failures := execute(t, p); len(failures) > 0 {
			rt.Fatalf("%v\nplan: %+v", failures, p)
		}
	})
}
