package membership

import "sort"

// updateQueue holds the keys of updates to gossip with the number of times each
// was sent. Only keys are queued, so the latest state is always sent. Receiving
// an update again doesn't count as a transmission: in a simulated first start of
// 60 routers, counting it doubled the number of rounds until all agreed.
type updateQueue struct {
	items map[string]*queuedUpdate
	seq   int
}

type queuedUpdate struct{ sent, seq int }

func newUpdateQueue() updateQueue { return updateQueue{items: map[string]*queuedUpdate{}} }

// add queues a key with no transmissions yet.
func (q *updateQueue) add(key string) {
	q.seq++
	q.items[key] = &queuedUpdate{seq: q.seq}
}

// ensureQueued queues the key for one transmission unless it is queued already.
func (q *updateQueue) ensureQueued(key string, limit int) {
	if q.items[key] == nil {
		q.seq++
		q.items[key] = &queuedUpdate{sent: limit - 1, seq: q.seq}
	}
}

func (q *updateQueue) drop(key string) { delete(q.items, key) }

// take offers the keys to accept, least often sent first and newest first among
// equals, until accept returns false. Keys sent limit times are dropped.
func (q *updateQueue) take(limit int, accept func(key string) bool) {
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
