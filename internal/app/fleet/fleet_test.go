package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	routers = 7
	// recoveryBound is the time after a disruption within which routers know the same again.
	recoveryBound = 12 * time.Second
)

// Guards against a router that still sends requests to a leaving target 3 s
// after any router first detected it. The VM list lags by 60 s.
func TestLeavingTargetWithinThreeSeconds(t *testing.T) {
	cases := map[string]func(from, to string) fault{
		"no fault": nil,
		"one-way partition from the detecting router to all but one": func(from, to string) fault {
			if from == "r0" && to != "r1" {
				return refused
			}
			return none
		},
		"no response to the detecting router from all but one": func(from, to string) fault {
			if from == "r0" && to != "r1" {
				return silent
			}
			return none
		},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, routers, func(t *testing.T, net *network) {
				net.setFault(f)
				net.router(0).MarkLeaving("e1", "")
				<-time.After(3 * time.Second)
				for i := range routers {
					is.New(t).True(net.router(i).IsLeaving("e1", "life-1"))
				}
			})
		})
	}
}

// Guards against routers that detect a leaving target only by their own poll of
// the list: the first router whose poll shows it must notify all others.
func TestLeavingTargetFromTheList(t *testing.T) {
	inBubble(t, routers, func(t *testing.T, net *network) {
		is := is.New(t)
		first := make(chan struct{})
		net.kill(0)
		net.start(0, Options{Callbacks: Callbacks{OnTargets: func([]port.TargetMark) { close(first) }}})
		net.setList(routers, port.VMLeaving)
		<-first
		<-time.After(3 * time.Second)
		for i := range routers {
			is.True(net.router(i).IsLeaving("e1", ""))
		}
		is.Equal(len(net.router(3).LeavingTargets()), 1)
	})
}

// Guards against a fingerprint that does not reach all routers, and against
// repeated callbacks for the same fingerprint.
func TestFingerprintsReachEveryRouterOnce(t *testing.T) {
	inBubble(t, routers, func(t *testing.T, net *network) {
		var mu sync.Mutex
		got := map[int][]string{}
		for i := range routers {
			net.kill(i)
			net.start(i, Options{Callbacks: Callbacks{OnFingerprints: func(fingerprints []port.Fingerprint) {
				mu.Lock()
				defer mu.Unlock()
				for _, f := range fingerprints {
					got[i] = append(got[i], f.Value)
				}
			}}})
		}
		<-time.After(30 * time.Second)
		net.router(0).ReportFingerprint("f1")
		<-time.After(30 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		for i := range routers {
			is.New(t).Equal(got[i], []string{"f1"})
		}
	})
}

// Guards against a router that starts later, also in place of one that ran, and does not learn the
// fingerprints.
func TestStartingRouterLearnsTheFingerprints(t *testing.T) {
	inBubble(t, routers, func(t *testing.T, net *network) {
		var mu sync.Mutex
		got := map[int][]string{}
		net.router(0).ReportFingerprint("f1")
		<-time.After(20 * time.Second)
		for i := range routers { // one after the other, all of them
			net.kill(i)
			<-time.After(time.Second)
			net.start(i, Options{Callbacks: Callbacks{OnFingerprints: func(fingerprints []port.Fingerprint) {
				mu.Lock()
				defer mu.Unlock()
				for _, f := range fingerprints {
					got[i] = append(got[i], f.Value)
				}
			}}})
			<-time.After(2 * time.Second)
			mu.Lock()
			is.New(t).True(slices.Contains(got[i], "f1"))
			mu.Unlock()
		}
	})
}

// Guards against routers that were cut off from others and do not learn the fingerprints that these
// reported meanwhile.
func TestRouterInContactAgainLearnsTheFingerprints(t *testing.T) {
	for name, c := range map[string]struct {
		fault fault
		cut   []string
	}{
		"no response": {silent, []string{"r0"}}, "refused": {refused, []string{"r0"}},
		"three routers, no response": {silent, []string{"r0", "r5", "r6"}}, "three routers, refused": {refused, []string{"r0", "r5", "r6"}},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, routers, func(t *testing.T, net *network) {
				learned := make(chan struct{}, 100)
				net.kill(0)
				net.start(0, Options{Callbacks: Callbacks{OnFingerprints: func([]port.Fingerprint) { learned <- struct{}{} }}})
				<-time.After(10 * time.Second)
				net.setFault(func(from, to string) fault {
					if slices.Contains(c.cut, from) != slices.Contains(c.cut, to) {
						return c.fault
					}
					return none
				})
				<-time.After(2 * time.Second)
				net.router(1).ReportFingerprint("f1")
				<-time.After(15 * time.Second)
				net.setFault(nil)
				select {
				case <-learned:
				case <-time.After(recoveryBound):
					t.Error("not learned")
				}
			})
		})
	}
}

// Guards against a planned stop that others treat as a failure, and against
// Leave reporting success when some neighbours did not respond.
func TestLeaveNotifiesAllNeighbours(t *testing.T) {
	inBubble(t, routers, func(t *testing.T, net *network) {
		is := is.New(t)
		is.NoErr(net.router(0).Leave(t.Context()))
		for i := 1; i < routers; i++ {
			is.Equal(net.state(i, 0), "leaving")
		}
		net.setFault(func(from, to string) fault {
			if from == "r1" && to == "r2" {
				return silent
			}
			return none
		})
		var failed *LeaveError
		err := net.router(1).Leave(t.Context())
		is.True(errors.As(err, &failed))
		is.Equal(*failed, LeaveError{Acknowledged: 4, Neighbours: 5}) // r0 is already leaving
		<-time.After(5 * time.Second)
		is.Equal(net.state(2, 1), "leaving")
	})
}

// Guards against routers that do not rediscover each other after simultaneous
// restarts.
func TestSimultaneousRestart(t *testing.T) {
	for name, survivors := range map[string]int{"all but one": 1, "all at once": 0} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, routers, func(t *testing.T, net *network) {
				for i := survivors; i < routers; i++ {
					net.kill(i)
				}
				<-time.After(20 * time.Second)
				for i := survivors; i < routers; i++ {
					net.start(i, Options{})
				}
				<-time.After(20 * time.Second)
				net.allAlive(t)
			})
		})
	}
}

// Guards against routers that find no peers while the VM list is unavailable.
func TestSeedsReplaceTheList(t *testing.T) {
	inBubble(t, routers, func(t *testing.T, net *network) {
		for i := range routers {
			net.kill(i)
		}
		net.mu.Lock()
		net.noList = true
		net.mu.Unlock()
		for i := range routers {
			net.start(i, Options{Seeds: []string{member(0).Address, member(1).Address}})
		}
		<-time.After(20 * time.Second)
		net.allAlive(t)
	})
}

// Guards against a network partition after which a side is no longer used, and
// against sides that do not reconnect when it heals.
func TestPartitionBetweenRegionsHeals(t *testing.T) {
	inBubble(t, routers, func(t *testing.T, net *network) {
		is := is.New(t)
		region := map[string]string{}
		for i := range routers {
			region[member(i).Name] = member(i).Region
		}
		net.setFault(func(from, to string) fault {
			if region[from] != region[to] {
				return silent
			}
			return none
		})
		<-time.After(3 * time.Minute)
		is.Equal(net.state(0, 3), "alive") // the same region
		is.Equal(net.state(0, 1), "suspect")
		net.setFault(nil)
		<-time.After(15 * time.Second)
		net.allAlive(t)
	})
}

// Guards against a restarted router that has no summary, marks or records while
// the log is unavailable.
func TestRestartedRouterCatchesUpFromPeers(t *testing.T) {
	inBubble(t, routers, func(t *testing.T, net *network) {
		is := is.New(t)
		records := func(_ context.Context, _ string, from port.Offset, _ int) (port.Batch, error) {
			if from < 5 {
				return port.Batch{}, &port.ExpiredError{Stream: port.StreamConfig, From: from, Oldest: 5}
			}
			return port.Batch{Records: []port.Record{{Offset: from, ID: "c"}}, Next: from + 1, Oldest: 5}, nil
		}
		summary := func(int) []byte { return []byte("hot") }
		for i := 1; i < routers; i++ {
			net.kill(i)
			net.start(i, Options{Sources: Sources{Records: records, Summary: summary}})
		}
		net.router(1).MarkLeaving("e9", "")
		<-time.After(5 * time.Second)
		net.kill(0)
		var got []string
		o := Options{Callbacks: Callbacks{OnSummary: func(_ string, s []byte) { got = append(got, string(s)) }}}
		o.Self, o.VMList, o.Peer = member(0), net, &link{net: net, from: "r0"}
		o.Self.Incarnation = uint64(time.Now().UnixMilli())
		f := New(o)
		is.Equal(f.Handoff(t.Context()), nil)
		_, err := f.PullRecords(t.Context(), port.StreamConfig, 7, 10)
		is.True(errors.Is(err, ErrNoPeer))

		is.NoErr(f.Join(t.Context()))
		is.Equal(got, []string{"hot"})
		is.True(f.IsLeaving("e9", ""))
		b, err := f.PullRecords(t.Context(), port.StreamConfig, 7, 10)
		is.NoErr(err)
		is.Equal(b.Next, port.Offset(8))
		var expired *port.ExpiredError
		_, err = f.PullRecords(t.Context(), port.StreamConfig, 3, 10)
		is.True(errors.As(err, &expired))
		is.NoErr(net.router(1).Handoff(t.Context()))
	})
}

// Guards against values of peers that are lost, or retained after the peer has
// failed.
func TestPeerValues(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, net *network) {
		is := is.New(t)
		var mu sync.Mutex
		inFlight, changes, states := map[string]map[string]int{}, 0, map[string]string{}
		net.kill(0)
		net.start(0, Options{Callbacks: Callbacks{
			OnPeerInFlight: func(peer string, counts map[string]int) {
				mu.Lock()
				defer mu.Unlock()
				inFlight[peer] = counts
			},
			OnSummary: func(string, []byte) {
				mu.Lock()
				defer mu.Unlock()
				changes++
			},
			OnRouters: func(routers []membership.Router) {
				mu.Lock()
				defer mu.Unlock()
				for _, r := range routers {
					states[r.Name] = r.State.String()
				}
			},
		}})
		net.kill(1)
		net.start(1, Options{Sources: Sources{
			ConfigOffset:   func() port.Offset { return 4 },
			InFlight:       func() map[string]int { return map[string]int{"e1": 3, "e2": 0} },
			Demand:         func() map[string]float64 { return map[string]float64{"acme": 2.5} },
			SummaryChanges: func(int) []byte { return []byte("x") },
		}})
		<-time.After(10 * time.Second)
		is.Equal(net.router(0).Demand()["r1"], map[string]float64{"acme": 2.5})
		mu.Lock()
		is.Equal(inFlight["r1"], map[string]int{"e1": 3})
		is.True(changes > 0)
		is.Equal(states, map[string]string{"r1": "alive", "r2": "alive"})
		mu.Unlock()
		net.kill(1)
		<-time.After(40 * time.Second)
		_, known := net.router(0).Demand()["r1"]
		is.True(!known)
		mu.Lock()
		is.Equal(inFlight["r1"], nil)
		is.Equal(states, map[string]string{"r1": "dead", "r2": "alive"})
		mu.Unlock()
	})
}

// Guards against messages that exceed their bound when every source has more
// than fits, and against parts that crowd out others.
func TestComposeSharesTheBound(t *testing.T) {
	is := is.New(t)
	inFlight, demand := map[string]int{}, map[string]float64{}
	for i := range 100 {
		name := string(rune('a'+i%26)) + string(rune('a'+i/26))
		inFlight[name], demand[name] = i, float64(i)
	}
	f := New(Options{Self: member(0), MaxExchangeBytes: 500, Sources: Sources{
		InFlight:       func() map[string]int { return inFlight },
		Demand:         func() map[string]float64 { return demand },
		SummaryChanges: func(n int) []byte { return make([]byte, n) },
	}})
	e := f.compose("r1", nil)
	is.True(len(e.InFlight) > 5 && len(e.Demand) > 4 && len(e.Summary) > 40)
	is.Equal(e.InFlight[0].Count, 99)
	is.True(slices.IsSortedFunc(e.Demand, func(a, b port.AccountDemand) int { return int(b.Demand - a.Demand) }))
}

// Guards against polls of a long list by every router every few seconds.
func TestPollIntervalFollowsTheList(t *testing.T) {
	cases := map[string]struct {
		routers, vms   int
		shortest, most time.Duration
	}{
		"short list":                {7, 25, 5 * time.Second, 5 * time.Second},
		"list of 200 VMs":           {7, 200, 60 * time.Second, 70 * time.Second},
		"long list, many routers":   {540, 5640, 80 * time.Minute, 100 * time.Minute},
		"long list and few routers": {7, 5640, 70 * time.Second, 70 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var list port.VMSnapshot
			for i := range c.vms {
				vm := port.VM{
					Name: fmt.Sprintf("ledger-lm-%04d", i), Role: port.RoleEngine, Address: fmt.Sprintf("10.100.%d.%d:7000", i/250, i%250),
					Region: "nordhafen", AvailabilityZone: "nordhafen-1", State: port.VMLive,
				}
				if i < c.routers {
					vm.Role = port.RoleRouter
				}
				list.VMs = append(list.VMs, vm)
			}
			encoded, err := json.Marshal(list)
			is.NoErr(err)
			t.Logf("%d VMs are %d bytes", c.vms, len(encoded))
			f := New(Options{Self: port.Member{Name: "ledger-lm-0000"}, VMList: fixedList(list)})
			is.NoErr(f.poll(t.Context()))
			is.True(f.listBytes >= len(encoded)*9/10 && f.listBytes <= len(encoded)*11/10)
			is.True(f.pollInterval() >= c.shortest && f.pollInterval() <= c.most)
		})
	}
}

type fixedList port.VMSnapshot

func (l fixedList) List(context.Context) (port.VMSnapshot, error) { return port.VMSnapshot(l), nil }
