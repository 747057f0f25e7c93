// Package conntrack lets a stand-in control its server's connections: it can drop
// all of them, as a crash does, or permanently stop output on the open ones.
package conntrack

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const readHeaderTimeout = 30 * time.Second

type contextKey struct{}

type conn struct {
	net    net.Conn
	silent atomic.Bool
}

// Tracker tracks the open connections of one server.
type Tracker struct {
	mu    sync.Mutex
	conns map[net.Conn]*conn
}

// Server returns a server for the handler whose connections are tracked.
func (t *Tracker) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext:       t.connContext,
		ConnState:         t.connState,
	}
}

func (t *Tracker) connContext(ctx context.Context, c net.Conn) context.Context {
	entry := &conn{net: c}
	t.mu.Lock()
	if t.conns == nil {
		t.conns = make(map[net.Conn]*conn)
	}
	t.conns[c] = entry
	t.mu.Unlock()
	return context.WithValue(ctx, contextKey{}, entry)
}

func (t *Tracker) connState(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	t.mu.Lock()
	delete(t.conns, c)
	t.mu.Unlock()
}

// Drop closes all connections except the one that ctx belongs to.
func (t *Tracker) Drop(ctx context.Context) {
	own := fromContext(ctx)
	for _, c := range t.open() {
		if c != own {
			_ = c.net.Close()
		}
	}
}

// Silence marks all open connections except the one that ctx belongs to as
// silent: handlers must not write to them again.
func (t *Tracker) Silence(ctx context.Context) {
	own := fromContext(ctx)
	for _, c := range t.open() {
		if c != own {
			c.silent.Store(true)
		}
	}
}

func (t *Tracker) open() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*conn, 0, len(t.conns))
	for _, c := range t.conns {
		list = append(list, c)
	}
	return list
}

// Silent reports whether the connection of this request context was silenced.
func Silent(ctx context.Context) bool {
	c := fromContext(ctx)
	return c != nil && c.silent.Load()
}

func fromContext(ctx context.Context) *conn {
	c, _ := ctx.Value(contextKey{}).(*conn)
	return c
}
