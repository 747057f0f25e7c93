package main

import (
	"context"
	"fmt"
	"time"
)

// configurePath writes a manifest with one route for everything of a host.
func (s *system) configurePath() {
	s.log.PutKeyed("keyed.op", "config", encode(map[string]any{"Version": 3,
		"Routes": []any{map[string]any{"Name": "all", "Host": host, "PathPrefix": "/", "Kind": "non_idempotent", "TimeoutMs": 800,
			"TargetLatencyMs": 150, "Service": "desk", "MaxAttempts": 1, "Priority": 2}},
		"Services": []any{map[string]any{"Name": "desk", "HealthPath": "/health", "MaxConnections": 100}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
		"Tenants":  []any{map[string]any{"Name": tenant, "ApiKeys": []string{key}}}}))
}

func init() { plays["path"] = playPath }

func playPath(ctx context.Context, s *system, trouble bool) (bool, error) {
	s.configurePath()
	for i := range 3 {
		r, err := s.runner(fmt.Sprintf("i-%08x", 0x11a0+i), "desk", 15*time.Millisecond)
		if err != nil {
			return false, err
		}
		r.beat(s.log)
	}
	for i := range 2 {
		if _, err := s.router(fmt.Sprintf("front-z1-%d", i+1)); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	sleep(ctx, 1500*time.Millisecond)
	sent := map[string]request{}
	paths := []string{"/book/12", "/book/12?day=2"}
	if trouble {
		paths = append(paths, "//book/12", "//book/12/cancel?day=2")
	}
	for n := range 10 {
		for i, path := range paths {
			q := request{method: "POST", target: path, id: fmt.Sprintf("%016x", 0x9c41d000+n*16+i), body: "reserve", wait: 800 * time.Millisecond}
			sent[q.id] = q
			s.send(s.routers[n%2], q)
		}
	}
	broken := false
	for _, r := range s.runners {
		for _, ran := range r.ran() {
			target := ran.path
			if ran.query != "" {
				target += "?" + ran.query
			}
			q, known := sent[ran.id]
			same := known && q.method == ran.method && q.target == target && q.body == ran.body
			s.note("runner %s ran %s: %s, host %s, path and query %s; as sent: %t", r.id, ran.id, ran.method, ran.host, target, same)
			broken = broken || !same
		}
	}
	return broken, nil
}
