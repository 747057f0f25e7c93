package membudget

import "sync/atomic"

// Holder is one connection of a client and what is held for it. A nil Holder holds without
// bound.
type Holder struct {
	b       *Budget
	giveWay func(Phase) bool
	// base is what the connection itself takes.
	base  int64
	total atomic.Int64
	kinds [kinds]atomic.Int64
	// progress is the time since the budget's epoch, in ns, at which the holder made progress.
	progress atomic.Int64
	phase    atomic.Int32
	lost     atomic.Bool
	closed   atomic.Bool
	// leaving is what the holder had when it gave way. It is guarded by the budget's mutex.
	leaving int64
}

func (h *Holder) add(k Kind, bytes int64) {
	h.total.Add(bytes)
	h.kinds[k].Add(bytes)
	h.b.held.Add(bytes)
	h.b.kinds[k].Add(bytes)
}

func (h *Holder) isSmall(more int64) bool {
	return h.total.Load()+more <= h.base+smallBytes
}

// Take takes memory. A holder that has little may use the reserve. When there is no room,
// others are made to give way, so that there may be some after Freed.
func (h *Holder) Take(k Kind, bytes int64) Result {
	if h == nil || bytes <= 0 {
		return Granted
	}
	if h.lost.Load() {
		return Lost
	}
	b := h.b
	small := h.isSmall(bytes)
	limit := b.Bytes
	if !small {
		limit -= b.Bytes / reserveDivisor
	}
	if b.held.Add(bytes) <= limit || b.mayExceed(h, bytes, limit) {
		h.total.Add(bytes)
		h.kinds[k].Add(bytes)
		b.kinds[k].Add(bytes)
		return Granted
	}
	b.held.Add(-bytes)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.makeRoom(h, bytes, false)
	if h.lost.Load() {
		return Lost
	}
	return Short
}

// mayExceed reports whether the holder may exceed the limit: its request would not fit into an
// empty budget, and no other such request is open.
func (b *Budget) mayExceed(h *Holder, bytes, limit int64) bool {
	if h.total.Load()+bytes <= limit {
		return false
	}
	return b.oversize.CompareAndSwap(nil, h) || b.oversize.Load() == h
}

// Charge takes memory that cannot be refused, also beyond the budget: others get less.
func (h *Holder) Charge(k Kind, bytes int64) {
	if h != nil && bytes > 0 {
		h.add(k, bytes)
	}
}

// Return returns memory that was taken.
func (h *Holder) Return(k Kind, bytes int64) {
	if h == nil || bytes <= 0 {
		return
	}
	h.add(k, -bytes)
	h.b.signal()
}

// Progress records that the client has sent or taken a part of its request or response.
func (h *Holder) Progress() {
	if h != nil {
		h.progress.Store(h.b.now())
	}
}

// Enter begins a phase, which is progress.
func (h *Holder) Enter(p Phase) {
	if h != nil {
		h.progress.Store(h.b.now())
		h.phase.Store(int32(p))
	}
}

// Phase returns the current phase.
func (h *Holder) Phase() Phase { return Phase(h.phase.Load()) }

// Lost reports whether the holder has given way.
func (h *Holder) Lost() bool { return h != nil && h.lost.Load() }

// EndRequest returns all but the connection, which waits for the next request.
func (h *Holder) EndRequest() {
	if h == nil {
		return
	}
	h.Enter(PhaseIdle)
	if h.release(KindHead) > 0 {
		h.b.signal()
	}
}

// release returns the memory of the kinds from the first one on, and how much it was.
func (h *Holder) release(first Kind) int64 {
	h.b.oversize.CompareAndSwap(h, nil)
	freed := int64(0)
	for k := first; k < kinds; k++ {
		if bytes := h.kinds[k].Swap(0); bytes != 0 {
			h.b.kinds[k].Add(-bytes)
			freed += bytes
		}
	}
	h.total.Add(-freed)
	h.b.held.Add(-freed)
	return freed
}

// Close returns everything. It may be called again.
func (h *Holder) Close() {
	if h == nil || !h.closed.CompareAndSwap(false, true) {
		return
	}
	h.release(KindConnection)
	h.b.mu.Lock()
	delete(h.b.holders, h)
	h.b.leaving -= h.leaving
	h.b.mu.Unlock()
	h.b.signal()
}

// Replies returns the holder as the allowance of buffered responses.
func (h *Holder) Replies() *Replies { return &Replies{h: h} }

// Replies takes memory for the buffered responses of one holder.
type Replies struct{ h *Holder }

// Take implements limits.Allowance.
func (r *Replies) Take(bytes int64) bool { return r.h.Take(KindReply, bytes) == Granted }

// Return implements limits.Allowance.
func (r *Replies) Return(bytes int64) { r.h.Return(KindReply, bytes) }
