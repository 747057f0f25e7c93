package allotment

import (
	"slices"
	"sort"
	"time"
)

// ownPart is r, the part of its equal share of a limit that a router may spend without
// an allocator. The attached majority gets the rest.
const ownPart = 0.3

// allocatorShare returns the part of each limit that an allocator may hand out when
// attached of n routers are attached to it.
func allocatorShare(attached, n int) float64 {
	if n <= 0 {
		return 0
	}
	a, all := float64(min(attached, n)), float64(n)
	if 2*attached > n {
		return (a + (1-ownPart)*(all-a)) / all
	}
	return ownPart * a / all
}

// attachments are the routers attached to an allocator, and its share of the limits
// over time.
type attachments struct {
	count routerCount
	// heard is the largest N of the attached routers above the own one, and heardAt is
	// when it was heard last. It counts for AttachDelay, so that an allocator that has
	// not learned of new routers yet has no majority without them.
	heard   int
	heardAt time.Time
	known   map[string]struct{}
	// until holds when each attachment ends. No attachment ends before earliest.
	until    map[string]time.Time
	earliest time.Time

	share float64
	// integral is the integral of the share over the time, in seconds.
	integral float64
	at       time.Time
	dips     []dip
}

// dip is a period in which the share was lower than at any time since. The tokens that
// a bucket can hold at any later time are at most the capacity at the end of the dip
// plus what has accrued since.
type dip struct {
	share float64
	// end is the integral at the end of the period, and ended its time. They are valid
	// for all but the last entry, whose period has not ended.
	end   float64
	ended time.Time
}

func newAttachments(now time.Time) *attachments {
	return &attachments{known: map[string]struct{}{}, until: map[string]time.Time{}, at: now, dips: []dip{{}}}
}

// setRouters sets the routers that can attach.
func (s *attachments) setRouters(now time.Time, names []string) {
	s.advance(now)
	s.known = make(map[string]struct{}, len(names))
	for _, name := range names {
		s.known[name] = struct{}{}
	}
	s.count.set(now, len(s.known))
	s.setShare()
}

// attach attaches the router until the given time. Routers that are not counted in N
// cannot attach.
func (s *attachments) attach(name string, until time.Time, routers int) {
	if _, ok := s.known[name]; !ok || !until.After(s.at) {
		return
	}
	if routers >= s.routers() {
		s.heard, s.heardAt = routers, s.at
	}
	if until.After(s.until[name]) {
		s.until[name] = until
	}
	if len(s.until) == 1 || until.Before(s.earliest) {
		s.earliest = until
	}
	s.setShare()
}

// advance ends the attachments whose time has passed and integrates the share up to
// now. A reading before the last one changes nothing.
func (s *attachments) advance(now time.Time) {
	if len(s.until) > 0 && !s.earliest.After(now) {
		var ended []time.Time
		s.earliest = time.Time{}
		for name, until := range s.until {
			switch {
			case !until.After(now):
				ended = append(ended, until)
				delete(s.until, name)
			case s.earliest.IsZero() || until.Before(s.earliest):
				s.earliest = until
			}
		}
		slices.SortFunc(ended, time.Time.Compare)
		for i, end := range ended {
			s.integrate(end)
			s.apply(allocatorShare(len(s.until)+len(ended)-1-i, s.routers()))
		}
	}
	s.integrate(now)
	s.count.at(now)
	s.setShare()
}

func (s *attachments) integrate(now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		s.integral += s.share * elapsed.Seconds()
		s.at = now
	}
}

func (s *attachments) setShare() { s.apply(allocatorShare(len(s.until), s.routers())) }

// routers returns N.
func (s *attachments) routers() int {
	if s.at.Sub(s.heardAt) < AttachDelay {
		return max(s.count.count, s.heard)
	}
	return s.count.count
}

// apply makes the share valid from the time of the last integration.
func (s *attachments) apply(share float64) {
	if share == s.share {
		return
	}
	s.share = share
	last := len(s.dips) - 1
	s.dips[last].end, s.dips[last].ended = s.integral, s.at
	for len(s.dips) > 0 && s.dips[len(s.dips)-1].share >= share {
		s.dips = s.dips[:len(s.dips)-1]
	}
	s.dips = append(s.dips, dip{share: share})
}

// level returns what a bucket holds now that held level at the given time and integral,
// and of which nothing was taken since: it accrues rate tokens per unit of the integral,
// and at no time between held more than capacity x share.
func (s *attachments) level(level, integral float64, at time.Time, rate float64, capacity func(share float64) float64) float64 {
	level += rate * (s.integral - integral)
	last := len(s.dips) - 1
	first := sort.Search(last, func(i int) bool { return s.dips[i].ended.After(at) })
	for _, d := range s.dips[first:last] {
		level = min(level, capacity(d.share)+rate*(s.integral-d.end))
	}
	return min(level, capacity(s.share))
}

// attached returns the number of attached routers.
func (s *attachments) attached() int { return len(s.until) }

func (s *attachments) majority() bool { return 2*len(s.until) > s.routers() }
