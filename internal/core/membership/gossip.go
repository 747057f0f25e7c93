package membership

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// fullNoticeFor is how long notices about a router carry its address when
	// the VM list does not have it. All others know it from the list.
	fullNoticeFor = 30 * time.Minute
	// Sizes of encoded notices apart from their strings, rounded up.
	memberOverheadBytes      = 20
	markOverheadBytes        = 20
	fingerprintOverheadBytes = 8
	// maxUrgent bounds the marks and the fingerprints of one urgent message.
	maxUrgent = 64
)

// Merge takes what another router says.
func (v *View) Merge(now time.Time, g port.Gossip) {
	for _, m := range g.Members {
		v.apply(now, m)
	}
	for _, t := range g.Targets {
		known := v.marks.byTarget[t.Target]
		if !v.marks.apply(now, t) && known != nil && known.Version > t.Version {
			v.marks.news.ensure(t.Target, v.transmissions())
		}
	}
	for _, f := range g.Fingerprints {
		v.hints.apply(now, f)
	}
}

// Adopt takes the snapshot of another router, whose marks and fingerprints
// others know already.
func (v *View) Adopt(now time.Time, g port.Gossip) {
	v.Merge(now, g)
	for _, t := range g.Targets {
		v.marks.urgent.drop(t.Target)
	}
	for _, f := range g.Fingerprints {
		v.hints.urgent.drop(f.Value)
	}
}

// Gossip returns news for a peer within maxBytes of encoded size, and the size.
// When theirs, the peer's own gossip, shows another state than the own, a
// random part of the state fills the rest.
func (v *View) Gossip(now time.Time, to string, theirs *port.Gossip, maxBytes int) (port.Gossip, int) {
	b := builder{view: v, now: now, left: maxBytes, taken: map[string]bool{}}
	if m := v.members[to]; m != nil && m.State != port.MemberAlive && m.Incarnation > 0 {
		b.member(to)
	}
	limit := v.transmissions()
	v.marks.news.take(limit, b.mark)
	v.hints.news.take(limit, b.fingerprint)
	v.news.take(limit, b.member)
	b.out.MembersHash, b.out.TargetsHash = v.membersHash(), v.targetsHash()
	if theirs != nil && theirs.TargetsHash != b.out.TargetsHash {
		v.window(v.markedTargets(), b.mark)
	}
	if theirs != nil && theirs.MembersHash != b.out.MembersHash {
		v.window(v.names, b.member)
	}
	return b.out, maxBytes - b.left
}

// window offers a random run of the keys.
func (v *View) window(keys []string, accept func(string) bool) {
	if len(keys) == 0 {
		return
	}
	start := v.rnd.IntN(len(keys))
	for i := range keys {
		if !accept(keys[(start+i)%len(keys)]) {
			return
		}
	}
}

// TakeUrgent returns marks and fingerprints from any source that are new to
// this router and were not yet sent to the neighbours at once, and whether
// there are any.
func (v *View) TakeUrgent(now time.Time) (port.Gossip, bool) {
	var g port.Gossip
	v.marks.urgent.take(1, func(target string) bool {
		if len(g.Targets) == maxUrgent {
			return false
		}
		g.Targets = append(g.Targets, v.marks.byTarget[target].export(now))
		return true
	})
	v.hints.urgent.take(1, func(value string) bool {
		if len(g.Fingerprints) == maxUrgent {
			return false
		}
		g.Fingerprints = append(g.Fingerprints, v.hints.export(now, value))
		return true
	})
	return g, len(g.Targets)+len(g.Fingerprints) > 0
}

// HasUrgent reports whether TakeUrgent has something to return.
func (v *View) HasUrgent() bool {
	return len(v.marks.urgent.items)+len(v.hints.urgent.items) > 0
}

// Snapshot returns all that the view knows, for a router that starts.
func (v *View) Snapshot(now time.Time) port.Gossip {
	var g port.Gossip
	for _, name := range v.names {
		if m := v.members[name]; m.Incarnation > 0 {
			g.Members = append(g.Members, m.Member)
		}
	}
	for _, target := range v.markedTargets() {
		g.Targets = append(g.Targets, v.marks.byTarget[target].export(now))
	}
	for value := range v.hints.seen {
		g.Fingerprints = append(g.Fingerprints, v.hints.export(now, value))
	}
	sort.Slice(g.Fingerprints, func(i, j int) bool { return g.Fingerprints[i].Value < g.Fingerprints[j].Value })
	return g
}

// LeavingTargets returns the marks in force, in order of target.
func (v *View) LeavingTargets(now time.Time) []port.TargetMark {
	var out []port.TargetMark
	for _, target := range v.markedTargets() {
		if m := v.marks.byTarget[target]; !m.Returned {
			out = append(out, m.export(now))
		}
	}
	return out
}

func (v *View) markedTargets() []string {
	targets := make([]string, 0, len(v.marks.byTarget))
	for target := range v.marks.byTarget {
		targets = append(targets, target)
	}
	sort.Strings(targets)
	return targets
}

// hashed is a hash with the state that it was computed for.
type hashed struct {
	version     uint64
	incarnation uint64
	state       port.MemberState
	hash        uint64
}

// membersHash covers all routers but the dead, which are forgotten at
// different times, and those that only the VM list has.
func (v *View) membersHash() uint64 {
	now := hashed{version: v.version, incarnation: v.self.Incarnation, state: v.self.State, hash: v.hash.hash}
	if now == v.hash {
		return now.hash
	}
	now.hash = hashNotice(v.self.Name, v.self.Incarnation, byte(v.self.State))
	for _, m := range v.members {
		if m.Incarnation > 0 && m.State != port.MemberDead {
			now.hash ^= hashNotice(m.Name, m.Incarnation, byte(m.State))
		}
	}
	v.hash = now
	return now.hash
}

func (v *View) targetsHash() uint64 {
	var h uint64
	for target, m := range v.marks.byTarget {
		h ^= hashNotice(target, m.Version, 0)
	}
	return h
}

func hashNotice(name string, version uint64, state byte) uint64 {
	b := binary.LittleEndian.AppendUint64(append([]byte(name), 0), version)
	return xxhash.Sum64(append(b, state))
}

// builder fills a Gossip up to a number of bytes.
type builder struct {
	view *View
	now  time.Time
	left int
	out  port.Gossip
	// taken holds the routers and "mark/" plus the targets already in out.
	taken map[string]bool
}

func (b *builder) fits(size int) bool {
	if size > b.left {
		return false
	}
	b.left -= size
	return true
}

func (b *builder) member(name string) bool {
	var notice port.Member
	switch m := b.view.members[name]; {
	case b.taken[name]:
		return true
	case m == nil || m.Incarnation == 0:
		return true
	case m.State == port.MemberAlive && m.listAddress != m.Address && b.now.Sub(m.placed) < fullNoticeFor:
		notice = m.Member
	default:
		notice = port.Member{Name: m.Name, Incarnation: m.Incarnation, State: m.State}
	}
	size := memberOverheadBytes + len(notice.Name) + len(notice.Address) + len(notice.Region) + len(notice.AvailabilityZone)
	if !b.fits(size) {
		return false
	}
	b.taken[name] = true
	b.out.Members = append(b.out.Members, notice)
	return true
}

func (b *builder) mark(target string) bool {
	m := b.view.marks.byTarget[target].export(b.now)
	if b.taken["mark/"+target] {
		return true
	}
	if !b.fits(markOverheadBytes + len(m.Target) + len(m.Incarnation)) {
		return false
	}
	b.taken["mark/"+target] = true
	b.out.Targets = append(b.out.Targets, m)
	return true
}

func (b *builder) fingerprint(value string) bool {
	if !b.fits(fingerprintOverheadBytes + len(value)) {
		return false
	}
	b.out.Fingerprints = append(b.out.Fingerprints, b.view.hints.export(b.now, value))
	return true
}
