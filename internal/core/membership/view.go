// Package membership implements the gossip membership protocol between routers:
// one router's view of the other routers, and the state that is gossiped about
// targets. It performs no I/O; time and the random source are parameters.
//
// An entry is identified by router name and incarnation. A larger incarnation
// supersedes a smaller one; at the same incarnation the precedence is alive,
// suspect, leaving, dead. Only the router itself raises its incarnation, to
// refute the state that other routers have recorded for it. The VM list adds
// routers that have not exchanged messages yet, and never overrides what routers
// have observed themselves.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// ExchangeInterval is the time between two gossip exchanges that a router
	// starts.
	ExchangeInterval = time.Second
	// MaxNeighbours bounds the routers that one router probes.
	MaxNeighbours = 8

	// maxMembers bounds the memory; it is over seven times the number of routers
	// at full scale.
	maxMembers = 4096
	// failuresToSuspect is the number of consecutive failures before a router is
	// suspected. It is 2 because a single lost connection is common.
	failuresToSuspect = 2
	// incomingGrace is the time after an exchange started by a router in which
	// that router is not suspected: it is alive and only the path towards it is
	// cut.
	incomingGrace = 5 * time.Second
	// isolationTimeout is the time without any contact after which failures are
	// attributed to this router's own connection instead of to other routers.
	isolationTimeout = 5 * time.Second
	// resuspectDelay is the time after a refutation in which the same router is
	// not suspected again. Without it, a router that is the only one unable to
	// reach another would keep raising the same refuted suspicion.
	resuspectDelay = time.Minute
	// deadRetention is how long dead routers are retained, so that stale updates
	// cannot mark them alive again.
	deadRetention = 10 * time.Minute
	// leavingRetention is the time without contact after which a leaving router
	// is marked dead.
	leavingRetention = 10 * time.Minute
	// unlistedRetention is how long a router without contact is retained after
	// the VM list has dropped it.
	unlistedRetention = time.Minute
	// pauseThreshold is the gap between two ticks from which the process is taken
	// to have been paused; timeouts are extended by the gap.
	pauseThreshold = 5 * time.Second
	// maxFullIntroductions is the number of full entries sent to each incarnation
	// of a peer. It is over 1 because messages can be lost.
	maxFullIntroductions = 3
	// suspicionFactor times log2 of the number of routers is the number of
	// intervals that a suspect has to refute the suspicion: the suspicion must
	// reach it and the refutation must spread back, each in about log2 rounds.
	suspicionFactor = 3
)

// member is the state kept for one other router.
type member struct {
	port.Member
	// listed is true if the VM list contains the router; listAddress is its
	// address there.
	listed      bool
	listAddress string
	firstSeen   time.Time
	// addressLearned is when Address last changed.
	addressLearned time.Time
	// stateSince is when State last changed.
	stateSince time.Time
	// lastContact is the time of the last exchange in either direction,
	// lastIncoming that of the last one that the router started.
	lastContact, lastIncoming time.Time
	failures                  int
	// failedSince is the time of the first failure after the last contact.
	failedSince      time.Time
	noSuspicionUntil time.Time
	// fullIntroductions counts the full entries of this router that were sent to
	// the member's current incarnation.
	fullIntroductions int
}

// Router is the exported state of one other router.
type Router struct {
	port.Member
	// Listed is true if the VM list contains the router. A dead router that is
	// listed may be running behind a network partition.
	Listed bool
	// LastContact is the time of the last exchange with it; zero if none.
	LastContact time.Time
}

// OutOfContact reports whether the router may be running although it is
// unreachable.
func (r Router) OutOfContact() bool {
	return r.State == port.MemberSuspect || r.State == port.MemberDead && r.Listed
}

// View is one router's membership view. It is not safe for concurrent use.
type View struct {
	self    port.Member
	rnd     *rand.Rand
	members map[string]*member
	// names holds the keys of members in sorted order, so that random choices
	// depend on the random source alone and not on map iteration.
	names        []string
	seeds        []string
	updates      updateQueue
	marks        marks
	fingerprints fingerprints

	neighbours      []string
	neighboursStale bool
	round           int
	nextNeighbour   int
	lastTick        time.Time
	lastContact     time.Time
	// failuresSinceContact counts failures since the last contact with any router.
	failuresSinceContact int
	regions              map[string]*regionContact
	unreachableRegions   map[string]bool
	// version counts changes of members; see Version.
	version          uint64
	membersHashCache cachedHash
}

// New returns the view of a router that knows only itself and the addresses of
// its seeds. The incarnation must be larger than any that the router has used
// before; callers use the start time in Unix milliseconds.
func New(now time.Time, self port.Member, seeds []string, rnd *rand.Rand) *View {
	v := &View{
		self:               self,
		rnd:                rnd,
		members:            map[string]*member{},
		updates:            newUpdateQueue(),
		marks:              newMarks(),
		fingerprints:       newFingerprints(),
		regions:            map[string]*regionContact{},
		unreachableRegions: map[string]bool{},
		lastTick:           now,
		lastContact:        now,
	}
	for _, s := range seeds {
		if s != "" && s != self.Address {
			v.seeds = append(v.seeds, s)
		}
	}
	return v
}

// Self returns this router's own entry.
func (v *View) Self() port.Member { return v.self }

// Len returns the number of other routers in the view.
func (v *View) Len() int { return len(v.members) }

// Version changes when an entry of Routers changes, except for LastContact and
// for the suspect state that is reported while this router is isolated.
func (v *View) Version() uint64 { return v.version }

// Incarnation returns the newest known incarnation of a router, zero if there is none.
func (v *View) Incarnation(name string) uint64 {
	if m := v.members[name]; m != nil {
		return m.Incarnation
	}
	return 0
}

// Introduction returns this router's own entry for a message to a peer: in full
// for the first messages to each incarnation of the peer, then without the
// address, region and availability zone.
func (v *View) Introduction(to string) port.Member {
	m := v.members[to]
	if m == nil || m.fullIntroductions < maxFullIntroductions {
		if m != nil {
			m.fullIntroductions++
		}
		return v.self
	}
	return port.Member{Name: v.self.Name, Incarnation: v.self.Incarnation, State: v.self.State}
}

// Leave marks this router as leaving. The next exchanges announce the state to
// other routers.
func (v *View) Leave() { v.self.State = port.MemberLeaving }

// Routers returns the other routers sorted by name. While this router is
// isolated or a whole region is unreachable, the alive routers concerned are
// reported as suspect.
func (v *View) Routers(now time.Time) []Router {
	routers := make([]Router, 0, len(v.names))
	for _, name := range v.names {
		m := v.members[name]
		r := Router{Member: m.Member, Listed: m.listed, LastContact: m.lastContact}
		if v.partitioned(now, m) && r.State == port.MemberAlive {
			r.State = port.MemberSuspect
		}
		routers = append(routers, r)
	}
	return routers
}

// Tick applies timeouts. It must be called once per ExchangeInterval.
func (v *View) Tick(now time.Time) {
	pause := now.Sub(v.lastTick)
	v.lastTick = now
	if pause > pauseThreshold {
		v.extendTimeouts(pause)
	}
	v.findUnreachableRegions(now)
	timeout := v.suspicionTimeout()
	for _, name := range append([]string(nil), v.names...) {
		m := v.members[name]
		age := now.Sub(m.stateSince)
		switch {
		case m.State == port.MemberSuspect && age > timeout && !m.lastContact.After(m.stateSince) && !v.partitioned(now, m):
			v.setState(now, m, port.MemberDead)
		case m.State == port.MemberLeaving && age > leavingRetention && now.Sub(m.lastContact) > leavingRetention:
			v.setState(now, m, port.MemberDead)
		case m.State == port.MemberDead && age > deadRetention && !m.listed:
			v.remove(name)
		}
	}
	v.marks.expire(now)
	v.fingerprints.expire(now)
}

func (v *View) suspicionTimeout() time.Duration {
	return suspicionFactor * time.Duration(bits.Len(uint(len(v.members)+1))) * ExchangeInterval
}

// RecordResponse records that the peer responded to an exchange. A response under
// another name means that the expected router is no longer at its address.
func (v *View) RecordResponse(now time.Time, peer Peer, from port.Member) {
	v.recordContact(now, from)
	m := v.members[peer.Name]
	if m != nil && from.Name != peer.Name && m.Address == peer.Address && m.State != port.MemberDead {
		v.setState(now, m, port.MemberDead)
	}
	if from.Name == v.self.Name {
		v.dropSeed(peer.Address)
	}
}

// RecordIncoming records that another router started an exchange.
func (v *View) RecordIncoming(now time.Time, from port.Member) {
	v.recordContact(now, from)
	if m := v.members[from.Name]; m != nil {
		m.lastIncoming = now
	}
}

func (v *View) recordContact(now time.Time, from port.Member) {
	v.apply(now, from)
	m := v.members[from.Name]
	if m == nil {
		return
	}
	m.lastContact, m.failures = now, 0
	v.recordRegionContact(now, m.Region)
}

// RecordFailure records that an exchange with the peer failed.
func (v *View) RecordFailure(now time.Time, peer Peer) {
	v.failuresSinceContact++
	m := v.members[peer.Name]
	if m == nil {
		return
	}
	if m.failures++; m.failures == 1 {
		m.failedSince = now
	}
	v.recordUnreachable(now, m)
	v.updateStateAfterFailure(now, m)
}

// updateStateAfterFailure marks a router that failed repeatedly as suspect, or as
// dead if it was leaving, provided that other routers of its region respond.
func (v *View) updateStateAfterFailure(now time.Time, m *member) {
	if m.failures < failuresToSuspect || v.partitioned(now, m) || !v.regionResponds(now, m) {
		return
	}
	switch {
	case m.State == port.MemberLeaving:
		v.setState(now, m, port.MemberDead)
	case m.State == port.MemberAlive && now.Sub(m.lastIncoming) > incomingGrace && !now.Before(m.noSuspicionUntil):
		v.setState(now, m, port.MemberSuspect)
	}
}

// ApplyVMList applies the VM list: new routers, targets that are leaving, and
// targets that the list shows as live again after it showed them as leaving.
func (v *View) ApplyVMList(now time.Time, list port.VMSnapshot) {
	listed := map[string]bool{}
	for _, vm := range list.VMs {
		switch {
		case vm.Name == "" || vm.Name == v.self.Name:
		case vm.Role == port.RoleRouter:
			listed[vm.Name] = true
			v.applyListedRouter(now, vm)
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
		noContact := now.Sub(m.lastContact) > unlistedRetention && now.Sub(m.firstSeen) > unlistedRetention
		if !m.listed && noContact && (m.Incarnation == 0 || v.partitioned(now, m)) {
			v.remove(name)
		}
	}
}

func (v *View) applyListedRouter(now time.Time, vm port.VM) {
	m := v.members[vm.Name]
	if m == nil {
		m = v.add(now, port.Member{Name: vm.Name})
	}
	// A reachable router reports its own address; the list may be older.
	m.listAddress = vm.Address
	if m.Address == "" || m.Incarnation == 0 || m.State != port.MemberAlive {
		v.setAddress(now, m, port.Member{Address: vm.Address, Region: vm.Region, AvailabilityZone: vm.AvailabilityZone})
	}
	// A router that has exchanged messages announces its own leaving; an outdated
	// list may refer to an earlier incarnation.
	if vm.State == port.VMLeaving && m.Incarnation == 0 && m.State < port.MemberLeaving {
		v.setState(now, m, port.MemberLeaving)
	}
}

// setState changes a member's state because of this router's own observation.
func (v *View) setState(now time.Time, m *member, s port.MemberState) {
	m.State, m.stateSince, v.neighboursStale = s, now, true
	v.version++
	if m.Incarnation > 0 {
		v.updates.add(m.Name)
	}
}

func (v *View) add(now time.Time, in port.Member) *member {
	m := &member{Member: in, firstSeen: now, addressLearned: now, stateSince: now}
	v.members[in.Name] = m
	i := sort.SearchStrings(v.names, in.Name)
	v.names = append(v.names[:i], append([]string{in.Name}, v.names[i:]...)...)
	v.neighboursStale = true
	v.version++
	return m
}

func (v *View) remove(name string) {
	if r := v.regions[v.members[name].Region]; r != nil {
		delete(r.failed, name)
	}
	delete(v.members, name)
	i := sort.SearchStrings(v.names, name)
	v.names = append(v.names[:i], v.names[i+1:]...)
	v.updates.drop(name)
	v.neighboursStale = true
	v.version++
}

// transmitLimit is the number of times that a router sends each update.
func (v *View) transmitLimit() int { return 2 * bits.Len(uint(len(v.members)+1)) }
