package allotment

import (
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math/rand"
	"os"
	"slices"
	"testing"
	"time"
)

// TestMain fixes the seed and the number of schedules of the property tests unless
// flags set others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "60")
	os.Exit(m.Run())
}

const (
	// gossipDelay is the time within which routers notice that another one is up, down
	// or listed, and configDelay that within which they know a changed limit.
	gossipDelay = 2 * time.Second
	configDelay = 4 * time.Second
)

// world runs the routers of a fleet with messages that take time, get lost and
// overtake each other. Its clock advances from event to event.
type world struct {
	rand     *rand.Rand
	now      time.Time
	events   events
	seq      int
	settings Settings
	routers  []*router
	keys     map[Key]*tally
	// loss is the probability that a message or an answer gets lost. latency returns
	// the delay of one.
	loss    float64
	latency func() time.Duration
	// cut reports whether messages from one router to another are lost.
	cut func(from, to *router) bool
	// fail is called with the description of a violation.
	fail func(string, ...any)
	// listsByPeers keeps the names of new routers from routers that are cut off from
	// them, as if the platform log were out of reach too.
	listsByPeers bool
	messages     int
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// router is one process. It is replaced when it restarts.
type router struct {
	name        string
	index       int
	incarnation uint64
	up          bool
	frozenUntil time.Time
	client      *Client
	allocators  *Allocators
	mayAttachAt time.Time
	wakeAt      time.Time
	pending     map[uint64]*request
	limits      map[Key]Limit
	versions    map[Key]int
	// listed are the routers that this one counts.
	listed map[string]bool
	// removed routers do not restart.
	removed   bool
	removedAt time.Time
	// joinedAt is when the router was listed on the log.
	joinedAt time.Time
}

type request struct {
	key     Key
	tokens  float64
	retries int
}

func newWorld(seed int64, settings Settings, fail func(string, ...any)) *world {
	w := &world{rand: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0), settings: settings, keys: map[Key]*tally{}, fail: fail}
	w.latency = func() time.Duration { return time.Duration(200+w.rand.Intn(2800)) * time.Microsecond }
	w.cut = func(*router, *router) bool { return false }
	return w
}

func (w *world) at(t time.Time, run func()) {
	w.seq++
	heap.Push(&w.events, event{maxTime(t, w.now), w.seq, run})
}

func (w *world) after(d time.Duration, run func()) { w.at(w.now.Add(d), run) }

// run executes the events of the given time.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// remove takes the router off the list. Its process ends within configDelay, and the
// others notice within that time.
func (w *world) remove(r *router) {
	r.removed, r.removedAt = true, w.now
	incarnation := r.incarnation
	w.after(time.Duration(w.rand.Int63n(int64(configDelay))), func() {
		if r.incarnation == incarnation {
			r.up = false
		}
	})
	for _, o := range w.routers {
		if o != r {
			w.after(time.Duration(w.rand.Int63n(int64(configDelay))), func() { delete(o.listed, r.name) })
		}
	}
}

func (w *world) setLimit(key Key, limit Limit) {
	t := w.keys[key]
	if t == nil {
		t = &tally{}
		w.keys[key] = t
	}
	t.limit = limit
	t.changes = append(t.changes, change{w.now, limit})
	for _, r := range w.routers {
		version := len(t.changes)
		w.after(time.Duration(w.rand.Int63n(int64(configDelay))), func() {
			if r.versions[key] < version {
				r.limits[key], r.versions[key] = limit, version
			}
		})
	}
}

// add starts routers that are all listed already and have known each other for long.
func (w *world) add(count int) {
	first := len(w.routers)
	for i := range count {
		r := &router{name: fmt.Sprintf("vm-%03d", first+i), index: first + i, joinedAt: w.now.Add(-AttachDelay), listed: map[string]bool{}}
		w.routers = append(w.routers, r)
	}
	for _, r := range w.routers[first:] {
		for _, o := range w.routers {
			r.listed[o.name] = true
		}
		w.start(r, w.now)
	}
}

// join starts a router that is new to the others.
func (w *world) join() {
	r := &router{name: fmt.Sprintf("vm-%03d", len(w.routers)), index: len(w.routers), joinedAt: w.now, listed: map[string]bool{}}
	w.routers = append(w.routers, r)
	for _, o := range w.routers {
		r.listed[o.name] = !o.removed
		if o == r || o.removed {
			continue
		}
		var learn func()
		learn = func() {
			if w.listsByPeers && w.cut(r, o) {
				w.after(time.Second, learn)
				return
			}
			o.listed[r.name] = true
			w.view(o)
		}
		w.after(time.Duration(w.rand.Int63n(int64(configDelay))), learn)
	}
	w.start(r, w.now.Add(AttachDelay))
}

func (w *world) start(r *router, mayAttachAt time.Time) {
	r.incarnation++
	r.up, r.frozenUntil = true, time.Time{}
	r.client = NewClient(w.settings, r.name, r.incarnation, w.rand.Float64)
	r.allocators = NewAllocators(r.client)
	r.pending = map[uint64]*request{}
	r.limits, r.versions = map[Key]Limit{}, map[Key]int{}
	for key, t := range w.keys {
		r.limits[key], r.versions[key] = t.limit, len(t.changes)
	}
	for _, o := range w.routers {
		if o.removed && w.now.Sub(o.removedAt) < AttachDelay && o != r && !r.listed[o.name] {
			// A process that starts counts the routers that were removed lately.
			r.listed[o.name] = true
			w.at(o.removedAt.Add(AttachDelay), func() { delete(r.listed, o.name) })
		}
	}
	r.mayAttachAt, r.wakeAt = mayAttachAt, time.Time{}
	w.view(r)
	incarnation := r.incarnation
	var refresh func()
	refresh = func() {
		if r.incarnation == incarnation && r.up {
			w.view(r)
			w.after(time.Second, refresh)
		}
	}
	w.after(time.Duration(w.rand.Int63n(int64(time.Second))), refresh)
	if w.now.Before(mayAttachAt) {
		w.at(mayAttachAt, func() { w.view(r) })
	}
	w.after(time.Duration(w.rand.Int63n(int64(Interval(len(w.routers))))), func() { w.wake(r, incarnation) })
}

// view sets the membership view. Routers that became unreachable are noticed late.
func (w *world) view(r *router) {
	if !r.up || r.frozen(w) {
		return
	}
	var all, alive []string
	for _, o := range w.routers {
		if !r.listed[o.name] {
			continue
		}
		all = append(all, o.name)
		if o.up && !w.cut(r, o) || w.rand.Intn(int(gossipDelay/time.Second)+1) == 0 {
			alive = append(alive, o.name)
		}
	}
	r.client.SetRouters(w.now, all, alive, !w.now.Before(r.mayAttachAt))
	r.allocators.SetRouters(w.now, all)
}

func (r *router) frozen(w *world) bool { return w.now.Before(r.frozenUntil) }

// live runs the function on the process, after it has thawed.
func (w *world) live(r *router, incarnation uint64, run func()) {
	switch {
	case !r.up || r.incarnation != incarnation:
	case r.frozen(w):
		w.at(r.frozenUntil, func() { w.live(r, incarnation, run) })
	default:
		run()
	}
}

// wake sends the messages that are due.
func (w *world) wake(r *router, incarnation uint64) {
	w.live(r, incarnation, func() {
		w.resolved(r, r.client.Expire(w.now))
		for _, out := range r.client.Draws(w.now) {
			w.send(r, out)
		}
		next := r.client.NextDraw(w.now)
		if !next.After(w.now) {
			next = w.now.Add(time.Millisecond)
		}
		if r.wakeAt.After(w.now) && !r.wakeAt.After(next) {
			return
		}
		r.wakeAt = next
		w.at(next, func() {
			if r.wakeAt.Equal(next) || !r.wakeAt.After(w.now) {
				w.wake(r, incarnation)
			}
		})
	})
}

func (w *world) send(r *router, out OutgoingDraw) {
	w.messages++
	incarnation := r.incarnation
	var to *router
	for _, o := range w.routers {
		if o.name == out.To {
			to = o
		}
	}
	failed := func() {
		w.live(r, incarnation, func() {
			w.resolved(r, r.client.Failed(w.now, out))
			w.wake(r, incarnation)
		})
	}
	answer := func() {
		a := to.allocators.Handle(w.now, out.Draw, func(k Key) (Limit, bool) { l, ok := to.limits[k]; return l, ok })
		if to != r && (w.cut(to, r) || w.rand.Float64() < w.loss) {
			return
		}
		delay := w.latency()
		if to == r {
			delay = 0
		}
		w.after(delay, func() {
			w.live(r, incarnation, func() {
				w.resolved(r, r.client.Answered(w.now, out, a))
				w.wake(r, incarnation)
			})
		})
	}
	if to == r {
		answer()
		return
	}
	if !to.up {
		w.after(w.latency(), failed)
		return
	}
	w.after(MessageTimeout, failed)
	if w.cut(r, to) || w.rand.Float64() < w.loss {
		return
	}
	target := to.incarnation
	w.after(w.latency(), func() { w.live(to, target, answer) })
}

// crash ends the process, and starts it again after the given time.
func (w *world) crash(r *router, down time.Duration) {
	if !r.up {
		return
	}
	r.up = false
	for _, id := range slices.Sorted(maps.Keys(r.pending)) {
		w.retry(r.pending[id], down)
	}
	w.after(down, func() {
		if !r.up && !r.removed {
			// An entry that is younger than AttachDelay is not known to all others.
			w.start(r, maxTime(w.now.Add(StartDelay(len(w.routers))), r.joinedAt.Add(AttachDelay)))
		}
	})
}

func (w *world) freeze(r *router, d time.Duration) {
	if r.up {
		r.frozenUntil = w.now.Add(d)
	}
}

// offer lets a request arrive at the router.
func (w *world) offer(r *router, req *request) {
	if !r.up || r.frozen(w) {
		w.retry(req, 500*time.Millisecond)
		return
	}
	limit, ok := r.limits[req.key]
	if !ok {
		return
	}
	d := r.client.Take(w.now, req.key, limit, req.tokens, 0)
	if d.Outcome == Pending {
		r.pending[d.Request] = req
		incarnation := r.incarnation
		w.at(d.Deadline.Add(time.Millisecond), func() {
			if _, waits := r.pending[d.Request]; waits && r.incarnation == incarnation {
				w.wake(r, incarnation)
			}
		})
		w.wake(r, incarnation)
		return
	}
	w.decided(req, d)
}

func (w *world) resolved(r *router, list []Resolved) {
	for _, res := range list {
		req := r.pending[res.Request]
		if req == nil {
			w.fail("request %d was resolved twice", res.Request)
			return
		}
		delete(r.pending, res.Request)
		w.decided(req, res.Decision)
	}
}

func (w *world) decided(req *request, d Decision) {
	t := w.keys[req.key]
	if d.Outcome == Admitted {
		if left := d.Charge.until.Sub(w.now); d.Charge.ticket != 0 && left < w.settings.returnable()-w.settings.Validity() {
			w.fail("%s: tokens were spent %v after they expired", req.key, w.settings.returnable()-w.settings.Validity()-left)
		}
		t.add(w, req)
		return
	}
	t.refused++
	w.retry(req, d.RetryAfter)
}

// retry lets a refused client return to any router, a few times.
func (w *world) retry(req *request, after time.Duration) {
	if req.retries <= 0 {
		return
	}
	req.retries--
	w.after(after, func() { w.offer(w.routers[w.rand.Intn(len(w.routers))], req) })
}
