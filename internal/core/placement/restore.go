package placement

import "time"

// merge adds the content of a summary that this router doesn't have.
func (p *Policy) merge(now time.Time, s summaryData) {
	if p.decodeSeconds == 0 {
		p.retained.d = min(max(s.retention, minRetention), maxRetention)
		p.avgPendingIntegral, p.avgInFlightSeconds, p.decodeSeconds = s.pendingPerRequest*s.decodeSeconds, s.decodeSeconds, s.decodeSeconds
	}
	states := make([]*targetState, len(s.targets))
	for i, t := range s.targets {
		// Only targets without a known incarnation take it from the summary, which
		// may be older than the target's last restart.
		state := p.target(t.name)
		if state.incarnation == "" {
			state.observeIncarnation(now, t.incarnation)
		}
		if state.incarnation == t.incarnation {
			states[i] = state
		}
	}
	known := make([]*segment, 0, len(s.segments))
	for _, e := range s.segments {
		var parent *segment
		if e.parent > 0 {
			parent = known[e.parent-1]
		}
		known = append(known, p.mergeSegment(now, e, parent, states))
	}
	p.segments.trim(now)
}

func (p *Policy) mergeSegment(now time.Time, e summarySegment, parent *segment, states []*targetState) *segment {
	// A key inside a segment is a branch that only the sender of the summary has seen.
	if at, ok := p.segments.blocks[e.key]; ok && at.index > 0 {
		p.segments.cut(at.segment, at.index)
	}
	s := p.segments.head(e.key)
	if s == nil {
		s = p.segments.restore(now, e, parent)
	}
	s.summarySubtree, s.summaryChildren, s.summaryAt = e.subtree, e.children, now
	for _, h := range e.holders {
		t := states[h.target]
		last := now.Add(-h.age).UnixNano()
		if t == nil || h.blocks > s.length {
			continue
		}
		if old := s.holder(t.id); t.valid(old) && old.last >= last {
			continue
		}
		s.setHolder(holder{target: t.id, epoch: t.epoch, blocks: int32(h.blocks), last: last}, p.cfg.MaxHolders)
	}
	return s
}

// restore adds a segment of which only the first key is known.
func (t *segments) restore(now time.Time, e summarySegment, parent *segment) *segment {
	depth := 0
	if parent != nil {
		depth = parent.end()
		parent.children++
	}
	s := &segment{
		keys: []uint64{e.key}, length: e.length, depth: depth, parent: parent, rate: e.rate, meanUncached: e.meanUncached,
		last: now, uses: 2, split: e.split, spread: max(1, e.spread),
	}
	t.blocks[e.key] = location{s, 0}
	t.count++
	// Children come after their parents in the list, so they are removed first.
	after := t.lru.prev
	t.link(s, after)
	s.count(s.length)
	return s
}

// subtreeBlocks is the number of blocks in s and below; the number in a recent
// summary is a lower bound.
func (s *segment) subtreeBlocks(now time.Time) int {
	if now.Sub(s.summaryAt) < summaryMaxAge {
		return max(s.subtree, s.summarySubtree)
	}
	return s.subtree
}

func (s *segment) subtreeChildren(now time.Time) int {
	if now.Sub(s.summaryAt) < summaryMaxAge {
		return max(s.children, s.summaryChildren)
	}
	return s.children
}
