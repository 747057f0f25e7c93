package placement

import (
	"math"
	"sort"
	"time"
)

// summaryMaxAge is how long the sizes in a summary are used: long enough for this
// router's own traffic to show which segments are still used.
const summaryMaxAge = 2 * time.Minute

// segment is a node of the radix tree: a sequence of blocks without a branch. It
// starts after a branch or at the start of a prompt and ends at the next branch.
type segment struct {
	// keys holds the block keys. After Restore only the first one is known until the
	// next request through the segment; length is the full number.
	keys   []uint64
	length int
	// depth is the number of blocks before the segment.
	depth  int
	parent *segment
	// children is the number of direct child segments.
	children int
	uses     int
	// subtree is the number of blocks in this segment and below.
	subtree int
	// rate is the decaying rate of use at the time of the last use, in requests per
	// second.
	rate float64
	last time.Time
	// firstUsed is when the segment was first used; zero if it comes from a summary.
	firstUsed time.Time
	// split is set while the subtree doesn't fit one target. The home of a request
	// is then further down its path.
	split bool
	// spread is the number of home targets if the segment is a home.
	spread int
	// meanUncached is the average number of uncached tokens of a request on this home.
	meanUncached float64
	holders      []holder
	// summarySubtree and summaryChildren are the values of subtree and children in
	// the summary merged at summaryAt.
	summarySubtree, summaryChildren int
	summaryAt                       time.Time
	prev, next                      *segment
}

func (s *segment) end() int { return s.depth + s.length }

// rateAt returns the decayed rate of use in requests per second.
func (s *segment) rateAt(now time.Time, window time.Duration) float64 {
	return s.rate * decay(now.Sub(s.last), window)
}

func decay(age, window time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-age.Seconds() / window.Seconds())
}

// location is the position of a block in the tree.
type location struct {
	segment *segment
	index   int
}

// step is a segment on the path of a request and the number of matching blocks.
type step struct {
	segment *segment
	matched int
}

// segments is a radix tree of prompts over block keys. The least recently used
// leaves are removed first.
type segments struct {
	cfg    Settings
	blocks map[uint64]location
	count  int
	// lru is the sentinel of the list; lru.next is the most recently used segment.
	lru segment
}

func newSegments(cfg Settings) *segments {
	t := &segments{cfg: cfg, blocks: map[uint64]location{}}
	t.lru.prev, t.lru.next = &t.lru, &t.lru
	return t
}

// head returns the segment that starts with the key, or nil.
func (t *segments) head(key uint64) *segment {
	if at, ok := t.blocks[key]; ok && at.index == 0 {
		return at.segment
	}
	return nil
}

// walk returns the path of c as far as it is in the tree.
func (t *segments) walk(c chain, path []step) []step {
	for at := 0; at < c.len(); {
		s := t.head(c.key(at))
		if s == nil || s.depth != at {
			return path
		}
		n := s.match(c)
		path = append(path, step{segment: s, matched: n})
		if n < s.length {
			return path
		}
		at += n
	}
	return path
}

// match returns how many blocks of the segment match the chain. Keys are chained
// hashes: an equal key implies equal blocks before it, so a binary search finds the
// first difference.
func (s *segment) match(c chain) int {
	n := min(s.length, c.len()-s.depth)
	known := min(n, len(s.keys))
	if known > 0 && s.keys[known-1] == c.key(s.depth+known-1) {
		return n
	}
	return sort.Search(known, func(i int) bool { return s.keys[i] != c.key(s.depth+i) })
}

// insert adds the chain to the tree, marks its segments as used and returns its
// path, which covers the whole chain.
func (t *segments) insert(now time.Time, c chain, path []step) []step {
	path = t.walk(c, path)
	covered := 0
	var parent *segment
	if n := len(path); n > 0 {
		last := &path[n-1]
		if last.matched < last.segment.length && last.segment.depth+last.matched < c.len() {
			t.cut(last.segment, last.matched)
		}
		parent = last.segment
		covered = parent.depth + last.matched
	}
	if covered < c.len() {
		s := t.add(now, c, covered, parent)
		path = append(path, step{segment: s, matched: s.length})
	}
	for i := len(path) - 1; i >= 0; i-- {
		t.touch(now, c, path[i])
	}
	t.trim(now)
	return path
}

// cut splits the node after n blocks; the rest becomes its child.
func (t *segments) cut(s *segment, n int) {
	rest := &segment{
		length: s.length - n, depth: s.depth + n, parent: s, children: s.children,
		uses: s.uses, subtree: s.subtree - n, rate: s.rate, last: s.last, firstUsed: s.firstUsed, split: s.split, spread: s.spread, meanUncached: s.meanUncached,
	}
	if len(s.keys) > n {
		rest.keys = append(rest.keys, s.keys[n:]...)
		s.keys = append([]uint64(nil), s.keys[:n]...)
	}
	for i, key := range rest.keys {
		t.blocks[key] = location{rest, i}
	}
	s.length, s.children = n, 1
	s.split, s.spread = false, max(1, s.spread)
	s.holders, rest.holders = splitHolders(s.holders, n)
	if rest.children > 0 {
		t.reparent(s, rest)
	}
	t.count++
	t.link(rest, s)
}

// reparent makes rest the parent of the children of s. It scans all segments, but
// only when a segment that already has children is cut.
func (t *segments) reparent(s, rest *segment) {
	for child := t.lru.next; child != &t.lru; child = child.next {
		if child.parent == s && child != rest {
			child.parent = rest
		}
	}
}

func (t *segments) add(now time.Time, c chain, from int, parent *segment) *segment {
	s := &segment{length: c.len() - from, depth: from, parent: parent, last: now, firstUsed: now, spread: 1}
	s.keys = make([]uint64, 0, s.length)
	t.fill(s, c)
	if parent != nil {
		parent.children++
	}
	s.count(s.length)
	t.count++
	t.link(s, &t.lru)
	return s
}

// fill adds the missing keys of the segment from a chain that passes through it.
func (t *segments) fill(s *segment, c chain) {
	for i := len(s.keys); i < s.length && s.depth+i < c.len(); i++ {
		key := c.key(s.depth + i)
		s.keys = append(s.keys, key)
		t.blocks[key] = location{s, i}
	}
}

func (t *segments) touch(now time.Time, c chain, at step) {
	s := at.segment
	t.unlink(s)
	t.link(s, &t.lru)
	if at.matched == s.length && len(s.keys) < s.length {
		t.fill(s, c)
	}
	s.rate = s.rateAt(now, t.cfg.rateWindow()) + 1/t.cfg.rateWindow().Seconds()
	s.last = now
	s.uses++
}

// count adds n blocks to the subtrees of the segment and of its ancestors.
func (s *segment) count(n int) {
	for ; s != nil; s = s.parent {
		s.subtree += n
	}
}

// trim removes idle segments and keeps the tree within its limits.
func (t *segments) trim(now time.Time) {
	for s := t.lru.prev; s != &t.lru; s = t.lru.prev {
		full := len(t.blocks) > t.cfg.MaxBlocks || t.count > t.cfg.MaxSegments
		if !full && now.Sub(s.last) < t.cfg.idleSegment() {
			return
		}
		t.remove(s)
	}
}

// remove deletes a segment. Children are used no later than their parents, so the
// last segment of the list has none, except after a restore; its children become
// roots.
func (t *segments) remove(s *segment) {
	if s.children > 0 {
		for child := t.lru.next; child != &t.lru; child = child.next {
			if child.parent == s {
				child.parent = nil
			}
		}
	}
	s.count(-s.length)
	if s.parent != nil {
		s.parent.children--
	}
	for _, key := range s.keys {
		if t.blocks[key].segment == s {
			delete(t.blocks, key)
		}
	}
	t.unlink(s)
	t.count--
}

func (t *segments) link(s, after *segment) {
	s.prev, s.next = after, after.next
	after.next.prev = s
	after.next = s
}

func (t *segments) unlink(s *segment) {
	s.prev.next, s.next.prev = s.next, s.prev
}
