package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	drainMs    = 2500 * time.Millisecond
	lostFor    = 4500 * time.Millisecond // how long the store loses answers
	lateBy     = 6 * time.Second         // how late a write without an answer is done at most
	stability  = 4 * time.Second         // StabilityWindowMs
	silence    = 3 * heartbeat           // after which the store removes an entry
	pollMargin = time.Second             // beyond DrainMs, not counted
	// serveOn is how much longer than DrainMs the runner serves before it exits: "a little longer
	// (at times many seconds)".
	serveOn = 2300 * time.Millisecond
	// workTime is that of the bookings of a larger deployment.
	workTime = 60 * time.Millisecond
)

func init() { plays["latebeat"] = playLateBeat }

// playLateBeat lets a runner that never reports draining leave. Its entry is removed; one of its
// earlier heartbeats, whose answer was lost, is done later.
func playLateBeat(ctx context.Context, s *system, trouble bool) (bool, error) {
	s.configureRoutes(3, "non_idempotent", "first")
	for i := range 3 {
		r, err := s.runner(fmt.Sprintf("i-%08x", 0x44c0+i), "first-desk", workTime)
		if err != nil {
			return false, err
		}
		r.beat(s.log)
	}
	for i := range 3 {
		if _, err := s.router(fmt.Sprintf("front-z1-%d", i+1)); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	sleep(ctx, stability)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	unanswered := map[string]bool{}
	for c := range 24 {
		clients.Go(func() {
			time.Sleep(time.Duration(c) * 9 * time.Millisecond) // spread
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				q := request{method: "POST", target: fmt.Sprintf("/first/%d", n), id: fmt.Sprintf("%016x", 0x9c430000+c*10000+n), body: "book", wait: 800 * time.Millisecond}
				if a := s.send(s.routers[c%3], q); a.err != nil || a.stamp == "" {
					mu.Lock()
					unanswered[q.id] = true
					mu.Unlock()
				}
			}
		})
	}
	leaving := s.runners[0]
	s.note("store: loses answers of writes for %v", lostFor)
	sleep(ctx, lostFor-300*time.Millisecond)
	late := encode(leaving.entry())
	if trouble {
		s.note("runner %s: heartbeat without an answer, done %v later: %s", leaving.id, lateBy, late)
		time.AfterFunc(lateBy, func() {
			s.log.PutKeyed("keyed.servers", leaving.id, late)
			s.note("store: the late heartbeat of %s is done", leaving.id)
			time.AfterFunc(silence, func() {
				s.log.PutKeyed("keyed.servers", leaving.id, nil)
				s.note("store: entry of %s removed after three heartbeat intervals of silence", leaving.id)
			})
		})
	} else {
		s.log.PutKeyed("keyed.servers", leaving.id, late)
	}
	sleep(ctx, 300*time.Millisecond) // the end of the impairment
	s.note("store: sound from now on")
	sleep(ctx, stability+200*time.Millisecond)
	leaving.stopBeats()
	s.log.PutKeyed("keyed.servers", leaving.id, nil)
	gone := time.Now()
	s.note("runner %s leaves without reporting draining; its entry is removed", leaving.id)
	sleep(ctx, drainMs+serveOn)
	_ = leaving.server.Close()
	s.note("runner %s exits", leaving.id)
	sleep(ctx, 3*time.Second)
	close(stop)
	clients.Wait()
	before, after, lost := 0, 0, 0
	for _, ran := range leaving.ran() {
		switch since := ran.at.Sub(gone); {
		case since > drainMs+pollMargin:
			after++
			if unanswered[ran.id] {
				lost++
			}
			s.note("runner %s ran %s %d ms after its entry was removed; its answer was lost: %t", leaving.id, ran.id, since.Milliseconds(), unanswered[ran.id])
		case since < 0:
			before++
		}
	}
	s.note("runner %s ran %d bookings before it left, %d later than DrainMs + %v after, of which %d got no answer from it", leaving.id, before, after, pollMargin, lost)
	if before == 0 {
		return false, fmt.Errorf("the runner got no requests before it left")
	}
	return after > 0, nil
}
