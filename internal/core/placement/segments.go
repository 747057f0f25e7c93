package placement

import (
	"math"
	"sort"
	"time"
)

// rememberFor is how long the sizes in a summary count: long enough for the
// own traffic to show what is still used.
const rememberFor = 2 * time.Minute

// segment is a run of blocks that all prompts seen so far use together: it
// starts after a branch (or at the start of a prompt) and ends at the next.
type segment struct {
	// keys holds the block keys. After Restore only the first is known until a
	// request passes; length says how many there are.
	keys   []uint64
	length int
	// depth is the number of blocks before the segment.
	depth  int
	parent *segment
	// children counts the segments directly below.
	children int
	uses     int
	// subtree is the number of blocks in this segment and below.
	subtree int
	rate    float64
	last    time.Time
	// born is when the segment was first used; zero when a summary told of it.
	born time.Time
	// split is set while the subtree does not fit one target: the home of a
	// request is then the next segment of its path.
	split bool
	// spread is the number of targets that share the segment as a home.
	spread int
	// work is the usual number of missed tokens of a request on this home.
	work    float64
	holders []holder
	// remembered is the subtree that a summary told of, rememberedChildren the
	// number of children it had.
	remembered, rememberedChildren int
	rememberedAt                   time.Time
	prev, next                     *segment
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

// location is the place of a block in the segments.
type location struct {
	segment *segment
	index   int
}

// step is a segment on the path of a request and how much of it matches.
type step struct {
	segment *segment
	matched int
}

// segments is the learned tree of prompts: a radix tree over block keys, with
// the least recently used leaves forgotten first.
type segments struct {
	cfg    Settings
	blocks map[uint64]location
	count  int
	// lru is the sentinel of the list; lru.next was used last.
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

// walk returns the known segments on the path of c.
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

// match returns how many blocks of the segment the chain has. Keys are chain
// hashes: an equal key means equal blocks before it, so a binary search finds
// the first difference.
func (s *segment) match(c chain) int {
	n := min(s.length, c.len()-s.depth)
	known := min(n, len(s.keys))
	if known > 0 && s.keys[known-1] == c.key(s.depth+known-1) {
		return n
	}
	return sort.Search(known, func(i int) bool { return s.keys[i] != c.key(s.depth+i) })
}

// learn records a use of the chain and returns its path, which covers it.
func (t *segments) learn(now time.Time, c chain, path []step) []step {
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
		t.use(now, c, path[i])
	}
	t.trim(now)
	return path
}

// cut ends the segment after n blocks; the rest becomes its child.
func (t *segments) cut(s *segment, n int) {
	rest := &segment{
		length: s.length - n, depth: s.depth + n, parent: s, children: s.children,
		uses: s.uses, subtree: s.subtree - n, rate: s.rate, last: s.last, born: s.born, split: s.split, spread: s.spread, work: s.work,
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
	s.holders, rest.holders = cutHolders(s.holders, n)
	if rest.children > 0 {
		t.adopt(s, rest)
	}
	t.count++
	t.link(rest, s)
}

// adopt makes rest the parent of the children of s. The walk over all segments
// is paid only when a segment that already has children is cut.
func (t *segments) adopt(s, rest *segment) {
	for child := t.lru.next; child != &t.lru; child = child.next {
		if child.parent == s && child != rest {
			child.parent = rest
		}
	}
}

func (t *segments) add(now time.Time, c chain, from int, parent *segment) *segment {
	s := &segment{length: c.len() - from, depth: from, parent: parent, last: now, born: now, spread: 1}
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

// fill completes the keys of the segment from a chain that passes through it.
func (t *segments) fill(s *segment, c chain) {
	for i := len(s.keys); i < s.length && s.depth+i < c.len(); i++ {
		key := c.key(s.depth + i)
		s.keys = append(s.keys, key)
		t.blocks[key] = location{s, i}
	}
}

func (t *segments) use(now time.Time, c chain, at step) {
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

// count adds n blocks to the subtree of the segment and to those above.
func (s *segment) count(n int) {
	for ; s != nil; s = s.parent {
		s.subtree += n
	}
}

// trim forgets idle segments and keeps the tree within its bounds.
func (t *segments) trim(now time.Time) {
	for s := t.lru.prev; s != &t.lru; s = t.lru.prev {
		full := len(t.blocks) > t.cfg.MaxBlocks || t.count > t.cfg.MaxSegments
		if !full && now.Sub(s.last) < t.cfg.idleSegment() {
			return
		}
		t.forget(s)
	}
}

// forget removes a segment. Children are used no later than their parents, so
// the last of the list has none, except after a restore; those become roots.
func (t *segments) forget(s *segment) {
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
