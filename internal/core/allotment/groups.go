package allotment

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minInterval is the shortest message interval.
	minInterval = 500 * time.Millisecond
	// maxMessageRate is the number of regular messages per second that an allocator
	// receives at most.
	maxMessageRate = 400
	// minTerm is the shortest term of an attachment.
	minTerm = 1500 * time.Millisecond
	// termIntervals is the number of messages in a row that can be lost without
	// ending an attachment, plus one.
	termIntervals = 3
	// maxGroupRouters is the number of routers above which the accounts are divided
	// between several allocators.
	maxGroupRouters = 300
)

// AttachDelay is the time for which a router whose entry is new does not attach, so
// that all others count it. It is also the time for which the number of routers does
// not fall after routers were removed.
const AttachDelay = 8 * time.Second

// Interval returns the time between two regular messages of a router.
func Interval(routers int) time.Duration {
	return max(minInterval, time.Duration(routers)*time.Second/maxMessageRate)
}

// Term returns the duration of an attachment.
func Term(routers int) time.Duration { return max(minTerm, termIntervals*Interval(routers)) }

// StartDelay returns the time for which a process neither attaches nor spends on its
// own after its start, because the previous process of its router may still be attached.
func StartDelay(routers int) time.Duration { return withMargin(Term(routers)) }

// clockMargin covers clocks that run at different rates: a router is bound for longer
// than the allocator counts it by this part of the term.
const clockMargin = 0.01

func withMargin(d time.Duration) time.Duration { return d + time.Duration(clockMargin*float64(d)) }

// Groups returns the number of account groups.
func Groups(routers int) int {
	return max(1, (routers+maxGroupRouters-1)/maxGroupRouters)
}

// GroupOf returns the account group of the key.
func GroupOf(key Key, groups int) int {
	if groups <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(string(key)) % uint64(groups))
}

// Candidates returns the routers in the order in which they become allocator of the
// group (rendezvous hashing).
func Candidates(group int, routers []string) []string {
	type ranked struct {
		name string
		hash uint64
	}
	prefix := strconv.Itoa(group) + "/"
	all := make([]ranked, len(routers))
	for i, r := range routers {
		all[i] = ranked{r, xxhash.Sum64String(prefix + r)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(all))
	for i, r := range all {
		names[i] = r.name
	}
	return names
}

// routerCount is the number N of routers that share the limits. It rises at once and
// falls only after AttachDelay, because routers that were removed may still spend.
type routerCount struct {
	count, lower int
	lowerSince   time.Time
}

func (c *routerCount) set(now time.Time, count int) {
	switch current := c.at(now); {
	case count >= current:
		c.count, c.lower = count, count
	case c.lower == current || count < c.lower:
		c.lower, c.lowerSince = count, now
	default:
		c.lower = count
	}
}

func (c *routerCount) at(now time.Time) int {
	if c.lower < c.count && now.Sub(c.lowerSince) >= AttachDelay {
		c.count = c.lower
	}
	return c.count
}
