package harness

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is a direction of a connection.
type Direction int

// The directions of a connection.
const (
	ToServer Direction = iota
	ToClient
)

// tailKept is enough of the bytes passed on before to find a pattern that two
// reads share.
const tailKept = 64

// Breakpoint holds the first matching data of a set of proxies back until Release.
type Breakpoint struct {
	// Request is the start of the request line that the connection carries.
	Request string
	// Direction and Pattern say which data is held; no pattern matches any data.
	Direction Direction
	Pattern   string
	// Marker is contained in the request, whatever the direction of the data.
	Marker string

	taken   atomic.Bool
	hit     chan Hit
	release chan struct{}
	freed   sync.Once
}

// Hit says where a Break holds data.
type Hit struct {
	Proxy *Proxy
	conn  *link
}

// NewBreakpoint returns a Break to be set on proxies.
func NewBreakpoint(request string, direction Direction, pattern, marker string) *Breakpoint {
	return &Breakpoint{Request: request, Direction: direction, Pattern: pattern, Marker: marker,
		hit: make(chan Hit, 1), release: make(chan struct{})}
}

// Hit gives the place once data is held.
func (b *Breakpoint) Hit() <-chan Hit { return b.hit }

// Release lets the data pass, or takes a Break that was not hit out of use.
func (b *Breakpoint) Release() {
	b.taken.Store(true)
	b.freed.Do(func() { close(b.release) })
}

// Proxy is a TCP proxy with faults.
type Proxy struct {
	target   string
	address  string
	mu       sync.Mutex
	changed  *sync.Cond
	listener net.Listener
	links    map[*link]bool
	breaks   []*Breakpoint
	cut      [2]bool
	delay    time.Duration
	loseNext int
}

// link is one proxied connection.
type link struct {
	p        *Proxy
	ends     [2]net.Conn // the ends that data in each direction is written to
	request  []byte      // the last request, as far as it was read
	tail     [2][]byte
	silent   bool
	loses    bool
	closed   bool
	shutdown sync.Once
	done     chan struct{}
}

// NewProxy starts a proxy on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	p := &Proxy{target: target, links: map[*link]bool{}, address: "127.0.0.1:0"}
	p.changed = sync.NewCond(&p.mu)
	return p, p.Up()
}

// Address is where clients connect.
func (p *Proxy) Address() string { return p.address }

// Up listens, again after Down at the same address.
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
// has ended.
func (p *Proxy) Down() {
	p.mu.Lock()
	_ = p.listener.Close()
	links := p.open()
	p.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func (p *Proxy) open() []*link {
	var out []*link
	for l := range p.links {
		out = append(out, l)
	}
	return out
}

// set changes the faults and wakes what waits for a change.
func (p *Proxy) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.changed.Broadcast()
}

// Cut holds back all data in the given directions, on new connections too.
func (p *Proxy) Cut(directions ...Direction) {
	p.set(func() {
		for _, d := range directions {
			p.cut[d] = true
		}
	})
}

// Silence holds back all data of the connections that are open, for good.
func (p *Proxy) Silence() {
	p.set(func() {
		for l := range p.links {
			l.silent = true
		}
	})
}

// Slow delays each read by d.
func (p *Proxy) Slow(d time.Duration) { p.set(func() { p.delay = d }) }

// LoseResponse closes the connection of the hit instead of passing on what the
// server answers; without a hit it acts on the next answer.
func (p *Proxy) LoseResponse(h Hit) {
	p.set(func() {
		if h.Proxy == p && h.conn != nil {
			h.conn.loses = true
			return
		}
		p.loseNext++
	})
}

// Heal ends all faults but those of silent connections, which it closes.
func (p *Proxy) Heal() {
	var silent []*link
	p.set(func() {
		p.cut, p.delay, p.loseNext = [2]bool{}, 0, 0
		for l := range p.links {
			if l.silent {
				silent = append(silent, l)
			}
		}
	})
	for _, l := range silent {
		l.close()
	}
}

// AddBreakpoint adds a Break.
func (p *Proxy) AddBreakpoint(b *Breakpoint) { p.set(func() { p.breaks = append(p.breaks, b) }) }

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
	l := &link{p: p, ends: [2]net.Conn{ToServer: server, ToClient: client}, done: make(chan struct{})}
	p.set(func() { p.links[l] = true })
	go l.pump(ToServer, client)
	go l.pump(ToClient, server)
}

func (l *link) close() {
	l.shutdown.Do(func() {
		close(l.done)
		l.p.set(func() { l.closed = true; delete(l.p.links, l) })
		_ = l.ends[ToServer].Close()
		_ = l.ends[ToClient].Close()
	})
}

func (l *link) pump(d Direction, from net.Conn) {
	defer l.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.note(d, buffer[:n])
			l.hold(d, buffer[:n])
			if !l.gate(d, true) {
				return
			}
			if _, err := l.ends[d].Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			l.gate(d, false)
			return
		}
	}
}

func (l *link) note(d Direction, data []byte) {
	if d != ToServer {
		return
	}
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	for _, method := range []string{"GET ", "POST ", "PUT ", "DELETE "} {
		if bytes.HasPrefix(data, []byte(method)) {
			l.request = nil
		}
	}
	l.request = append(l.request, data...)
}

// hold waits while a Break holds the data.
func (l *link) hold(d Direction, data []byte) {
	seen := append(l.tail[d], data...)
	l.tail[d] = bytes.Clone(seen[max(0, len(seen)-tailKept):])
	l.p.mu.Lock()
	breaks, request := l.p.breaks, l.request
	l.p.mu.Unlock()
	for _, b := range breaks {
		if b.Direction != d || !bytes.HasPrefix(request, []byte(b.Request)) ||
			!bytes.Contains(seen, []byte(b.Pattern)) || !bytes.Contains(request, []byte(b.Marker)) {
			continue
		}
		if b.taken.Swap(true) {
			continue
		}
		b.hit <- Hit{Proxy: l.p, conn: l}
		select {
		case <-b.release:
		case <-l.done:
		}
	}
}

// gate waits while data may not pass, and reports whether it may then. Losing
// an answer concerns data only, not the end of the connection.
func (l *link) gate(d Direction, data bool) bool {
	p := l.p
	p.mu.Lock()
	delay := p.delay
	for (p.cut[d] || l.silent) && !l.closed {
		p.changed.Wait()
	}
	lost := l.loses
	if data && d == ToClient && !lost && p.loseNext > 0 {
		p.loseNext--
		lost = true
	}
	open := !l.closed
	p.mu.Unlock()
	if delay > 0 && data {
		select {
		case <-time.After(delay):
		case <-l.done:
		}
	}
	return open && !(data && d == ToClient && lost)
}
