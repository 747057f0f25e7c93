// Package membership holds a router's view of the other routers and of leaving
// targets. It is pure: time and randomness are parameters, and nothing is sent.
//
// Routers are told apart by name and incarnation. A larger incarnation
// supersedes; at the same incarnation the order is alive, suspect, leaving,
// dead. Only the router itself raises its incarnation, to refute what others
// believe. The VM list adds routers that nobody has met, and never overrules
// what routers have seen themselves.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// ExchangeInterval is the time between two exchanges of one router.
	ExchangeInterval = time.Second
	// MaxNeighbours bounds the routers that one router probes.
	MaxNeighbours = 8

	// maxMembers bounds the memory; it is over seven times the routers at full
	// scale.
	maxMembers = 4096
	// failuresToSuspect is 2 because a single lost connection is common.
	failuresToSuspect = 2
	// incomingGrace spares a router that still reaches us from suspicion: the
	// path towards it is cut, but it is alive.
	incomingGrace = 5 * time.Second
	// isolatedAfter is the time without any contact after which failures are
	// blamed on the own connection instead of on the others.
	isolatedAfter = 5 * time.Second
	// quietAfterRefutal keeps a router that alone cannot reach another one from
	// raising the same refuted suspicion again and again.
	quietAfterRefutal = time.Minute
	// deadRetention keeps dead routers known, so that old news cannot revive
	// them.
	deadRetention = 10 * time.Minute
	// leavingRetention is the time without contact after which a leaving router
	// counts as gone.
	leavingRetention = 10 * time.Minute
	// unlistedRetention is how long a router without contact stays known after
	// the VM list has dropped it.
	unlistedRetention = time.Minute
	// pauseAfter is the gap between two ticks that shows that the process was
	// paused; timeouts are extended by the gap.
	pauseAfter = 5 * time.Second
	// fullIntroductions is over 1 because messages can be lost.
	fullIntroductions = 3
	// suspicionFactor times log2 of the number of routers is the number of
	// intervals in which a suspect can refute: the suspicion has to reach it and
	// the refutation has to come back, each in about log2 rounds.
	suspicionFactor = 3
)

// member is what the view knows of one other router.
type member struct {
	port.Member
	// listed says that the VM list has the router, listAddress where.
	listed      bool
	listAddress string
	learned     time.Time
	// placed is when Address was learned.
	placed time.Time
	// since is when State was entered.
	since time.Time
	// contact is the last exchange in either direction, incoming the last one
	// that the router started.
	contact, incoming time.Time
	failures          int
	// failedSince is the first failure after the last contact.
	failedSince time.Time
	quietUntil  time.Time
	// introductions counts the full entries of the own router that were sent to
	// this incarnation.
	introductions int
}

// Router is one other router as the view sees it.
type Router struct {
	port.Member
	// Listed says that the VM list has the router. A dead router that is listed
	// may be alive behind a network partition.
	Listed bool
	// LastContact is the time of the last exchange with it; zero if none.
	LastContact time.Time
}

// OutOfContact reports whether the router may be running although it cannot
// be reached.
func (r Router) OutOfContact() bool {
	return r.State == port.MemberSuspect || r.State == port.MemberDead && r.Listed
}

// View is one router's view. It is not safe for concurrent use.
type View struct {
	self    port.Member
	rnd     *rand.Rand
	members map[string]*member
	// names holds the keys of members in order, for choices that depend on the
	// random source alone.
	names []string
	seeds []string
	news  queue
	marks marks
	hints fingerprints

	neighbours  []string
	stale       bool
	round       int
	next        int
	lastTick    time.Time
	lastContact time.Time
	// lost counts failures since the last contact with anyone.
	lost        int
	regions     map[string]*reach
	lostRegions map[string]bool
	// version counts changes of the routers.
	version uint64
	hash    hashed
}

// New returns the view of a router that knows only itself and the addresses
// of its seeds. The incarnation must be larger than that of the router's
// former lives; the start time in Unix milliseconds serves.
func New(now time.Time, self port.Member, seeds []string, rnd *rand.Rand) *View {
	v := &View{
		self:        self,
		rnd:         rnd,
		members:     map[string]*member{},
		news:        newQueue(),
		marks:       newMarks(),
		hints:       newFingerprints(),
		regions:     map[string]*reach{},
		lostRegions: map[string]bool{},
		lastTick:    now,
		lastContact: now,
	}
	for _, s := range seeds {
		if s != "" && s != self.Address {
			v.seeds = append(v.seeds, s)
		}
	}
	return v
}

// Self returns the router's own entry.
func (v *View) Self() port.Member { return v.self }

// Len returns the number of other routers known.
func (v *View) Len() int { return len(v.members) }

// Version changes when an entry of Routers changes, apart from LastContact and
// from the state shown while the router is cut off.
func (v *View) Version() uint64 { return v.version }

// Introduction returns the router's own entry for a message to a peer: in full
// for the first messages to each incarnation of the peer, then a short notice.
func (v *View) Introduction(to string) port.Member {
	m := v.members[to]
	if m == nil || m.introductions < fullIntroductions {
		if m != nil {
			m.introductions++
		}
		return v.self
	}
	return port.Member{Name: v.self.Name, Incarnation: v.self.Incarnation, State: v.self.State}
}

// Leave marks the router itself as leaving. The next exchanges tell others.
func (v *View) Leave() { v.self.State = port.MemberLeaving }

// Routers returns the other routers in order of name. While the router itself
// or a whole region is cut off, those that seem alive are reported as suspect.
func (v *View) Routers(now time.Time) []Router {
	routers := make([]Router, 0, len(v.names))
	for _, name := range v.names {
		m := v.members[name]
		r := Router{Member: m.Member, Listed: m.listed, LastContact: m.contact}
		if v.outOfContact(now, m) && r.State == port.MemberAlive {
			r.State = port.MemberSuspect
		}
		routers = append(routers, r)
	}
	return routers
}

// Tick applies timeouts. It is called once per interval.
func (v *View) Tick(now time.Time) {
	pause := now.Sub(v.lastTick)
	v.lastTick = now
	if pause > pauseAfter {
		v.extendTimeouts(pause)
	}
	v.findLostRegions(now)
	timeout := v.suspicionTimeout()
	for _, name := range append([]string(nil), v.names...) {
		m := v.members[name]
		age := now.Sub(m.since)
		switch {
		case m.State == port.MemberSuspect && age > timeout && !m.contact.After(m.since) && !v.outOfContact(now, m):
			v.set(now, m, port.MemberDead)
		case m.State == port.MemberLeaving && age > leavingRetention && now.Sub(m.contact) > leavingRetention:
			v.set(now, m, port.MemberDead)
		case m.State == port.MemberDead && age > deadRetention && !m.listed:
			v.forget(name)
		}
	}
	v.marks.expire(now)
	v.hints.expire(now)
}

func (v *View) suspicionTimeout() time.Duration {
	return suspicionFactor * time.Duration(bits.Len(uint(len(v.members)+1))) * ExchangeInterval
}

// Answered records that the peer answered an exchange. An answer under
// another name shows that the expected router is no longer at its address.
func (v *View) Answered(now time.Time, peer Target, from port.Member) {
	v.met(now, from)
	m := v.members[peer.Name]
	if m != nil && from.Name != peer.Name && m.Address == peer.Address && m.State != port.MemberDead {
		v.set(now, m, port.MemberDead)
	}
	if from.Name == v.self.Name {
		v.dropSeed(peer.Address)
	}
}

// Called records that another router started an exchange.
func (v *View) Called(now time.Time, from port.Member) {
	v.met(now, from)
	if m := v.members[from.Name]; m != nil {
		m.incoming = now
	}
}

func (v *View) met(now time.Time, from port.Member) {
	v.apply(now, from)
	m := v.members[from.Name]
	if m == nil {
		return
	}
	m.contact, m.failures = now, 0
	v.reached(now, m.Region)
}

// Failed records that an exchange with the peer failed.
func (v *View) Failed(now time.Time, peer Target) {
	v.lost++
	m := v.members[peer.Name]
	if m == nil {
		return
	}
	if m.failures++; m.failures == 1 {
		m.failedSince = now
	}
	v.missed(now, m)
	v.judge(now, m)
}

// judge suspects a router after a failure when its region answers.
func (v *View) judge(now time.Time, m *member) {
	if m.failures < failuresToSuspect || v.outOfContact(now, m) || !v.regionAnswers(now, m) {
		return
	}
	switch {
	case m.State == port.MemberLeaving:
		v.set(now, m, port.MemberDead)
	case m.State == port.MemberAlive && now.Sub(m.incoming) > incomingGrace && !now.Before(m.quietUntil):
		v.set(now, m, port.MemberSuspect)
	}
}

// ObserveList takes the VM list: routers that are new, and targets that leave
// or that the list has live again after it had them leaving.
func (v *View) ObserveList(now time.Time, list port.VMSnapshot) {
	listed := map[string]bool{}
	for _, vm := range list.VMs {
		switch {
		case vm.Name == "" || vm.Name == v.self.Name:
		case vm.Role == port.RoleRouter:
			listed[vm.Name] = true
			v.observeRouter(now, vm)
		default:
			v.marks.observeList(now, list.AsOf, vm.Name, vm.State == port.VMLeaving)
		}
	}
	for _, name := range append([]string(nil), v.names...) {
		m := v.members[name]
		if m.listed != listed[name] {
			m.listed = listed[name]
			v.version++
		}
		silent := now.Sub(m.contact) > unlistedRetention && now.Sub(m.learned) > unlistedRetention
		if !m.listed && silent && (m.Incarnation == 0 || v.outOfContact(now, m)) {
			v.forget(name)
		}
	}
}

func (v *View) observeRouter(now time.Time, vm port.VM) {
	m := v.members[vm.Name]
	if m == nil {
		m = v.add(now, port.Member{Name: vm.Name})
	}
	// A reachable router states its own address; the list may be older.
	m.listAddress = vm.Address
	if m.Address == "" || m.Incarnation == 0 || m.State != port.MemberAlive {
		v.place(now, m, port.Member{Address: vm.Address, Region: vm.Region, AvailabilityZone: vm.AvailabilityZone})
	}
	// A router that was met tells itself when it leaves; a late list could mean
	// its former life.
	if vm.State == port.VMLeaving && m.Incarnation == 0 && m.State < port.MemberLeaving {
		v.set(now, m, port.MemberLeaving)
	}
}

// set changes a state by this router's own evidence.
func (v *View) set(now time.Time, m *member, s port.MemberState) {
	m.State, m.since, v.stale = s, now, true
	v.version++
	if m.Incarnation > 0 {
		v.news.add(m.Name)
	}
}

func (v *View) add(now time.Time, in port.Member) *member {
	m := &member{Member: in, learned: now, placed: now, since: now}
	v.members[in.Name] = m
	i := sort.SearchStrings(v.names, in.Name)
	v.names = append(v.names[:i], append([]string{in.Name}, v.names[i:]...)...)
	v.stale = true
	v.version++
	return m
}

func (v *View) forget(name string) {
	if r := v.regions[v.members[name].Region]; r != nil {
		delete(r.lost, name)
	}
	delete(v.members, name)
	i := sort.SearchStrings(v.names, name)
	v.names = append(v.names[:i], v.names[i+1:]...)
	v.news.drop(name)
	v.stale = true
	v.version++
}

// transmissions is the number of times that a router passes news on.
func (v *View) transmissions() int { return 2 * bits.Len(uint(len(v.members)+1)) }
