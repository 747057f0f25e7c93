package day

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Reread is the reason for which a shared part of a prompt was prefilled again, although an
// engine had it for the same weights within rereadWindow.
type Reread string

// The reasons.
const (
	// RereadOutdated: the weights were being replaced, so nothing was fetched.
	RereadOutdated Reread = "weights being replaced"
	// RereadUnfinished: the engines that had the part were still computing it.
	RereadUnfinished Reread = "still computed elsewhere"
	// RereadUnknown: the router did not know that another engine had the part, or that
	// engine had dropped it.
	RereadUnknown Reread = "elsewhere, not known"
	// RereadNotFetched: the router knew, and the fetch would have been slower.
	RereadNotFetched Reread = "elsewhere, not fetched"
)

// rereadWindow is the time after its last use in which a part that is prefilled again counts.
const rereadWindow = 10 * time.Second

// roundingTokens is the difference up to which numbers of cached tokens count as equal:
// engines cache whole blocks.
const roundingTokens = 16

// heldPart identifies a part of a prompt under a weights version.
type heldPart struct {
	id      string
	weights int
}

// rereads finds the parts that are prefilled again. It follows what each engine must have
// from the attempts that ran there; what engines dropped for lack of memory is not logged.
type rereads struct {
	attempts []logLine
	refused  map[int]bool
	// last holds the indexes of a request's attempts.
	last map[string][]int
	// named holds the newest version that each router knew, by time.
	named   []logLine
	crashed []logLine
}

func newRereads() *rereads { return &rereads{refused: map[int]bool{}, last: map[string][]int{}} }

func (r *rereads) add(l logLine) {
	switch l.Message {
	case messageSent:
		if l.Shared != "" {
			r.last[l.Request] = append(r.last[l.Request], len(r.attempts))
			r.attempts = append(r.attempts, l)
		}
	case messageRepeated, messageNotAnswered:
		if sent := r.last[l.Request]; len(sent) > 0 && strings.Contains(l.Why, notRunText) {
			r.refused[sent[len(sent)-1]] = true
		}
	case messageNamed:
		r.named = append(r.named, l)
	case messageCrashed:
		r.crashed = append(r.crashed, l)
	}
}

// tokens returns the tokens prefilled again by reason.
func (r *rereads) tokens() map[Reread]int {
	out := map[Reread]int{}
	held := map[string]map[heldPart]time.Time{} // by target: when the part was complete
	used := map[heldPart]time.Time{}
	newest := map[string]int{}
	order := make([]int, len(r.attempts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return r.attempts[a].Time.Compare(r.attempts[b].Time) })
	slices.SortStableFunc(r.named, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	slices.SortStableFunc(r.crashed, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	for _, i := range order {
		l := r.attempts[i]
		for len(r.named) > 0 && !r.named[0].Time.After(l.Time) {
			newest[r.named[0].VM] = r.named[0].Version
			r.named = r.named[1:]
		}
		for len(r.crashed) > 0 && !r.crashed[0].Time.After(l.Time) {
			delete(held, r.crashed[0].Target)
			r.crashed = r.crashed[1:]
		}
		if r.refused[i] {
			continue
		}
		if held[l.Target] == nil {
			held[l.Target] = map[heldPart]time.Time{}
		}
		r.follow(l, newest[l.VM] > int(l.Weights), held, used, out)
	}
	return out
}

// follow adds the parts of one attempt that are prefilled again to out.
func (r *rereads) follow(l logLine, outdated bool, held map[string]map[heldPart]time.Time, used map[heldPart]time.Time, out map[Reread]int) {
	ready := l.Time.Add(time.Duration((l.QueueMs + l.PrefillMs) * float64(time.Millisecond)))
	fetched := 0
	if l.FetchFrom != "" {
		fetched = l.ElsewhereTokens
	}
	end, missed := 0, false
	for _, p := range strings.Fields(l.Shared) {
		id, size, _ := strings.Cut(p, ":")
		tokens, err := strconv.Atoi(size)
		if err != nil {
			return // not written by the gateway
		}
		end += tokens
		part := heldPart{id, int(l.Weights)}
		complete, here := held[l.Target][part]
		if missed = missed || !here || complete.After(ready); missed && fetched < end-roundingTokens {
			if last, seen := used[part]; seen && l.Time.Sub(last) < rereadWindow {
				if reason, again := reasonOf(l, part, end, outdated, held); again {
					out[reason] += tokens
				}
			}
		}
		if !here || ready.Before(complete) {
			held[l.Target][part] = ready
		}
		used[part] = l.Time
	}
}

// reasonOf returns the reason for which a part is prefilled that ends at the token; again is
// false if no other engine has it.
func reasonOf(l logLine, part heldPart, end int, outdated bool, held map[string]map[heldPart]time.Time) (reason Reread, again bool) {
	finished := false
	for target, parts := range held {
		if complete, has := parts[part]; has && target != l.Target {
			again = true
			finished = finished || !complete.After(l.Time)
		}
	}
	switch {
	case outdated:
		return RereadOutdated, again
	case !finished:
		return RereadUnfinished, again
	case l.ElsewhereTokens >= end-roundingTokens:
		return RereadNotFetched, again
	}
	return RereadUnknown, again
}
