package limits

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// serialTarget prefills one prompt after the other, also those of clients that have
// disconnected.
type serialTarget struct {
	mu     sync.Mutex
	idleAt time.Time
}

func (r *serialTarget) backlog() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, time.Until(r.idleAt))
}

// prefill adds work and returns when it is done.
func (r *serialTarget) prefill(work time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idleAt.Before(time.Now()) {
		r.idleAt = time.Now()
	}
	r.idleAt = r.idleAt.Add(work)
	return r.idleAt
}

// results counts the outcomes of the requests of one priority.
type results struct{ onTime, late, refused, timedOut int }

// simulateOverload sends requests of 50 ms of work at three times the rate that one
// target can process, for 5 s, half of them with a higher priority. The latency
// objective is 500 ms, and clients disconnect after 2 s.
func simulateOverload(t *testing.T, gated bool) (high, low results) {
	const work, objective, clientTimeout = 50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		target, c := &serialTarget{}, NewController(port.SystemClock{}, SingleRouter{})
		var mu sync.Mutex
		var all sync.WaitGroup
		for i := range 300 {
			<-time.After(work / 3)
			got, priority := &low, 0
			if i%2 == 0 {
				got, priority = &high, 1
			}
			arrived := time.Now()
			all.Go(func() {
				if gated {
					budget := LatencyBudget{Objective: objective, UnloadedLatency: work, Rank: 1 - priority}
					delay := func() time.Duration { return budget.Delay(target.backlog(), time.Since(arrived)) }
					p, err := c.Acquire(t.Context(), Request{Account: "a", Weight: 1, Pool: "p", Priority: priority,
						Deadline: arrived.Add(clientTimeout - work - budget.MaxLateBacklog()), Gate: &Gate{Delay: delay, ServiceTime: work, Servers: 1}})
					if err != nil {
						mu.Lock()
						got.refused++
						mu.Unlock()
						return
					}
					defer p.Release()
					defer p.MarkStarted()
				}
				took := target.prefill(work).Sub(arrived)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case took <= objective:
					got.onTime++
				case took <= clientTimeout:
					got.late++
				default:
					got.timedOut++
				}
			})
		}
		all.Wait()
	})
	return high, low
}

// Guards against targets that get more work than they can finish in time. Under
// overload, urgent requests are served on time, no client times out, and the target
// does no work for clients that have disconnected.
func TestGateHoldsBackOverload(t *testing.T) {
	is := is.New(t)
	high, low := simulateOverload(t, true)
	ungatedHigh, ungatedLow := simulateOverload(t, false)
	t.Logf("gated: high %+v low %+v; not gated: high %+v low %+v", high, low, ungatedHigh, ungatedLow)
	is.Equal(high.timedOut+low.timedOut, 0)
	done := high.onTime + high.late + low.onTime + low.late
	is.True(done >= 100)           // the capacity of the target in 5 s
	is.True(high.onTime >= 80)     // four fifths of the capacity serve urgent requests on time
	is.True(high.refused <= 150/3) // at least two thirds of the urgent requests are served
	is.True(ungatedHigh.onTime+ungatedLow.onTime < done/2)
}

// Guards against a gated request that is granted before the backlog includes the one
// before it, and against one that waits although its own target has capacity.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := NewController(port.SystemClock{}, SingleRouter{})
		idle := func() time.Duration { return 0 }
		full := func() time.Duration { return time.Second }
		gated := func(delay func() time.Duration, within time.Duration) Request {
			return Request{Account: "a", Weight: 1, Pool: "p", Deadline: time.Now().Add(within),
				Gate: &Gate{Delay: delay, ServiceTime: 10 * time.Millisecond, Servers: 1}}
		}
		first, err := c.Acquire(t.Context(), gated(idle, time.Minute))
		is.NoErr(err)
		granted := make(chan *Permit, 2)
		wait := func(req Request) {
			p, err := c.Acquire(t.Context(), req)
			if err == nil {
				granted <- p
			}
		}
		go wait(gated(idle, time.Minute))
		synctest.Wait()
		is.Equal(len(granted), 0) // the first has not started
		first.MarkStarted()
		synctest.Wait()
		is.Equal(len(granted), 1)
		second := <-granted
		second.MarkStarted()

		_, err = c.Acquire(t.Context(), gated(full, time.Millisecond))
		is.Equal(reason(err), ReasonDeadline)
		go wait(gated(full, time.Minute))
		synctest.Wait()
		third, err := c.Acquire(t.Context(), gated(idle, time.Minute))
		is.NoErr(err) // overtakes the request whose target is full
		third.Release()
		second.Release()
		first.Release()

		// The queue length is limited, however long its requests may wait.
		ctx, disconnect := context.WithCancel(t.Context())
		for range maxQueued {
			go func() { _, _ = c.Acquire(ctx, gated(full, time.Hour)) }()
		}
		synctest.Wait()
		_, err = c.Acquire(ctx, gated(full, time.Hour))
		is.Equal(reason(err), ReasonQueueFull)
		disconnect()
		synctest.Wait()

		start := time.Now()
		_, err = c.Acquire(t.Context(), gated(full, 1100*time.Millisecond))
		is.Equal(reason(err), ReasonDeadline)
		is.True(time.Since(start) <= 1100*time.Millisecond)
	})
}

// Guards against a router whose time goes into looking at waiting requests while many client
// accounts have some, and against a request that waits although its target has room again.
func TestEvaluationsOfWaitingRequestsAreBounded(t *testing.T) {
	const accounts, busy = 80, time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := NewController(port.SystemClock{}, SingleRouter{})
		start := time.Now()
		var evaluations atomic.Int64
		delay := func() time.Duration {
			evaluations.Add(1)
			return max(0, busy-time.Since(start))
		}
		var all sync.WaitGroup
		for i := range accounts {
			all.Go(func() {
				p, err := c.Acquire(t.Context(), Request{Account: string(rune('a' + i)), Weight: 1, Pool: "p", Deadline: start.Add(time.Minute),
					Gate: &Gate{Delay: delay, Servers: 1}})
				is.NoErr(err)
				p.MarkStarted()
				p.Release()
			})
		}
		time.Sleep(busy)
		// Each request is evaluated when it arrives; after that, polls are bounded.
		is.True(evaluations.Load() <= 3*accounts+int64(busy/gatePollInterval)*evaluationsPerPoll)
		all.Wait()
		is.True(time.Since(start) <= busy+accounts/evaluationsPerPoll*gatePollInterval)
	})
}
