package membership

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// fullEntryPeriod is how long gossip about a router includes its address if
	// the VM list doesn't have that address; otherwise all routers know it from
	// the list.
	fullEntryPeriod = 30 * time.Minute
	// Sizes of encoded entries without their strings, rounded up.
	memberOverheadBytes      = 20
	markOverheadBytes        = 20
	fingerprintOverheadBytes = 8
	// maxUrgent bounds the number of marks and the number of fingerprints in one
	// urgent message.
	maxUrgent = 64
)

// Merge applies gossip received from another router.
func (v *View) Merge(now time.Time, g port.Gossip) {
	for _, m := range g.Members {
		v.apply(now, m)
	}
	for _, t := range g.Targets {
		known := v.marks.byTarget[t.Target]
		if !v.marks.apply(now, t) && known != nil && known.Version > t.Version {
			v.marks.updates.ensureQueued(t.Target, v.transmitLimit())
		}
	}
	for _, f := range g.Fingerprints {
		v.fingerprints.apply(now, f)
	}
}

// MergeSnapshot applies a snapshot of another router. Its marks and fingerprints
// are not queued as urgent, because other routers know them already.
func (v *View) MergeSnapshot(now time.Time, g port.Gossip) {
	v.Merge(now, g)
	for _, t := range g.Targets {
		v.marks.urgent.drop(t.Target)
	}
	for _, f := range g.Fingerprints {
		v.fingerprints.urgent.drop(f.Value)
	}
}

// Gossip returns queued updates for a peer within maxBytes of encoded size, and
// the size. If the hashes in remote, the gossip received from the peer, differ
// from the local ones, a random part of the state fills the remaining space.
func (v *View) Gossip(now time.Time, to string, remote *port.Gossip, maxBytes int) (port.Gossip, int) {
	b := gossipBuilder{view: v, now: now, remaining: maxBytes, included: map[string]bool{}}
	if m := v.members[to]; m != nil && m.State != port.MemberAlive && m.Incarnation > 0 {
		b.member(to)
	}
	limit := v.transmitLimit()
	v.marks.updates.take(limit, b.mark)
	v.fingerprints.updates.take(limit, b.fingerprint)
	v.updates.take(limit, b.member)
	b.out.MembersHash, b.out.TargetsHash = v.membersHash(), v.targetsHash()
	if remote != nil && remote.TargetsHash != b.out.TargetsHash {
		v.offerRandomRun(v.markedTargets(), b.mark)
	}
	if remote != nil && remote.MembersHash != b.out.MembersHash {
		v.offerRandomRun(v.names, b.member)
	}
	return b.out, maxBytes - b.remaining
}

// offerRandomRun offers the keys to accept from a random position on, wrapping
// around, until accept returns false.
func (v *View) offerRandomRun(keys []string, accept func(string) bool) {
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

// TakeUrgent removes and returns the marks and fingerprints, from any source,
// that are queued for immediate transmission to the neighbours, and reports
// whether there are any.
func (v *View) TakeUrgent(now time.Time) (port.Gossip, bool) {
	var g port.Gossip
	v.marks.urgent.take(1, func(target string) bool {
		if len(g.Targets) == maxUrgent {
			return false
		}
		g.Targets = append(g.Targets, v.marks.byTarget[target].export(now))
		return true
	})
	v.fingerprints.urgent.take(1, func(value string) bool {
		if len(g.Fingerprints) == maxUrgent {
			return false
		}
		g.Fingerprints = append(g.Fingerprints, v.fingerprints.export(now, value))
		return true
	})
	return g, len(g.Targets)+len(g.Fingerprints) > 0
}

// HasUrgent reports whether marks or fingerprints are queued for TakeUrgent.
func (v *View) HasUrgent() bool {
	return len(v.marks.urgent.items)+len(v.fingerprints.urgent.items) > 0
}

// Snapshot returns the whole state of the view for a router that starts.
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
	for value := range v.fingerprints.reportedAt {
		g.Fingerprints = append(g.Fingerprints, v.fingerprints.export(now, value))
	}
	sort.Slice(g.Fingerprints, func(i, j int) bool { return g.Fingerprints[i].Value < g.Fingerprints[j].Value })
	return g
}

// LeavingTargets returns the marks of leaving targets, sorted by target.
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

// cachedHash is a hash of the members with the view version, incarnation and
// state for which it was computed.
type cachedHash struct {
	version     uint64
	incarnation uint64
	state       port.MemberState
	hash        uint64
}

// membersHash hashes all routers except dead ones, which each router removes at
// a different time, and those known from the VM list only.
func (v *View) membersHash() uint64 {
	now := cachedHash{version: v.version, incarnation: v.self.Incarnation, state: v.self.State, hash: v.membersHashCache.hash}
	if now == v.membersHashCache {
		return now.hash
	}
	now.hash = hashEntry(v.self.Name, v.self.Incarnation, byte(v.self.State))
	for _, m := range v.members {
		if m.Incarnation > 0 && m.State != port.MemberDead {
			now.hash ^= hashEntry(m.Name, m.Incarnation, byte(m.State))
		}
	}
	v.membersHashCache = now
	return now.hash
}

func (v *View) targetsHash() uint64 {
	var h uint64
	for target, m := range v.marks.byTarget {
		h ^= hashEntry(target, m.Version, 0)
	}
	return h
}

func hashEntry(name string, version uint64, state byte) uint64 {
	b := binary.LittleEndian.AppendUint64(append([]byte(name), 0), version)
	return xxhash.Sum64(append(b, state))
}

// gossipBuilder fills a Gossip up to a size limit in bytes.
type gossipBuilder struct {
	view      *View
	now       time.Time
	remaining int
	out       port.Gossip
	// included holds the names of the routers, and "mark/" followed by those of
	// the targets, that are already in out.
	included map[string]bool
}

func (b *gossipBuilder) fits(size int) bool {
	if size > b.remaining {
		return false
	}
	b.remaining -= size
	return true
}

func (b *gossipBuilder) member(name string) bool {
	var entry port.Member
	switch m := b.view.members[name]; {
	case b.included[name]:
		return true
	case m == nil || m.Incarnation == 0:
		return true
	case m.State == port.MemberAlive && m.listAddress != m.Address && b.now.Sub(m.addressLearned) < fullEntryPeriod:
		entry = m.Member
	default:
		entry = port.Member{Name: m.Name, Incarnation: m.Incarnation, State: m.State}
	}
	size := memberOverheadBytes + len(entry.Name) + len(entry.Address) + len(entry.Region) + len(entry.AvailabilityZone)
	if !b.fits(size) {
		return false
	}
	b.included[name] = true
	b.out.Members = append(b.out.Members, entry)
	return true
}

func (b *gossipBuilder) mark(target string) bool {
	m := b.view.marks.byTarget[target].export(b.now)
	if b.included["mark/"+target] {
		return true
	}
	if !b.fits(markOverheadBytes + len(m.Target) + len(m.Incarnation)) {
		return false
	}
	b.included["mark/"+target] = true
	b.out.Targets = append(b.out.Targets, m)
	return true
}

func (b *gossipBuilder) fingerprint(value string) bool {
	if !b.fits(fingerprintOverheadBytes + len(value)) {
		return false
	}
	b.out.Fingerprints = append(b.out.Fingerprints, b.view.fingerprints.export(b.now, value))
	return true
}
