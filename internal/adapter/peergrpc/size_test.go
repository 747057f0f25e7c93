package peergrpc

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"mimosaseam.example/mimosaseam/internal/app/fleet"
	"mimosaseam.example/mimosaseam/internal/port"
)

func insecureOption() grpc.DialOption {
	return grpc.WithTransportCredentials(insecure.NewCredentials())
}

// fullFleet returns a router that knows n others and whose sources each hold more
// data than fits into a message.
func fullFleet(t testing.TB, n int) *fleet.Fleet {
	t.Helper()
	inFlight, demand := map[string]int{}, map[string]float64{}
	for i := range 100 {
		inFlight[fmt.Sprintf("ledger-lm-%04d", i)] = i + 1
		demand[fmt.Sprintf("account-%04d", i)] = float64(i + 1)
	}
	f := fleet.New(fleet.Options{
		Self: member(0),
		Rand: rand.New(rand.NewPCG(1, 2)),
		Sources: fleet.Sources{
			ConfigOffset:   func() port.Offset { return 8_000_000 },
			InFlight:       func() map[string]int { return inFlight },
			Demand:         func() map[string]float64 { return demand },
			SummaryChanges: func(n int) []byte { return make([]byte, n) },
		},
	})
	for i := 1; i <= n; i++ {
		exchange(t, f, i)
	}
	for i := range 20 {
		f.MarkLeaving(fmt.Sprintf("ledger-lm-%04d", i), "01890a5d-ac96-774b-bcce-b302099a8057")
		f.ReportFingerprint(fmt.Sprintf("%08d", i))
	}
	return f
}

func member(i int) port.Member {
	return port.Member{
		Name: fmt.Sprintf("router-%04d", i), Address: fmt.Sprintf("10.100.%d.%d:7000", i/250, i%250), Region: "nordhafen",
		AvailabilityZone: "nordhafen-1", Incarnation: 1_767_225_600_000 + uint64(i),
	}
}

func exchange(t testing.TB, f *fleet.Fleet, i int) port.PeerExchange {
	t.Helper()
	e, err := f.HandleExchange(context.Background(), port.PeerExchange{From: member(i)})
	is.New(t).NoErr(err)
	return e
}

// Guards against messages whose encoded size exceeds the bound.
func TestExchangeStaysUnderItsBound(t *testing.T) {
	for routers, bound := range map[int]int{6: 1200, 539: 280} {
		t.Run(fmt.Sprint(routers+1), func(t *testing.T) {
			f := fullFleet(t, routers)
			largest := 0
			for round := range 50 {
				largest = max(largest, EncodedSize(exchange(t, f, 1+round%routers)))
			}
			t.Logf("%d routers: largest message %d bytes", routers+1, largest)
			is.New(t).True(largest <= bound)
		})
	}
}

// BenchmarkExchange sends full messages over loopback with mutual TLS.
// wire-B/op counts all bytes of the connection in both directions without the
// headers of TCP and IP; B/s/node doubles it, because a router starts one
// exchange a second and responds to one on average.
func BenchmarkExchange(b *testing.B) {
	for _, routers := range []int{6, 539} {
		b.Run(fmt.Sprint(routers+1), func(b *testing.B) {
			server, clientCreds, _ := mutualTLS(b)
			f := fullFleet(b, routers)
			address, listener := serve(b, f, server)
			c := NewClient(clientCreds)
			defer c.Close()
			request := exchange(b, fullFleet(b, routers), 1)
			request.From = port.Member{Name: member(1).Name, Incarnation: member(1).Incarnation}
			run := func() {
				_, err := c.Exchange(b.Context(), address, request)
				is.New(b).NoErr(err)
			}
			run()
			before := listener.bytes.Load()
			for b.Loop() {
				run()
			}
			wire := float64(listener.bytes.Load()-before) / float64(b.N)
			b.ReportMetric(float64(EncodedSize(request)), "request-B")
			b.ReportMetric(float64(EncodedSize(exchange(b, f, 1))), "answer-B")
			b.ReportMetric(wire, "wire-B/op")
			b.ReportMetric(2*wire, "B/s/node")
		})
	}
}

// BenchmarkFirstExchange includes the handshake of a new connection.
func BenchmarkFirstExchange(b *testing.B) {
	server, clientCreds, _ := mutualTLS(b)
	address, listener := serve(b, fullFleet(b, 539), server)
	request := port.PeerExchange{From: member(1), Urgent: true}
	for b.Loop() {
		c := NewClient(clientCreds)
		_, err := c.Exchange(b.Context(), address, request)
		is.New(b).NoErr(err)
		c.Close()
	}
	b.ReportMetric(float64(listener.bytes.Load())/float64(b.N), "wire-B/op")
}

// BenchmarkUrgent sends the announcement of one leaving target.
func BenchmarkUrgent(b *testing.B) {
	server, clientCreds, _ := mutualTLS(b)
	f := fullFleet(b, 539)
	address, listener := serve(b, f, server)
	c := NewClient(clientCreds)
	defer c.Close()
	message := port.PeerExchange{
		From:   port.Member{Name: member(1).Name, Incarnation: member(1).Incarnation},
		Urgent: true,
		Gossip: port.Gossip{Targets: []port.TargetMark{{Target: "ledger-lm-0001", Version: 1_767_225_600_000}}},
	}
	run := func() {
		_, err := c.Exchange(b.Context(), address, message)
		is.New(b).NoErr(err)
	}
	run()
	before := listener.bytes.Load()
	for b.Loop() {
		run()
	}
	b.ReportMetric(float64(listener.bytes.Load()-before)/float64(b.N), "wire-B/op")
}
