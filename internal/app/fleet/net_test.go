package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/vmlist"
)

// latency is the one-way delay of the simulated network.
const latency = 12 * time.Millisecond

// fault is what happens to a call.
type fault int

const (
	none fault = iota
	refused
	// silent calls get no response.
	silent
)

// network connects fleets without sockets, inside a synctest bubble.
type network struct {
	ctx  context.Context
	list *vmlist.List

	mu     sync.Mutex
	fleets map[string]*Fleet
	stop   map[string]context.CancelFunc
	fault  func(from, to string) fault
	// noList makes the VM list fail.
	noList bool
}

// inBubble runs a test with n routers that have been running for 30 s.
func inBubble(t *testing.T, n int, run func(t *testing.T, net *network)) {
	synctest.Test(t, func(t *testing.T) {
		net := &network{
			ctx:    t.Context(),
			list:   vmlist.New(port.SystemClock{}, time.Minute),
			fleets: map[string]*Fleet{},
			stop:   map[string]context.CancelFunc{},
		}
		net.setList(n, port.VMLive)
		for i := range n {
			net.start(i, Options{})
		}
		<-time.After(30 * time.Second)
		run(t, net)
		for _, stop := range net.stop {
			stop()
		}
		<-time.After(asyncTimeout) // lets messages in flight finish
		synctest.Wait()
	})
}

// setList sets the actual VMs: n routers and the engine "e1" in the given state.
func (n *network) setList(routers int, engine port.VMState) {
	vms := []port.VM{{Name: "e1", Role: port.RoleEngine, Address: "10.1.0.1:80", State: engine}}
	for i := range routers {
		self := member(i)
		vms = append(vms, port.VM{
			Name: self.Name, Role: port.RoleRouter, Address: self.Address, Region: self.Region,
			AvailabilityZone: self.AvailabilityZone, State: port.VMLive,
		})
	}
	n.list.Set(vms)
}

func member(i int) port.Member {
	return port.Member{
		Name: fmt.Sprintf("r%d", i), Address: fmt.Sprintf("10.0.0.%d:7000", i),
		Region: fmt.Sprintf("region-%d", i%3), AvailabilityZone: "a",
	}
}

// start runs router i as a new process.
func (n *network) start(i int, o Options) *Fleet {
	o.Self = member(i)
	o.Self.Incarnation = uint64(time.Now().UnixMilli())
	o.Rand = rand.New(rand.NewPCG(uint64(i), 1))
	o.VMList = n
	o.Peer = &link{net: n, from: o.Self.Name}
	f := New(o)
	ctx, cancel := context.WithCancel(n.ctx)
	n.mu.Lock()
	n.fleets[o.Self.Address], n.stop[o.Self.Address] = f, cancel
	n.mu.Unlock()
	go func() { _ = f.Run(ctx) }()
	return f
}

func (n *network) kill(i int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	address := member(i).Address
	n.stop[address]()
	delete(n.fleets, address)
}

func (n *network) router(i int) *Fleet {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleets[member(i).Address]
}

func (n *network) setFault(f func(from, to string) fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

// List implements port.VMList.
func (n *network) List(context.Context) (port.VMSnapshot, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.noList {
		return port.VMSnapshot{}, &port.UnavailableError{Peer: "VM list"}
	}
	return n.list.Served(), nil
}

// allAlive checks that all routers see all others alive.
func (n *network) allAlive(t *testing.T) {
	t.Helper()
	for i := range routers {
		for j := range routers {
			if i != j {
				is.New(t).Equal(n.state(i, j), "alive")
			}
		}
	}
}

// state returns the state of router j as seen by router i.
func (n *network) state(i, j int) string {
	for _, r := range n.router(i).Routers() {
		if r.Name == member(j).Name {
			return r.State.String()
		}
	}
	return "unknown"
}

// link is one router's port.Peer.
type link struct {
	net  *network
	from string
}

// reach simulates a call: it waits for the round trip and returns the router at
// the address, or the error of an injected fault.
func (l *link) reach(ctx context.Context, address string) (*Fleet, error) {
	l.net.mu.Lock()
	f, kind := l.net.fleets[address], none
	if f != nil && l.net.fault != nil {
		kind = l.net.fault(l.from, f.o.Self.Name)
	}
	l.net.mu.Unlock()
	wait := time.After(2 * latency)
	if kind == silent {
		wait = nil
	}
	select {
	case <-wait:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if f == nil || kind == refused {
		return nil, &port.UnavailableError{Peer: address}
	}
	return f, nil
}

func (l *link) Exchange(ctx context.Context, address string, e port.PeerExchange) (port.PeerExchange, error) {
	f, err := l.reach(ctx, address)
	if err != nil {
		return port.PeerExchange{}, err
	}
	return f.HandleExchange(ctx, e)
}

func (l *link) PullRecords(ctx context.Context, address, stream string, from port.Offset, limit int) (port.Batch, error) {
	f, err := l.reach(ctx, address)
	if err != nil {
		return port.Batch{}, err
	}
	return f.HandlePullRecords(ctx, stream, from, limit)
}

func (l *link) Summary(ctx context.Context, address string) (port.PeerSummary, error) {
	f, err := l.reach(ctx, address)
	if err != nil {
		return port.PeerSummary{}, err
	}
	return f.HandleSummary(ctx)
}

func (l *link) Handoff(ctx context.Context, address string, from port.Member, summary []byte) error {
	f, err := l.reach(ctx, address)
	if err != nil {
		return err
	}
	return f.HandleHandoff(ctx, from, summary)
}

func (l *link) Reserve(ctx context.Context, address, target string, fingerprint uint64, release bool) (bool, error) {
	f, err := l.reach(ctx, address)
	if err != nil {
		return false, err
	}
	return f.HandleReserve(target, fingerprint, release), nil
}
