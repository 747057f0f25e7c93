package limits

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// reader is a target that reads one prompt after the other, whoever still waits.
type reader struct {
	mu   sync.Mutex
	free time.Time
}

func (r *reader) backlog() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, time.Until(r.free))
}

// read adds work and returns when it is done.
func (r *reader) read(work time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.free.Before(time.Now()) {
		r.free = time.Now()
	}
	r.free = r.free.Add(work)
	return r.free
}

// outcome is what the callers of one priority got.
type outcome struct{ onTime, late, refused, gaveUp int }

// play sends requests of 50 ms of work at three times the rate that one target can do,
// for 5 s: half of them of a higher priority. Callers want their answer within 500 ms
// and leave after 2 s.
func play(t *testing.T, gated bool) (high, low outcome) {
	const work, objective, patience = 50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		target, c := &reader{}, NewController(port.SystemClock{}, SingleRouter{})
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
					aim := LatencyBudget{Objective: objective, ServiceTime: work, Rank: 1 - priority}
					room := func() time.Duration { return aim.Delay(target.backlog(), time.Since(arrived)) }
					p, err := c.Acquire(t.Context(), Request{Account: "a", Weight: 1, Pool: "p", Priority: priority,
						Deadline: arrived.Add(patience - work - aim.MaxLateBacklog()), Gate: &Gate{Delay: room, ServiceTime: work, Servers: 1}})
					if err != nil {
						mu.Lock()
						got.refused++
						mu.Unlock()
						return
					}
					defer p.Release()
					defer p.Started()
				}
				took := target.read(work).Sub(arrived)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case took <= objective:
					got.onTime++
				case took <= patience:
					got.late++
				default:
					got.gaveUp++
				}
			})
		}
		all.Wait()
	})
	return high, low
}

// Guards against targets that are filled with more than they can do in time: what is
// urgent is then served on time, nobody leaves without an answer, and the target does
// no work in vain.
func TestOverloadIsHeldBack(t *testing.T) {
	is := is.New(t)
	high, low := play(t, true)
	ungatedHigh, ungatedLow := play(t, false)
	t.Logf("held back: high %+v low %+v; not held back: high %+v low %+v", high, low, ungatedHigh, ungatedLow)
	is.Equal(high.gaveUp+low.gaveUp, 0)
	done := high.onTime + high.late + low.onTime + low.late
	is.True(done >= 100)           // what the target can do in 5 s
	is.True(high.onTime >= 80)     // four fifths of it is urgent and on time
	is.True(high.refused <= 150/3) // more than two thirds of what is urgent fits
	is.True(ungatedHigh.onTime+ungatedLow.onTime < done/2)
}

// Guards against a gated request that starts before the one in front of it is counted,
// and against one that waits although its own target has room.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := NewController(port.SystemClock{}, SingleRouter{})
		free := func() time.Duration { return 0 }
		full := func() time.Duration { return time.Second }
		gated := func(room func() time.Duration, within time.Duration) Request {
			return Request{Account: "a", Weight: 1, Pool: "p", Deadline: time.Now().Add(within),
				Gate: &Gate{Delay: room, ServiceTime: 10 * time.Millisecond, Servers: 1}}
		}
		first, err := c.Acquire(t.Context(), gated(free, time.Minute))
		is.NoErr(err)
		granted := make(chan *Permit, 2)
		wait := func(a Request) {
			p, err := c.Acquire(t.Context(), a)
			if err == nil {
				granted <- p
			}
		}
		go wait(gated(free, time.Minute))
		synctest.Wait()
		is.Equal(len(granted), 0) // the first has not started
		first.Started()
		synctest.Wait()
		is.Equal(len(granted), 1)
		second := <-granted
		second.Started()

		_, err = c.Acquire(t.Context(), gated(full, time.Millisecond))
		is.Equal(reason(err), ReasonDeadline)
		go wait(gated(full, time.Minute))
		synctest.Wait()
		third, err := c.Acquire(t.Context(), gated(free, time.Minute))
		is.NoErr(err) // passes the one whose target is full
		third.Release()
		second.Release()
		first.Release()

		// A queue does not grow without bound, however long its requests would wait.
		ctx, leave := context.WithCancel(t.Context())
		for range maxQueued {
			go func() { _, _ = c.Acquire(ctx, gated(full, time.Hour)) }()
		}
		synctest.Wait()
		_, err = c.Acquire(ctx, gated(full, time.Hour))
		is.Equal(reason(err), ReasonQueueFull)
		leave()
		synctest.Wait()

		begun := time.Now()
		_, err = c.Acquire(t.Context(), gated(full, 1100*time.Millisecond))
		is.Equal(reason(err), ReasonDeadline)
		is.True(time.Since(begun) <= 1100*time.Millisecond)
	})
}
