package membership

import (
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// relation of one notice to another about the same router.
type relation int

const (
	older relation = iota - 1
	same
	newer
)

func order(a, b port.Member) relation {
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

// apply merges what is said of a router.
func (v *View) apply(now time.Time, in port.Member) {
	if in.Name == v.self.Name {
		v.refute(in)
		return
	}
	m := v.members[in.Name]
	if m == nil {
		// Adopting the unknown dead would pass them around for ever, because
		// each router forgets them at another time.
		if in.Name != "" && in.Incarnation > 0 && in.State != port.MemberDead && len(v.members) < maxMembers {
			v.add(now, in)
			v.news.add(in.Name)
		}
		return
	}
	switch order(in, m.Member) {
	case newer:
		v.replace(now, m, in)
	case same:
		v.fill(now, m, in)
	case older:
		v.fill(now, m, in)
		v.news.ensure(in.Name, v.transmissions())
	}
}

func (v *View) replace(now time.Time, m *member, in port.Member) {
	if in.State == port.MemberAlive {
		m.failures = 0
		if m.State == port.MemberSuspect {
			m.quietUntil = now.Add(quietAfterRefutal)
		}
	}
	if in.Address != "" {
		v.place(now, m, in)
	}
	if m.Incarnation != in.Incarnation {
		m.Incarnation, m.introductions = in.Incarnation, 0
	}
	v.version++
	if in.State != m.State {
		m.State, m.since, v.stale = in.State, now, true
	}
	v.news.add(in.Name)
}

// fill completes an entry that is known from short notices only.
func (v *View) fill(now time.Time, m *member, in port.Member) {
	if m.Address == "" && in.Address != "" {
		v.place(now, m, in)
	}
}

func (v *View) place(now time.Time, m *member, at port.Member) {
	if m.Address != at.Address {
		m.placed, v.stale = now, true
		v.version++
	}
	m.Address, m.Region, m.AvailabilityZone = at.Address, at.Region, at.AvailabilityZone
}

// refute raises the own incarnation over what others believe of this router,
// or of a former life with the same name.
func (v *View) refute(in port.Member) {
	if order(in, v.self) == newer {
		v.self.Incarnation = in.Incarnation + 1
	}
}
