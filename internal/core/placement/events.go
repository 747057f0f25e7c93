package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/port"
)

// ObserveEvents takes cache events read after sequence number after.
func (p *Policy) ObserveEvents(now time.Time, target string, after uint64, events port.CacheEvents) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(target)
	if t.incarnation != "" && events.Incarnation != t.incarnation {
		return
	}
	t.adopt(now, events.Incarnation)
	for _, e := range events.Events {
		switch {
		case !t.events.started:
			t.events.started, t.events.since = true, now
		case e.Seq < t.events.next:
			continue
		case e.Seq > t.events.next:
			t.dropEvents()
			t.events.started, t.events.since = true, now
		}
		t.events.next = e.Seq + 1
		p.applyEvent(now, t, e)
	}
	// An empty read that starts where the last one ended confirms the run.
	if len(events.Events) == 0 && t.events.started && events.FirstSeq > t.events.next {
		t.dropEvents()
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

// evictionLag is the age under which an own request is taken to be later than
// an eviction that is read now: events arrive late.
const evictionLag = 3 * time.Second

// evicted notes that the target lost the block at the index and, as a prefix
// is useless without it, all blocks after it.
func (s *segment) evicted(target, index int32, now time.Time) {
	h := s.holder(target)
	switch {
	case h == nil || h.eventRun == 0 && h.age(now) < evictionLag:
	case index == 0:
		s.dropHolder(target)
	default:
		h.blocks = min(h.blocks, index)
	}
}

// stored notes that the target got the block at the index. Blocks are stored in
// order, so a block counts only when those before it are held. What the own
// requests told is left alone: it outlives a gap in the events.
func (s *segment) stored(t *targetState, index int32, now time.Time, limit int) {
	h := s.holder(t.id)
	switch {
	case index == 0 && (!t.valid(h) || h.eventRun != 0 || h.age(now) > evictionLag):
		s.setHolder(holder{target: t.id, epoch: t.epoch, blocks: 1, eventRun: t.events.run, last: now.UnixNano()}, limit)
	case t.valid(h) && h.eventRun != 0 && index == h.blocks:
		h.blocks++
		h.last = now.UnixNano()
	}
}
