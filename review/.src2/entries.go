package main

import (
	"context"
	"fmt"
	"time"
)

func init() { plays["entries"] = playEntries }

func playEntries(ctx context.Context, s *system, trouble bool) (bool, error) {
	s.configureRoutes(3, "idempotent", "first")
	start := func(service string, from int) error {
		for i := range 3 {
			r, err := s.runner(fmt.Sprintf("i-%08x", from+i), service, 15*time.Millisecond)
			if err != nil {
				return err
			}
			if trouble && service != "first-desk" {
				// Another writer, which copies entries, registers the runner first; its entry lacks a field.
				odd := r.entry()
				delete(odd, "Sequence")
				s.log.PutKeyed("keyed.servers", r.id, encode(odd))
				s.note("another writer: servers/%s %s", r.id, encode(odd))
				sleep(ctx, 1500*time.Millisecond)
			}
			r.beat(s.log)
			s.note("runner %s of %s registers itself", r.id, service)
		}
		return nil
	}
	if err := start("first-desk", 0x22a0); err != nil {
		return false, err
	}
	for i := range 3 {
		if _, err := s.router(fmt.Sprintf("front-z1-%d", i+1)); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	sleep(ctx, 2*time.Second)
	if err := start("later-desk", 0x33b0); err != nil {
		return false, err
	}
	s.configureRoutes(5, "idempotent", "first", "later")
	sleep(ctx, 10*time.Second) // over two times StabilityWindowMs, four times ConfigApplyMs and eight heartbeats
	served := map[string]int{}
	const requests = 200
	for n := range requests {
		for i, name := range []string{"first", "later"} {
			a := s.send(s.routers[n%3], request{method: "GET", target: "/" + name + "/" + fmt.Sprint(n), id: fmt.Sprintf("%016x", 0x9c420000+n*2+i), wait: 800 * time.Millisecond})
			if a.err == nil && a.status == 200 && a.stamp != "" {
				served[name]++
			}
		}
		sleep(ctx, 50*time.Millisecond)
	}
	s.note("of %d requests each: first served %d, later served %d", requests, served["first"], served["later"])
	if served["first"] < requests/2 {
		return false, fmt.Errorf("the first route is not served: %d of %d", served["first"], requests)
	}
	return served["later"]*4 < served["first"], nil
}
