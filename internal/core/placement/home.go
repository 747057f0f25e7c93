package placement

import (
	"math"
	"time"
)

const (
	// splitRelease is the share of the bound under which a split is undone. The
	// gap keeps prefixes near the bound from moving to and fro.
	splitRelease = 0.6
	// spreadRelease is the same for the spread of hot prefixes.
	spreadRelease = 0.6
)

// locateHome finds the shallowest prefix of the request that fits one target.
// The key is the first block after the branch: it names the prefix before its
// end is known.
func (p *Policy) locateHome(v *view) {
	if v.chain.len() == 0 {
		v.home = v.chain.seed
		return
	}
	v.home = v.chain.key(0)
	for i, st := range v.path {
		s := st.segment
		v.homeStep = i
		if p.newBranch(st, v.chain.len()) {
			v.home, v.homeStep = v.chain.key(s.depth+st.matched), len(v.path)
			return
		}
		if !s.split || st.matched < s.length || s.end() >= v.chain.len() {
			v.spread = max(1, min(s.spread, v.targets))
			v.child = v.home
			if st.matched == s.length && s.end() < v.chain.len() {
				v.child = v.chain.key(s.end())
			}
			return
		}
		v.home = v.chain.key(s.end())
	}
	v.homeStep = len(v.path)
}

// newBranch says whether the request leaves the segment at a place where a split
// would follow. It saves the first request after a branch from the old home.
func (p *Policy) newBranch(st step, blocks int) bool {
	s := st.segment
	end := s.depth + st.matched
	if st.matched == s.length || end >= blocks || s.children > 1 {
		return false
	}
	perChild := float64(s.subtree-st.matched+blocks-end) / 2
	return float64(end) <= p.cfg.MaxReplication*perChild
}

// adapt decides for each segment of a path whether it is split, and how far
// the home segment is spread.
func (p *Policy) adapt(v *view) {
	sh, ok := p.shapes[v.chain.seed]
	if !ok {
		return
	}
	for _, st := range v.path {
		s := st.segment
		load := p.loadOf(v.now, s, sh)
		s.split = p.wantsSplit(v.now, s, sh, load)
		if !s.split {
			s.spread = nextSpread(s.spread, load/p.cfg.LoadShare, sh.targets)
			return
		}
	}
}

// wantsSplit says whether the homes of requests should be below s.
func (p *Policy) wantsSplit(now time.Time, s *segment, sh shape, load float64) bool {
	subtree, children := s.subtreeBlocks(now), s.subtreeChildren(now)
	if children < 2 {
		return false
	}
	room, busy := p.cfg.CacheShare*sh.cacheBlocks, p.cfg.LoadShare
	if s.split {
		room, busy = room*splitRelease, busy*splitRelease
	}
	if float64(subtree) <= room && load <= busy {
		return false
	}
	perChild := float64(subtree-s.length) / float64(children)
	return float64(s.end()) <= p.cfg.MaxReplication*perChild
}

// loadOf is the share of one target's time that requests through s would take.
func (p *Policy) loadOf(now time.Time, s *segment, sh shape) float64 {
	rate := s.rateAt(now, p.cfg.rateWindow()) * float64(p.routers)
	return rate * max(s.work/max(sh.prefillPerSec, 1), p.service/max(sh.slots, 1))
}

// nextSpread moves the spread towards the wanted one, with hysteresis when it
// shrinks.
func nextSpread(spread int, wanted float64, targets int) int {
	spread = max(1, spread)
	switch {
	case wanted > float64(spread):
		spread = int(math.Ceil(wanted))
	case wanted < spreadRelease*float64(spread-1):
		spread--
	}
	return max(1, min(spread, targets))
}
