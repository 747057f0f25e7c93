package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against a fleet in which no router or every router reads the log, and against
// routers that keep pulling from a reader that has stopped.
func TestReadersOfAFleet(t *testing.T) {
	const n = minRelayFleetSize + 1
	inBubble(t, n, func(t *testing.T, net *network) {
		is := is.New(t)
		count := func() (readers int) {
			for i := range n {
				if f := net.router(i); f != nil && f.IsReader() {
					readers++
				}
			}
			return readers
		}
		is.Equal(count(), logReaders)
		_, ok, err := net.router(5).PullFromReader(context.Background(), port.StreamTargets, 1, 10)
		is.True(ok)
		is.True(err != nil) // these routers retain no records
		is.True(net.router(0).IsReader())
		net.kill(0)
		<-time.After(20 * time.Second)
		is.Equal(count(), logReaders) // another one has taken its place
		// Too few routers remain for some to read on behalf of the others.
		for _, i := range []int{1, 2} {
			net.kill(i)
		}
		<-time.After(20 * time.Second)
		is.Equal(count(), 0)
		_, ok, _ = net.router(6).PullFromReader(context.Background(), port.StreamTargets, 1, 10)
		is.True(!ok)
	})
}

// Guards against readers that a single failing zone takes away.
func TestReadersAreOfDifferentZones(t *testing.T) {
	member := func(name string) port.Member { return port.Member{Name: name, AvailabilityZone: name[:1]} }
	cases := map[string]struct {
		names []string
		want  []string
	}{
		"two zones":  {[]string{"a1", "a2", "b1"}, []string{"a1", "b1"}},
		"one zone":   {[]string{"a1", "a2", "a3"}, []string{"a1", "a2"}},
		"one router": {[]string{"a1"}, []string{"a1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var members []port.Member
			for _, n := range c.names {
				members = append(members, member(n))
			}
			var got []string
			for _, m := range firstOfZones(members, 2) {
				got = append(got, m.Name)
			}
			is.Equal(got, c.want)
		})
	}
}

// Guards against a fleet whose polls of the VM list grow with its size, and against routers
// that start together and wait for a whole interval until they know each other.
func TestListPollsOfAFleetAreBounded(t *testing.T) {
	is := is.New(t)
	f := New(Options{Self: port.Member{Name: "r0"}, Logger: slog.New(slog.DiscardHandler), ListInterval: 5 * time.Second,
		ListIntervalPerRouter: 1500 * time.Millisecond})
	is.Equal(f.pollInterval(), 5*time.Second)
	var members []port.Member
	for i := range 99 {
		members = append(members, port.Member{Name: fmt.Sprint("r", i+1), Address: fmt.Sprint("a:", i), Incarnation: 1})
	}
	f.merge(time.Now(), port.PeerExchange{From: members[0], Gossip: port.Gossip{Members: members}})
	is.Equal(f.pollInterval(), 150*time.Second)
}
