package peergrpc

import (
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
)

// maxConnections bounds the pooled connections: 8 gossip neighbours, and others for
// pulls, handoffs and former neighbours.
const maxConnections = 16

// ErrClosed means that the client was closed.
var ErrClosed = eris.New("the client is closed")

// connection is a gRPC connection that is closed once it was dropped from the pool
// and its last call has ended.
type connection struct {
	cc      *grpc.ClientConn
	address string
	calls   int
	dropped bool
	// lastUse orders connections by their last use.
	lastUse uint64
	// lateDraws counts the draws in a row that timed out.
	lateDraws atomic.Int32
}

type pool struct {
	options []grpc.DialOption

	mu     sync.Mutex
	conns  map[string]*connection
	uses   uint64
	closed bool
}

func newPool(options ...grpc.DialOption) *pool {
	return &pool{options: options, conns: map[string]*connection{}}
}

// get returns a connection to the address, which the caller must return with put.
func (p *pool) get(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	c := p.conns[address]
	if c == nil {
		cc, err := grpc.NewClient("passthrough:///"+address, p.options...)
		if err != nil {
			return nil, eris.Wrap(err, "invalid peer address")
		}
		c = &connection{cc: cc, address: address}
		p.conns[address] = c
	}
	p.uses++
	c.lastUse = p.uses
	c.calls++
	p.evict()
	return c, nil
}

func (p *pool) put(c *connection, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	if broken {
		p.drop(c)
	} else {
		p.release(c)
	}
}

// evict drops the least recently used connections.
func (p *pool) evict() {
	for len(p.conns) > maxConnections {
		var oldest *connection
		for _, c := range p.conns {
			if oldest == nil || c.lastUse < oldest.lastUse {
				oldest = c
			}
		}
		p.drop(oldest)
	}
}

func (p *pool) drop(c *connection) {
	if p.conns[c.address] == c {
		delete(p.conns, c.address)
	}
	c.dropped = true
	p.release(c)
}

func (p *pool) release(c *connection) {
	if c.dropped && c.calls == 0 {
		_ = c.cc.Close()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		p.drop(c)
	}
}
