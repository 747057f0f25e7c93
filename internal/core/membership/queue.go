package membership

import "sort"

// queue holds the keys of news with the number of times each was passed on.
// Only keys are queued: what is sent is always the latest state. News that come
// back are not counted as passed on: in a simulated first start of 60 routers
// that doubled the rounds until all agreed.
type queue struct {
	items map[string]*queued
	seq   int
}

type queued struct{ sent, seq int }

func newQueue() queue { return queue{items: map[string]*queued{}} }

// add queues a key as new.
func (q *queue) add(key string) {
	q.seq++
	q.items[key] = &queued{seq: q.seq}
}

// ensure makes sure that the key is sent at least once more.
func (q *queue) ensure(key string, limit int) {
	if q.items[key] == nil {
		q.seq++
		q.items[key] = &queued{sent: limit - 1, seq: q.seq}
	}
}

func (q *queue) drop(key string) { delete(q.items, key) }

// take passes on the keys that were sent least often, the newest first, as
// long as accept takes them.
func (q *queue) take(limit int, accept func(key string) bool) {
	keys := make([]string, 0, len(q.items))
	for key := range q.items {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := q.items[keys[i]], q.items[keys[j]]
		if a.sent != b.sent {
			return a.sent < b.sent
		}
		return a.seq > b.seq
	})
	for _, key := range keys {
		if !accept(key) {
			return
		}
		item := q.items[key]
		if item.sent++; item.sent >= limit {
			delete(q.items, key)
		}
	}
}
