// Package membudget decides what a process holds for its clients: one budget for their
// connections, the heads and bodies of their requests, and the responses that are buffered for
// them. A Holder is one connection with all of that. When room is short, the holder that has
// made no progress for longest gives way.
package membudget

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ConnectionBytes is what a connection costs without a request: the stack of its
	// goroutine, the server's read and write buffers of 4 KiB each, and its records, 20 KiB
	// together, and 24 KiB that the kernel holds of what was sent and not read.
	ConnectionBytes int64 = 44 << 10
	// smallBytes is what a holder may have beside its connection and still take from the
	// reserve: a head and a body of ordinary size.
	smallBytes = 32 << 10
	// reserveDivisor gives a quarter of the budget to holders that have little.
	reserveDivisor = 4
	// connectionsDivisor gives half of the budget to connections: those that a crowd opens
	// leave the other half to requests.
	connectionsDivisor = 2
	// giveWayAfter is the default of Options.GiveWayAfter. A client within its limits sends a
	// head in less, and a byte of a body far more often.
	giveWayAfter = time.Second
	// writeGiveWayAfter is that of Options.WriteGiveWayAfter, for a client that does not take its
	// response: over a slow link, one write takes longer than one read.
	writeGiveWayAfter = 3 * time.Second
	// placesAtOnce is the number of stalled connections that give way to a new one.
	placesAtOnce = 16
	// searchInterval is the time between two searches for a holder that gives way when the last
	// one found none, and between two signals to those that wait for memory. In a crowd both
	// would otherwise be done for each request for memory, over all holders.
	searchInterval = 10 * time.Millisecond
)

// Kind is what memory is held for.
type Kind int

// The kinds of memory.
const (
	KindConnection Kind = iota
	KindHead
	KindBody
	KindReply
	kinds
)

var kindNames = [kinds]string{"connections", "heads", "bodies", "replies"}

// Phase is what a holder does.
type Phase int32

// The phases of a holder.
const (
	// PhaseIdle waits for a request, of which nothing has arrived.
	PhaseIdle Phase = iota
	// PhaseNew is PhaseIdle on a connection without a request so far.
	PhaseNew
	// PhaseHead and PhaseBody read a request.
	PhaseHead
	PhaseBody
	// PhaseRunning has a complete request, which never gives way.
	PhaseRunning
	// PhaseWriting waits for the client to take a part of the response.
	PhaseWriting
)

// Clock tells the time.
type Clock interface{ Now() time.Time }

// Options are the bounds of a Budget.
type Options struct {
	// Bytes is the size of the budget.
	Bytes int64
	// Connections bounds the holders; 0: only their bytes do.
	Connections int
	// GiveWayAfter is how long a holder that reads a request, WriteGiveWayAfter how long one that
	// writes a response, must have made no progress to give way. 0: 1 s and 3 s.
	GiveWayAfter, WriteGiveWayAfter time.Duration
	Clock                           Clock
}

// Budget is the memory held for all clients. It is safe for concurrent use.
type Budget struct {
	Options
	epoch time.Time
	held  atomic.Int64
	kinds [kinds]atomic.Int64
	// oversize is the holder that may exceed the budget, because its request would not fit
	// into an empty one.
	oversize atomic.Pointer[Holder]
	// waiting counts the waiters for freed.
	waiting atomic.Int64
	closed  atomic.Int64

	mu      sync.Mutex
	holders map[*Holder]struct{}
	// leaving is the sum of what holders have that gave way and still have to return it.
	leaving int64
	freed   chan struct{}
	// searched is when the last search found nobody, for holders that are small and others, and
	// signalled when the last signal was sent, by now.
	searched  [2]int64
	signalled int64
}

// New returns an empty budget.
func New(o Options) *Budget {
	most := max(1, int(o.Bytes/connectionsDivisor/ConnectionBytes))
	if o.Connections <= 0 || o.Connections > most {
		o.Connections = most
	}
	if o.GiveWayAfter <= 0 {
		o.GiveWayAfter = giveWayAfter
	}
	if o.WriteGiveWayAfter <= 0 {
		o.WriteGiveWayAfter = writeGiveWayAfter
	}
	b := &Budget{Options: o, epoch: o.Clock.Now(), holders: map[*Holder]struct{}{}, freed: make(chan struct{}), signalled: -int64(searchInterval)}
	b.searched = [2]int64{-int64(searchInterval), -int64(searchInterval)}
	return b
}

func (b *Budget) now() int64 { return int64(b.Clock.Now().Sub(b.epoch)) }

// Result is the answer to a request for memory.
type Result int

// The answers to a request for memory.
const (
	// Granted means that the memory is taken.
	Granted Result = iota
	// Short means that there is no room now. The caller may ask again after Freed.
	Short
	// Lost means that the holder has given way and must return what it has.
	Lost
)

// Open returns a holder for a new connection, which costs extra bytes beside ConnectionBytes, or
// nil when there is no room for one now.
// giveWay ends the holder's phase and reports whether it could: the holder must then be closed
// soon. It is called with the budget locked, and must not call it.
func (b *Budget) Open(extra int64, giveWay func(Phase) bool) *Holder {
	base := ConnectionBytes + extra
	b.mu.Lock()
	defer b.mu.Unlock()
	full := len(b.holders) >= b.Connections || len(b.holders) > 0 && b.kinds[KindConnection].Load()+base > b.Bytes/connectionsDivisor
	if full || b.held.Load()+base > b.Bytes {
		b.makeRoom(nil, base, full)
		return nil
	}
	h := &Holder{b: b, base: base, giveWay: giveWay}
	h.add(KindConnection, base)
	h.Enter(PhaseNew)
	b.holders[h] = struct{}{}
	return h
}

// Freed returns a channel that is closed when memory is returned, and a function that must be
// called after the wait.
func (b *Budget) Freed() (freed <-chan struct{}, done func()) {
	b.waiting.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.freed, func() { b.waiting.Add(-1) }
}

func (b *Budget) signal() {
	if b.waiting.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if time.Duration(now-b.signalled) < searchInterval {
		return // they ask again by themselves
	}
	b.signalled = now
	close(b.freed)
	b.freed = make(chan struct{})
}

// makeRoom lets holders give way until bytes are free once they have returned what they have,
// or nobody else may give way. b.mu must be held. connection asks for the place of one
// connection.
func (b *Budget) makeRoom(asking *Holder, bytes int64, connection bool) {
	small := asking == nil || asking.isSmall(bytes)
	class := 0
	if small {
		class = 1
	}
	if time.Duration(b.now()-b.searched[class]) < searchInterval {
		return
	}
	room := b.room(small) + b.leaving
	// Of stalled connections, several give way to a new one: it is rarely the last of a crowd.
	places := int64(0)
	if connection {
		places = placesAtOnce * ConnectionBytes
	}
	for room < bytes || b.leaving < places {
		h := b.longestWithoutProgress(asking, small)
		if h == nil {
			b.searched[class] = b.now()
			return
		}
		phase := Phase(h.phase.Load())
		if phase == PhaseIdle && room >= bytes && b.leaving > 0 {
			return // idle connections are closed one by one
		}
		had := h.total.Load() // it may be closed at once, and waits for the lock then
		if !h.giveWay(phase) {
			return // it has made progress meanwhile
		}
		h.lost.Store(true)
		h.leaving = had
		b.leaving += h.leaving
		room += h.leaving
		b.closed.Add(1)
	}
}

// longestWithoutProgress returns the holder that gives way first. Idle connections, which hold
// little, give way to small holders only.
func (b *Budget) longestWithoutProgress(asking *Holder, small bool) *Holder {
	var longest *Holder
	now, since := b.now(), int64(0)
	for h := range b.holders {
		if h == asking || h.lost.Load() {
			continue
		}
		at := h.progress.Load()
		wait := time.Duration(now - at)
		switch Phase(h.phase.Load()) {
		case PhaseIdle:
			if !small {
				continue
			}
		case PhaseNew, PhaseHead, PhaseBody:
			if wait < b.GiveWayAfter || !small && h.total.Load() <= h.base {
				continue
			}
		case PhaseWriting:
			if wait < b.WriteGiveWayAfter {
				continue
			}
		case PhaseRunning:
			continue
		}
		if longest == nil || at < since {
			longest, since = h, at
		}
	}
	return longest
}

// room returns what is free for a holder.
func (b *Budget) room(small bool) int64 {
	if small {
		return b.Bytes - b.held.Load()
	}
	return b.Bytes - b.Bytes/reserveDivisor - b.held.Load()
}

// Stats are the figures of a Budget.
type Stats struct {
	Bytes int64 `json:"bytes"`
	// Held is the memory held by kind, in bytes.
	Held        map[string]int64 `json:"held"`
	Connections int              `json:"connections"`
	// GaveWay counts the connections that were closed, or whose request was refused, because
	// memory or connections were short.
	GaveWay int64 `json:"gave_way"`
}

// Stats returns the current figures.
func (b *Budget) Stats() Stats {
	s := Stats{Bytes: b.Bytes, Held: map[string]int64{}, GaveWay: b.closed.Load()}
	for k, name := range kindNames {
		s.Held[name] = b.kinds[k].Load()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s.Connections = len(b.holders)
	return s
}
