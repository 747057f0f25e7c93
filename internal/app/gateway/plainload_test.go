package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/port"
)

// slotTargets are plain targets with slots and a short queue, which refuse what is over it.
type slotTargets struct {
	fakeTargets
	slots, bound int
	// lost targets refuse connections.
	lost int

	mu     sync.Mutex
	ends   map[string][]time.Time // of the accepted requests of each target, in order of the start
	random *rand.Rand
}

func (s *slotTargets) load(ends []time.Time) *port.LoadReport {
	running := min(len(ends), s.slots)
	return &port.LoadReport{Running: running, Waiting: len(ends) - running, Slots: s.slots}
}

// live forgets the requests of a target that have ended.
func (s *slotTargets) live(address string) []time.Time {
	s.ends[address] = slices.DeleteFunc(s.ends[address], func(end time.Time) bool { return !end.After(time.Now()) })
	return s.ends[address]
}

func (s *slotTargets) Forward(ctx context.Context, address string, _ port.Forward) (port.ForwardResponse, error) {
	const link = time.Millisecond
	time.Sleep(link)
	s.mu.Lock()
	ends := s.live(address)
	if len(ends) >= s.bound {
		defer s.mu.Unlock()
		return port.ForwardResponse{}, &port.NotRunError{Target: address, Reason: port.NotRunOverloaded, RetryAfter: 50 * time.Millisecond, Load: s.load(ends)}
	}
	start := time.Now()
	if len(ends) >= s.slots {
		start = ends[len(ends)-s.slots] // the slot of the request that ends when this one may start
	}
	end := start.Add(15*time.Millisecond + time.Duration(s.random.Int64N(int64(30*time.Millisecond))))
	s.ends[address] = append(ends, end)
	slices.SortFunc(s.ends[address], time.Time.Compare)
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return port.ForwardResponse{}, &port.UnknownOutcomeError{Peer: address, Cause: ctx.Err()}
	case <-time.After(time.Until(end) + link):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return port.ForwardResponse{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")), Length: 2, Load: s.load(s.live(address))}, nil
}

// plainResult is what the clients of an account got. Refusals after more than half of the
// timeout are late.
type plainResult struct{ offered, inTime, late, refused, refusedLate, failed int }

func (r plainResult) add(o plainResult) plainResult {
	return plainResult{r.offered + o.offered, r.inTime + o.inTime, r.late + o.late, r.refused + o.refused, r.refusedLate + o.refusedLate, r.failed + o.failed}
}

func (r plainResult) worth() float64 { return float64(r.inTime) + float64(r.late)/3 }

// plainLoad is a load of ten ordinary accounts and a hot one, as multiples of what the targets
// can do. Lost targets take no requests after a third of the play.
type plainLoad struct {
	routers, targets, lost int
	load, hot              float64
}

const plainObjective, plainTimeout = 150 * time.Millisecond, 800 * time.Millisecond

// run plays the load through the routers, or first-come-first-served without them, and returns
// what each account got. Clients return when they are told, and give up after their timeout.
func (l plainLoad) run(t *testing.T, admission bool) map[string]plainResult {
	const play, mean = 3 * time.Second, 30 * time.Millisecond
	routers, targets, results := l.routers, l.targets, map[string]plainResult{}
	synctest.Test(t, func(t *testing.T) {
		s := &slotTargets{slots: 6, bound: 18, ends: map[string][]time.Time{}, random: rand.New(rand.NewPCG(3, 3))}
		accounts := []gatewayconfig.AccountDefinition{{ClientAccount: gatewayconfig.ClientAccount{Name: "hot"}, Keys: []string{"hot"}}}
		for i := range 10 {
			name := fmt.Sprint("a", i)
			accounts = append(accounts, gatewayconfig.AccountDefinition{ClientAccount: gatewayconfig.ClientAccount{Name: name}, Keys: []string{name}})
		}
		config := gatewayconfig.New(gatewayconfig.Definition{Version: 1, Services: []gatewayconfig.Service{{Name: "desk"}}, Accounts: accounts,
			Routes: []gatewayconfig.Route{{Name: "book", Host: "h", Prefix: "/", Kind: gatewayconfig.NonIdempotent, MaxAttempts: 1, Timeout: plainTimeout,
				Objective: plainObjective, Services: []gatewayconfig.WeightedService{{Service: "desk", Weight: 1}}}}})
		var gateways []*Gateway
		for range routers {
			log, clock, placer := slog.New(slog.DiscardHandler), port.SystemClock{}, placement.New(placement.Settings{})
			dir := NewDirectory(log, clock, placer, time.Second)
			g := New(Deps{Forwarder: s, Control: s, Placer: placer, Directory: dir, CacheContents: placement.NewCacheIndex(), Clock: clock, BootClock: clock, Log: log,
				Metrics: noMetrics{}, Routers: func() int { return routers }, CrashTracker: retry.NewCrashTracker(), SegmentTracker: retry.NewSegmentTracker(),
				Settings: Settings{KeyRevocationBound: time.Hour, ConfigurationBound: time.Hour, RetryRatio: 0.2, RetryAllowance: 50, RetryWindow: 10 * time.Second}})
			for i := range targets {
				id := fmt.Sprint("d", i)
				dir.Put(port.TargetEntry{ID: id, Service: "desk", Address: id, Slots: s.slots})
			}
			g.SetConfiguration(config)
			g.MarkVerified(clock.Now())
			gateways = append(gateways, g)
		}
		var mu sync.Mutex
		var all sync.WaitGroup
		random := rand.New(rand.NewPCG(5, 5))
		capacity := float64(targets*s.slots) / mean.Seconds()
		start := time.Now()
		id := 0
		stream := func(account string, rate float64) {
			for at := 0.0; at < play.Seconds(); at += random.ExpFloat64() / rate {
				id++
				name, when, choice := fmt.Sprint("r", id), start.Add(time.Duration(at*float64(time.Second))), rand.New(rand.NewPCG(uint64(id), 9))
				all.Go(func() {
					time.Sleep(time.Until(when))
					got := client(func() error {
						if !admission {
							return s.direct(t.Context(), choice, targets)
						}
						r := &Request{ID: name, Method: http.MethodPost, URI: "/" + name, Path: "/" + name, Host: "h", Header: http.Header{}, Key: account, Received: time.Now()}
						return gateways[choice.IntN(routers)].Serve(t.Context(), r, &recorder{})
					})
					mu.Lock()
					defer mu.Unlock()
					results[account] = results[account].add(got)
				})
			}
		}
		for i := range 10 {
			stream(fmt.Sprint("a", i), l.load*capacity/10)
		}
		if l.hot > 0 {
			stream("hot", l.hot*capacity)
		}
		all.Go(func() {
			time.Sleep(play / 3)
			for i := targets - l.lost; i < targets; i++ {
				for _, g := range gateways {
					g.Directory.Remove(fmt.Sprint("d", i))
				}
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.lost = l.lost
		})
		all.Wait()
	})
	return results
}

// direct sends a request to a target in no order, and to another if that refuses.
func (s *slotTargets) direct(ctx context.Context, random *rand.Rand, targets int) error {
	s.mu.Lock()
	alive := targets - s.lost
	s.mu.Unlock()
	first := random.IntN(alive)
	_, err := s.Forward(ctx, fmt.Sprint("d", first), port.Forward{})
	if err != nil {
		_, err = s.Forward(ctx, fmt.Sprint("d", (first+1)%alive), port.Forward{})
	}
	if err != nil {
		return &Failure{Kind: KindRefused, RetryAfter: jitter(shortRetryAfter), Cause: err}
	}
	return nil
}

// client sends one request, and again when it is told after a refusal.
func client(send func() error) plainResult {
	out := plainResult{offered: 1}
	for first := time.Now(); time.Since(first) < plainTimeout; {
		sent := time.Now()
		err := send()
		var f *Failure
		switch took := time.Since(sent); {
		case err == nil && took <= plainObjective:
			out.inTime++
			return out
		case err == nil:
			out.late++
			return out
		case errors.As(err, &f) && f.Kind == KindRefused:
			out.refused++
			if took > plainTimeout/2 {
				out.refusedLate++
			}
			time.Sleep(f.RetryAfter)
		default:
			out.failed++
			return out
		}
	}
	out.failed++
	return out
}

// minUtilization is the part of the capacity that must be used, as for allotments.
const minUtilization = 0.95

// Guards against plain requests that are held back, or refused, while a target could take them,
// against refusals at the deadline, and against an account that takes the room of others.
func TestPlainLoads(t *testing.T) {
	for name, load := range map[string]plainLoad{
		"room for all":               {routers: 9, targets: 3, load: 0.6},
		"full":                       {routers: 9, targets: 3, load: 1.5},
		"full, many routers":         {routers: 40, targets: 6, load: 1.5},
		"full because of an account": {routers: 9, targets: 3, load: 0.6, hot: 0.9},
		"a third of the targets":     {routers: 9, targets: 3, lost: 1, load: 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			total := func(results map[string]plainResult, skip string) (out plainResult) {
				for account, got := range results {
					if account != skip {
						out = out.add(got)
					}
				}
				return out
			}
			results, before := load.run(t, true), load.run(t, false)
			all, first := total(results, ""), total(before, "")
			t.Logf("%s: admission %+v worth %.0f; first come %+v worth %.0f", name, all, all.worth(), first, first.worth())
			ordinary, ordinaryFirst := total(results, "hot"), total(before, "hot")
			t.Logf("%s: ordinary accounts: admission %+v; first come %+v", name, ordinary, ordinaryFirst)
			// These targets bound their queues, so that first-come-first-served wastes nothing:
			// routers that know little of each other must use nearly as much.
			is.True(all.worth() >= minUtilization*first.worth())
			is.True(ordinary.worth() >= minUtilization*ordinaryFirst.worth())
			if load.hot > 0 {
				is.True(float64(ordinary.inTime) >= minUtilization*float64(ordinary.offered)) // they ask for less than there is
			}
			is.Equal(all.refusedLate, 0)
			share := float64(all.inTime+all.late) / float64(all.offered)
			for account, got := range results {
				if float64(got.inTime+got.late) < share/4*float64(got.offered) {
					t.Errorf("%s: %+v, all %+v", account, got, all)
				}
			}
		})
	}
}
