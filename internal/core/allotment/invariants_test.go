package allotment

import "time"

// invariantInterval is the time between two checks of the invariants.
const invariantInterval = 50 * time.Millisecond

// checkInvariants checks what the argument for the upper bound rests on: no router is
// counted by two allocators or while it may spend its own part, the shares of a group
// sum to at most 1, and the buckets hold at most a burst together.
func (w *world) checkInvariants() {
	byName := map[string]*router{}
	for _, r := range w.routers {
		byName[r.name] = r
	}
	type counted struct {
		name string
		id   groupID
	}
	countedBy := map[counted]string{}
	groupsOf := map[string]int{}
	shares := map[groupID]float64{}
	levels := map[Key]float64{}
	for _, r := range w.routers {
		if !r.up {
			continue
		}
		for id, g := range r.allocators.groups {
			attached := 0
			for name, until := range g.until {
				if !until.After(w.now) {
					continue
				}
				attached++
				if other := countedBy[counted{name, id}]; other != "" {
					w.fail("%s is counted by %s and %s", name, other, r.name)
				}
				if groups := groupsOf[name]; groups != 0 && groups != id.groups {
					w.fail("%s is counted in one of %d groups and in one of %d", name, groups, id.groups)
				}
				countedBy[counted{name, id}], groupsOf[name] = r.name, id.groups
				if p := byName[name]; p.up && p.mayAttach(w.now) && !p.boundTo(w.now, id, r.name, g.incarnation) {
					w.fail("%s is counted by %s but not bound to it", name, r.name)
				}
			}
			shares[id] += allocatorShare(attached, g.routers())
			if r.frozen(w) {
				continue
			}
			g.advance(w.now)
			for key, b := range g.buckets {
				b.update(g.ledger, b.limit)
				levels[key] += b.level
			}
		}
	}
	for _, r := range w.routers {
		if !r.up || r.frozen(w) || len(r.client.groups) == 0 || w.now.Before(r.client.freeSince(r.client.groups[0])) {
			continue
		}
		shares[groupID{0, len(r.client.groups)}] += r.client.ownShare()
	}
	for id, sum := range shares {
		if sum > 1+1e-9 {
			w.fail("the shares of group %v sum to %.3f", id, sum)
		}
	}
	for key, sum := range levels {
		burst := 0.0
		for i, c := range w.keys[key].changes {
			if i+1 == len(w.keys[key].changes) || w.keys[key].changes[i+1].at.Add(configDelay+DefaultWindow).After(w.now) {
				burst = max(burst, c.limit.Burst)
			}
		}
		if sum > burst*(1+w.settings.over())*(1+1e-9) {
			w.fail("the buckets of %s hold %.1f, the burst is %.1f", key, sum, burst)
		}
	}
}

func (r *router) mayAttach(now time.Time) bool { return !now.Before(r.mayAttachAt) }

func (r *router) boundTo(now time.Time, id groupID, to string, of uint64) bool {
	if id.groups != len(r.client.groups) {
		return now.Before(r.client.free)
	}
	b := r.client.groups[id.group].bound
	return now.Before(b.until) && b.to == to && b.of == of
}
