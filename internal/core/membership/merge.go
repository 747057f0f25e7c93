package membership

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// relation is the precedence of one entry over another for the same router.
type relation int

const (
	older relation = iota - 1
	same
	newer
)

func compare(a, b port.Member) relation {
	switch {
	case a.Incarnation != b.Incarnation && a.Incarnation > b.Incarnation:
		return newer
	case a.Incarnation != b.Incarnation:
		return older
	case a.State != b.State && a.State > b.State:
		return newer
	case a.State != b.State:
		return older
	}
	return same
}

// apply merges a received entry for a router.
func (v *View) apply(now time.Time, in port.Member) {
	if in.Name == v.self.Name {
		v.refute(in)
		return
	}
	m := v.members[in.Name]
	if m == nil {
		// Unknown dead routers are not added: because each router removes them at
		// a different time, they would be gossiped indefinitely.
		if in.Name != "" && in.Incarnation > 0 && in.State != port.MemberDead && len(v.members) < maxMembers {
			v.add(now, in)
			v.updates.add(in.Name)
		}
		return
	}
	switch compare(in, m.Member) {
	case newer:
		v.replace(now, m, in)
	case same:
		v.fillAddress(now, m, in)
	case older:
		v.fillAddress(now, m, in)
		v.updates.ensureQueued(in.Name, v.transmitLimit())
	}
}

func (v *View) replace(now time.Time, m *member, in port.Member) {
	if in.State == port.MemberAlive {
		m.failures = 0
		if m.State == port.MemberSuspect {
			m.noSuspicionUntil = now.Add(resuspectDelay)
		}
	}
	if in.Address != "" {
		v.setAddress(now, m, in)
	}
	if m.Incarnation != in.Incarnation {
		m.Incarnation, m.fullIntroductions = in.Incarnation, 0
	}
	v.version++
	if in.State != m.State {
		m.State, m.stateSince, v.neighboursStale = in.State, now, true
	}
	v.updates.add(in.Name)
}

// fillAddress sets the address of a member for which only entries without an
// address were received so far.
func (v *View) fillAddress(now time.Time, m *member, in port.Member) {
	if m.Address == "" && in.Address != "" {
		v.setAddress(now, m, in)
	}
}

func (v *View) setAddress(now time.Time, m *member, at port.Member) {
	if m.Address != at.Address {
		m.addressLearned, v.neighboursStale = now, true
		v.version++
	}
	m.Address, m.Region, m.AvailabilityZone = at.Address, at.Region, at.AvailabilityZone
}

// refute raises this router's incarnation above a received entry that supersedes
// its own state, including one for an earlier process of the same name.
func (v *View) refute(in port.Member) {
	if compare(in, v.self) == newer {
		v.self.Incarnation = in.Incarnation + 1
	}
}
