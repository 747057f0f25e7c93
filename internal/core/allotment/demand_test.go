package allotment

import (
	"math"
	"time"
)

// tally checks the upper bound of one allotment and sums up what was spent.
type tally struct {
	limit   Limit
	changes []change
	spent   []spending
	sum     float64
	total   float64
	refused int
	worst   float64
}

type change struct {
	at    time.Time
	limit Limit
}

type spending struct {
	at     time.Time
	tokens float64
}

// add checks the window that ends now.
func (t *tally) add(w *world, req *request) {
	window := DefaultWindow
	if w.settings.Window > 0 {
		window = w.settings.Window
	}
	t.spent = append(t.spent, spending{w.now, req.tokens})
	t.sum += req.tokens
	t.total += req.tokens
	for !t.spent[0].at.After(w.now.Add(-window)) {
		t.sum -= t.spent[0].tokens
		t.spent = t.spent[1:]
	}
	var limit Limit
	for i, c := range t.changes {
		if i+1 < len(t.changes) && t.changes[i+1].at.Add(configDelay).Before(w.now.Add(-window)) {
			continue
		}
		limit.Rate, limit.Burst = max(limit.Rate, c.limit.Rate), max(limit.Burst, c.limit.Burst)
	}
	bound := (limit.Rate*window.Seconds()+limit.Burst)*(1+w.settings.over()) + w.settings.OverSlack
	t.worst = max(t.worst, t.sum/bound)
	if t.sum > bound*(1+1e-9) {
		w.fail("%s: %.1f tokens in the window before %v, allowed are %.1f (%+v)", req.key, t.sum, w.now.Sub(time.Unix(1000, 0)), bound, limit)
	}
}

// demand offers requests of the given sizes at a rate in tokens per second.
type demand struct {
	key     Key
	rate    float64
	size    func() float64
	router  func() *router
	retries int
}

// serve lets the requests of the demand arrive until it is stopped.
func (w *world) serve(d *demand) {
	var next func()
	next = func() {
		if d.rate <= 0 {
			w.after(100*time.Millisecond, next)
			return
		}
		size := d.size()
		w.offer(d.router(), &request{key: d.key, tokens: size, retries: d.retries})
		gap := -math.Log(1-w.rand.Float64()) * size / d.rate
		w.after(time.Duration(min(gap, 10)*float64(time.Second)), next)
	}
	w.after(0, next)
}

func (w *world) anyRouter() *router { return w.routers[w.rand.Intn(len(w.routers))] }

func constant(v float64) func() float64 { return func() float64 { return v } }
