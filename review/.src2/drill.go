package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

func init() { plays["drill"] = playDrill }

const (
	leaseMs = 3 * time.Second
	// drillAway is how long the store is away in a drill, copyAge how old the copy is.
	drillAway = 250 * time.Millisecond
	copyAge   = 3 * time.Second
	// namedBefore is how long before the drill the second weights are named.
	namedBefore = 350 * time.Millisecond
	// servedAgain is how long after the drill the store serves all routers again.
	servedAgain = 450 * time.Millisecond
	// fleetSize: a fleet of 12 routers and more reads the store through a few of them.
	fleetSize = 13
	// settleTime is how long the routers take to know each other.
	settleTime = 11 * time.Second
	// rounds is how often a new deployment plays it, until the rule is broken.
	rounds = 3
	// turnedAway is how many routers the store turns away before the drill (share 0.31).
	turnedAway = 4
)

// door is the store as one router reaches it.
type door struct {
	log    *platformtest.Log
	closed atomic.Bool
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.closed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.log.ServeHTTP(w, r)
}

func (s *system) openDoor() (*door, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	d := &door{log: s.log}
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(l) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	return d, l.Addr().String(), nil
}

func playDrill(ctx context.Context, first *system, trouble bool) (bool, error) {
	for round := range rounds {
		s, err := newSystem(first.record)
		if err != nil {
			return false, err
		}
		s.note("round %d, a new deployment", round+1)
		broken, err := s.drill(ctx, trouble)
		s.close()
		if broken || err != nil {
			return broken, err
		}
	}
	return false, nil
}

// drill names weights twice in a row, with a drill of the store between the orders of the second
// rollout. Two routers were turned away from the store during the first one.
func (s *system) drill(ctx context.Context, trouble bool) (bool, error) {
	s.fencing = false
	s.log.PutKeyed("keyed.op", "config", encode(map[string]any{"Version": 3,
		"Routes": []any{map[string]any{"Name": "query", "Host": host, "PathPrefix": "/query/", "Kind": "streaming", "TimeoutMs": 15000,
			"TargetLatencyMs": 400, "Service": "hydro-llm", "MaxAttempts": 2, "Priority": 0, "Resumable": true}},
		"Services": []any{map[string]any{"Name": "hydro-llm", "HealthPath": "/health", "MaxConnections": 530,
			"Engine": map[string]any{"Slots": 24, "KvCapacity": 112958, "KvTokenBytes": 192512, "LinkMbps": 740000.0, "MaxInFlight": 12, "Models": []any{map[string]any{"Name": modelName}}}}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{key}}}}))
	var mu sync.Mutex
	var orders []order
	record := func(o order) {
		mu.Lock()
		defer mu.Unlock()
		orders = append(orders, o)
		s.note("order at %s from %s, fence %d, version %d, expect %d: %d", o.runner, o.holder, o.token, o.version, o.expect, o.status)
	}
	var engines []*engine
	for i := range 4 {
		e, err := startEngine(fmt.Sprintf("i-%08x", 0x55d0+i), s.log, record)
		if err != nil {
			return false, err
		}
		s.closers = append(s.closers, e.close)
		engines = append(engines, e)
	}
	var doors []*door
	for i := range fleetSize {
		d, address, err := s.openDoor()
		if err != nil {
			return false, err
		}
		doors, s.logAddr = append(doors, d), address
		if _, err := s.router(fmt.Sprintf("front-z1-%d", i+1)); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	version := 1
	name := func() {
		version++
		s.log.PutKeyed("keyed.op", "version/"+modelName, fmt.Appendf(nil, `{"Model":%q,"Version":%d}`, modelName, version))
		s.note("operator: weights %d named", version)
	}
	await := func(limit time.Duration) bool {
		for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			done := true
			for _, e := range engines {
				done = done && e.now().version >= version
			}
			if done {
				return true
			}
		}
		return false
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, failed atomic.Int64
	for c := range 65 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(100+rand.IntN(400)) * time.Millisecond):
				}
				a := s.exchange(s.routers[c%len(s.routers)], request{method: "POST", target: "/query/1", id: fmt.Sprintf("%016x", 0x9c440000+c*10000+n), body: "q", wait: 6 * time.Second,
					more: fmt.Sprintf("X-Model: %s\r\nX-Token-Usage: 826,58\r\nX-Prompt-Prefix: a%d:119,b%d:79,c%x:628\r\n", modelName, n%7, n%50, n)})
				if a.err == nil && a.status == 200 {
					served.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	defer func() {
		close(stop)
		clients.Wait()
		s.note("clients: %d streams served whole, %d not", served.Load(), failed.Load())
	}()
	sleep(ctx, settleTime)
	copied := s.log.Now()
	if trouble {
		for n := len(doors) - turnedAway; n < len(doors); n++ {
			doors[n].closed.Store(true)
			s.note("store: turns %s away", s.routers[n].name)
		}
	}
	sleep(ctx, copyAge-2*time.Second)
	name()
	if !await(10 * time.Second) {
		return false, fmt.Errorf("weights %d are not everywhere", version)
	}
	name()
	sleep(ctx, namedBefore)
	if trouble {
		s.log.SetFaults(platformtest.LogFaults{Reset: true})
		s.note("store: away")
		sleep(ctx, drillAway)
		s.log.Restore(copied)
		s.log.SetFaults(platformtest.LogFaults{})
		s.note("store: back from a copy")
		sleep(ctx, servedAgain)
		for n := range doors {
			doors[n].closed.Store(false)
		}
		s.note("store: serves all routers")
		sleep(ctx, 300*time.Millisecond)
		s.log.PutKeyed("keyed.op", "version/"+modelName, fmt.Appendf(nil, `{"Model":%q,"Version":%d}`, modelName, version))
		s.note("operator: weights %d written again", version)
	}
	if !await(14 * time.Second) {
		s.note("weights %d are not everywhere", version)
	}
	sleep(ctx, 2*time.Second)
	mu.Lock()
	defer mu.Unlock()
	broken := false
	last, highest := map[string]order{}, map[string]order{}
	for _, o := range orders {
		if p, seen := last[o.runner]; seen && p.machine() != o.machine() && o.at.Sub(p.at) < leaseMs {
			broken = true
			s.note("turn at %s: %s (fence %d) %d ms after %s (fence %d); answered %d and %d", o.runner, o.holder, o.token, o.at.Sub(p.at).Milliseconds(), p.holder, p.token, o.status, p.status)
		}
		if h := highest[o.runner]; o.token < h.token {
			broken = true
			s.note("lower fence at %s: %s (fence %d) after %s (fence %d)", o.runner, o.holder, o.token, h.holder, h.token)
		}
		last[o.runner] = o
		if o.token >= highest[o.runner].token {
			highest[o.runner] = o
		}
	}
	return broken, nil
}
