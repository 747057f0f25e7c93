package main

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"mimosaseam.example/mimosaseam/internal/adapter/clientconn"
	"mimosaseam.example/mimosaseam/internal/core/membudget"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// operatorFDs is the share of the file descriptors for the clients of one port.
	operatorFDs = 0.125
	// operatorGiveWay is how long a connection to such a port may stall while others wait for its
	// place. A load balancer that waits behind a crowd takes the router out of use.
	operatorGiveWay = 100 * time.Millisecond
	// operatorHeadBytes bounds the head of a request, operatorHeadTimeout the time for it.
	operatorHeadBytes   = 16 << 10
	operatorHeadTimeout = 5 * time.Second
	// operatorWriteTimeout bounds a response, from the end of the request's head on.
	operatorWriteTimeout = 30 * time.Second
)

// operatorPort is a port for operators or load balancers, whose clients are counted apart from
// callers: neither take the memory or the connections of the other.
type operatorPort struct {
	name   string
	budget *membudget.Budget
	log    *slog.Logger
	server *http.Server
}

// newOperatorPort returns a port of a process with this memory. Its connections are bounded by
// the descriptors; 0: only by the memory.
func newOperatorPort(name string, memoryMB float64, descriptors int, handler http.Handler, log *slog.Logger) *operatorPort {
	p := &operatorPort{name: name, log: log.With("port", name)}
	p.budget = membudget.New(membudget.Options{Bytes: int64(memoryShare(memoryMB, operatorFraction)), Connections: int(operatorFDs * float64(descriptors)),
		GiveWayAfter: operatorGiveWay, WriteGiveWayAfter: operatorGiveWay, Clock: port.SystemClock{}})
	p.server = &http.Server{Handler: handler, ReadHeaderTimeout: operatorHeadTimeout, WriteTimeout: operatorWriteTimeout,
		MaxHeaderBytes: operatorHeadBytes, ConnState: clientconn.OnStateChange,
		ConnContext:                  clientconn.WithConn,
		ErrorLog:                     slog.NewLogLogger(p.log.Handler(), slog.LevelWarn),
		DisableGeneralOptionsHandler: true}
	// Requests come seconds apart. A client that sends them without end, or keeps connections,
	// would cost others their turn.
	p.server.SetKeepAlivesEnabled(false)
	return p
}

// listen makes the connections of a listener hold their memory within the port's budget.
func (p *operatorPort) listen(l net.Listener) net.Listener {
	limits := clientconn.Limits{HeadBytes: operatorHeadBytes, HeadTime: operatorHeadTimeout}
	return clientconn.Listen(l, clientconn.Options{Budget: p.budget, Limits: func() clientconn.Limits { return limits }, Logger: p.log})
}

// operatorMemory returns what is held for the clients of each port.
func operatorMemory(ports ...*operatorPort) map[string]membudget.Stats {
	out := map[string]membudget.Stats{}
	for _, p := range ports {
		out[p.name] = p.budget.Stats()
	}
	return out
}
