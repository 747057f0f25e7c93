package placement

import (
	"math"
	"time"
)

const (
	// splitRelease is the fraction of the split limits below which a split is
	// undone. The hysteresis keeps prefixes near a limit from alternating.
	splitRelease = 0.6
	// spreadRelease is the same for the spread of hot prefixes.
	spreadRelease = 0.6
)

// locateHome finds the home: the shortest prefix of the request whose subtree fits
// one target. Its key is the first block after the branch, which identifies the
// prefix before its end is known.
func (p *Policy) locateHome(v *requestView) {
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

// newBranch reports whether the request leaves the segment at a place where a
// split would follow. Then the first request of the branch doesn't go to the old
// home.
func (p *Policy) newBranch(st step, blocks int) bool {
	s := st.segment
	end := s.depth + st.matched
	if st.matched == s.length || end >= blocks || s.children > 1 {
		return false
	}
	perChild := float64(s.subtree-st.matched+blocks-end) / 2
	return float64(end) <= p.cfg.MaxReplication*perChild
}

// updateHomes decides for each segment of a path whether it is split, and over how
// many targets the home segment is spread.
func (p *Policy) updateHomes(v *requestView) {
	pool, ok := p.pools[v.chain.seed]
	if !ok {
		return
	}
	for _, st := range v.path {
		s := st.segment
		load := p.homeLoad(v.now, s, pool)
		s.split = p.shouldSplit(v.now, s, pool, load)
		if !s.split {
			s.spread = nextSpread(s.spread, load/p.cfg.LoadShare, pool.targets)
			return
		}
	}
}

// shouldSplit reports whether the homes of requests through s should be below s.
func (p *Policy) shouldSplit(now time.Time, s *segment, pool poolStats, load float64) bool {
	subtree, children := s.subtreeBlocks(now), s.subtreeChildren(now)
	if children < 2 {
		return false
	}
	cacheLimit, loadLimit := p.cfg.CacheShare*pool.cacheBlocks, p.cfg.LoadShare
	if s.split {
		cacheLimit, loadLimit = cacheLimit*splitRelease, loadLimit*splitRelease
	}
	if float64(subtree) <= cacheLimit && load <= loadLimit {
		return false
	}
	perChild := float64(subtree-s.length) / float64(children)
	return float64(s.end()) <= p.cfg.MaxReplication*perChild
}

// homeLoad is the fraction of one target's time that the requests through s would
// take.
func (p *Policy) homeLoad(now time.Time, s *segment, pool poolStats) float64 {
	rate := s.rateAt(now, p.cfg.rateWindow()) * float64(p.routers)
	return rate * max(s.meanUncached/max(pool.prefillPerSec, 1), p.decodeSeconds/max(pool.slots, 1))
}

// nextSpread returns the spread that follows the desired one, with hysteresis when
// it shrinks.
func nextSpread(spread int, desired float64, targets int) int {
	spread = max(1, spread)
	switch {
	case desired > float64(spread):
		spread = int(math.Ceil(desired))
	case desired < spreadRelease*float64(spread-1):
		spread--
	}
	return max(1, min(spread, targets))
}
