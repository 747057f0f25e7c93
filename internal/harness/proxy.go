package harness

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is the direction of data on a connection.
type Direction int

// The directions of data on a connection.
const (
	ToServer Direction = iota
	ToClient
)

// overlapBytes is the number of forwarded bytes retained per direction, so that a
// pattern split across two reads is found.
const overlapBytes = 64

// Breakpoint holds back the first matching data on a set of proxies until Release.
type Breakpoint struct {
	// Request is a prefix of the connection's current request line.
	Request string
	// Direction and Pattern select the data to hold. An empty pattern matches any data.
	Direction Direction
	Pattern   string
	// Marker must be contained in the request, whatever the direction of the data.
	Marker string

	used        atomic.Bool
	hit         chan Hit
	release     chan struct{}
	releaseOnce sync.Once
}

// Hit identifies the connection on which a Breakpoint holds data.
type Hit struct {
	Proxy *Proxy
	conn  *connection
}

// NewBreakpoint returns a Breakpoint to be added to proxies.
func NewBreakpoint(request string, direction Direction, pattern, marker string) *Breakpoint {
	return &Breakpoint{Request: request, Direction: direction, Pattern: pattern, Marker: marker,
		hit: make(chan Hit, 1), release: make(chan struct{})}
}

// Hit returns a channel that receives the Hit once data is held.
func (b *Breakpoint) Hit() <-chan Hit { return b.hit }

// Release forwards the held data, or disables a Breakpoint that was not hit.
func (b *Breakpoint) Release() {
	b.used.Store(true)
	b.releaseOnce.Do(func() { close(b.release) })
}

// Proxy is a TCP proxy that injects faults.
type Proxy struct {
	target      string
	address     string
	mu          sync.Mutex
	changed     *sync.Cond
	listener    net.Listener
	conns       map[*connection]bool
	breakpoints []*Breakpoint
	cut         [2]bool
	delay       time.Duration
	loseNext    int // number of responses still to be lost
}

// connection is one proxied connection.
type connection struct {
	p            *Proxy
	dest         [2]net.Conn // the connection that data of each direction is written to
	request      []byte      // the current request, as far as it was read
	tail         [2][]byte
	silent       bool
	loseResponse bool
	closed       bool
	closeOnce    sync.Once
	done         chan struct{}
}

// NewProxy starts a proxy on a free port of the host.
func NewProxy(host, target string) (*Proxy, error) {
	p := &Proxy{target: target, conns: map[*connection]bool{}, address: net.JoinHostPort(host, "0")}
	p.changed = sync.NewCond(&p.mu)
	if err := p.Up(); err != nil {
		return nil, err
	}
	return p, nil
}

// Address returns the address that clients connect to.
func (p *Proxy) Address() string { return p.address }

// Up starts listening. After Down it listens at the same address again.
func (p *Proxy) Up() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return &StartError{Component: "proxy", Cause: err}
	}
	p.mu.Lock()
	p.listener, p.address = l, l.Addr().String()
	p.mu.Unlock()
	go p.accept(l)
	return nil
}

// Down refuses new connections and closes the open ones, like a server that
// has exited.
func (p *Proxy) Down() {
	if p == nil {
		return // it was never started
	}
	p.mu.Lock()
	_ = p.listener.Close()
	conns := p.openConns()
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

func (p *Proxy) openConns() []*connection {
	var out []*connection
	for c := range p.conns {
		out = append(out, c)
	}
	return out
}

// set applies a change under the lock and wakes the goroutines waiting on changed.
func (p *Proxy) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.changed.Broadcast()
}

// Cut holds back all data in the given directions, on open and new connections.
func (p *Proxy) Cut(directions ...Direction) {
	p.set(func() {
		for _, d := range directions {
			p.cut[d] = true
		}
	})
}

// Silence holds back all data on the currently open connections until they close.
func (p *Proxy) Silence() {
	p.set(func() {
		for c := range p.conns {
			c.silent = true
		}
	})
}

// Slow delays each read by d.
func (p *Proxy) Slow(d time.Duration) { p.set(func() { p.delay = d }) }

// LoseResponse closes the connection of the hit instead of forwarding the server's
// response. Without a hit on this proxy it applies to the next response.
func (p *Proxy) LoseResponse(h Hit) {
	p.set(func() {
		if h.Proxy == p && h.conn != nil {
			h.conn.loseResponse = true
			return
		}
		p.loseNext++
	})
}

// Heal ends all faults. Silenced connections do not recover and are closed.
func (p *Proxy) Heal() {
	var silent []*connection
	p.set(func() {
		p.cut, p.delay, p.loseNext = [2]bool{}, 0, 0
		for c := range p.conns {
			if c.silent {
				silent = append(silent, c)
			}
		}
	})
	for _, c := range silent {
		c.close()
	}
}

// AddBreakpoint adds a Breakpoint to the proxy.
func (p *Proxy) AddBreakpoint(b *Breakpoint) {
	p.set(func() { p.breakpoints = append(p.breakpoints, b) })
}

func (p *Proxy) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

func (p *Proxy) connect(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &connection{p: p, dest: [2]net.Conn{ToServer: server, ToClient: client}, done: make(chan struct{})}
	p.set(func() { p.conns[c] = true })
	go c.pump(ToServer, client)
	go c.pump(ToClient, server)
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		c.p.set(func() { c.closed = true; delete(c.p.conns, c) })
		_ = c.dest[ToServer].Close()
		_ = c.dest[ToClient].Close()
	})
}

func (c *connection) pump(d Direction, from net.Conn) {
	defer c.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			c.recordRequest(d, buffer[:n])
			c.hold(d, buffer[:n])
			if !c.gate(d, true) {
				return
			}
			if _, err := c.dest[d].Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			c.gate(d, false)
			return
		}
	}
}

func (c *connection) recordRequest(d Direction, data []byte) {
	if d != ToServer {
		return
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	for _, method := range []string{"GET ", "POST ", "PUT ", "DELETE "} {
		if bytes.HasPrefix(data, []byte(method)) {
			c.request = nil
		}
	}
	c.request = append(c.request, data...)
}

// hold blocks while a Breakpoint holds the data.
func (c *connection) hold(d Direction, data []byte) {
	window := append(c.tail[d], data...)
	c.tail[d] = bytes.Clone(window[max(0, len(window)-overlapBytes):])
	c.p.mu.Lock()
	breakpoints, request := c.p.breakpoints, c.request
	c.p.mu.Unlock()
	for _, b := range breakpoints {
		if b.Direction != d || !bytes.HasPrefix(request, []byte(b.Request)) ||
			!bytes.Contains(window, []byte(b.Pattern)) || !bytes.Contains(request, []byte(b.Marker)) {
			continue
		}
		if b.used.Swap(true) {
			continue
		}
		b.hit <- Hit{Proxy: c.p, conn: c}
		select {
		case <-b.release:
		case <-c.done:
		}
	}
}

// gate blocks while the direction is cut or the connection silenced, and reports
// whether to forward. A lost response affects data only, not the end of the connection.
func (c *connection) gate(d Direction, data bool) bool {
	p := c.p
	p.mu.Lock()
	delay := p.delay
	for (p.cut[d] || c.silent) && !c.closed {
		p.changed.Wait()
	}
	lost := c.loseResponse
	if data && d == ToClient && !lost && p.loseNext > 0 {
		p.loseNext--
		lost = true
	}
	open := !c.closed
	p.mu.Unlock()
	if delay > 0 && data {
		select {
		case <-time.After(delay):
		case <-c.done:
		}
	}
	return open && !(data && d == ToClient && lost)
}
