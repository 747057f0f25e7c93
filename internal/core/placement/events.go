package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/port"
)

// ObserveEvents applies the cache events that follow sequence number after.
func (p *Policy) ObserveEvents(now time.Time, target string, after uint64, events port.CacheEvents) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(target)
	if t.incarnation != "" && events.Incarnation != t.incarnation {
		return
	}
	t.observeIncarnation(now, events.Incarnation)
	for _, e := range events.Events {
		switch {
		case !t.events.started:
			t.events.started, t.events.since = true, now
		case e.Seq < t.events.nextSeq:
			continue
		case e.Seq > t.events.nextSeq:
			t.invalidateEvents()
			t.events.started, t.events.since = true, now
		}
		t.events.nextSeq = e.Seq + 1
		p.applyEvent(now, t, e)
	}
	// An empty read that starts where the last one ended has no gap.
	if len(events.Events) == 0 && t.events.started && events.FirstSeq > t.events.nextSeq {
		t.invalidateEvents()
	}
	t.events.readAt = now
}

func (p *Policy) applyEvent(now time.Time, t *targetState, e port.CacheEvent) {
	seed := xxhash.Sum64String(e.Scope)
	for _, block := range e.Blocks {
		at, ok := p.segments.blocks[uint64(block)^seed]
		if !ok {
			continue
		}
		if e.Op == port.CacheEvict {
			at.segment.evicted(t.id, int32(at.index), now)
			continue
		}
		at.segment.stored(t, int32(at.index), now, p.cfg.MaxHolders)
	}
}

// evictionLag is the age below which a request of this router is assumed to be
// later than an eviction event read now, because events are delayed.
const evictionLag = 3 * time.Second

// evicted records that the target evicted the block at the index. All blocks after
// it are removed too, since they can't be used without it.
func (s *segment) evicted(target, index int32, now time.Time) {
	h := s.holder(target)
	switch {
	case h == nil || h.eventGeneration == 0 && h.age(now) < evictionLag:
	case index == 0:
		s.dropHolder(target)
	default:
		h.blocks = min(h.blocks, index)
	}
}

// stored records that the target stored the block at the index. Blocks are stored
// in order, so a block counts only if those before it are cached. Holders derived
// from this router's requests are not replaced: they stay valid across a gap in the
// events.
func (s *segment) stored(t *targetState, index int32, now time.Time, limit int) {
	h := s.holder(t.id)
	switch {
	case index == 0 && (!t.valid(h) || h.eventGeneration != 0 || h.age(now) > evictionLag):
		s.setHolder(holder{target: t.id, epoch: t.epoch, blocks: 1, eventGeneration: t.events.generation, last: now.UnixNano()}, limit)
	case t.valid(h) && h.eventGeneration != 0 && index == h.blocks:
		h.blocks++
		h.last = now.UnixNano()
	}
}
