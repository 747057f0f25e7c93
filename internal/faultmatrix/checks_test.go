package faultmatrix

import (
	"fmt"
	"strings"

	"mimosaseam.example/mimosaseam/internal/harness"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// seenStream is one completion as its caller saw it.
type seenStream struct {
	id, account, prompt string
	tokens              int
	mustBeWhole         bool
	answer              harness.Response
}

// seenCall is one reservation call as its caller saw it. A call that the caller
// gave up has no status.
type seenCall struct {
	key    string
	answer harness.Response
	// effects counts what ran under the key when all faults were over, before
	// the key was sent again.
	effects int
}

type engineRun struct {
	engine string
	engine.Run
}

// seenConfig is one state of the configuration on a router.
type seenConfig struct {
	offset uint64
	value  string
}

// observation is all that the checks judge: what callers received and what
// targets ran.
type observation struct {
	weights []string
	streams []seenStream
	calls   []seenCall
	effects map[string]int
	runs    []engineRun
	// config holds the states seen on each router, in order.
	config map[string][]seenConfig
	// live lists the routers that must have the final value in force.
	live       []string
	finalValue string
	accepted   []uint64
	// racesWon counts the accepted changes of each operator race.
	racesWon []int
	// leavingRuns are the requests that a leaving target got after all live
	// routers knew that it was leaving.
	leavingRuns []string
	// orders holds the fencing tokens of the orders that each engine executed.
	orders map[string][]uint64
	// other lists failed expectations of a step itself.
	other []string
}

// invariant is one check; it returns the objections.
type invariant struct {
	name  string
	check func(*observation) []string
}

var invariants = []invariant{
	{"streams whole or visibly broken off", checkStreams},
	{"each caller gets the answer to its own prompt", checkOwnAnswer},
	{"idempotent work is not lost", checkNotLost},
	{"each key runs at most once and outcomes agree", checkAtMostOnce},
	{"not_run is true", checkNotRun},
	{"no cached blocks of another scope", checkScope},
	{"accepted configuration in force and never reverts", checkConfig},
	{"a leaving target gets nothing new", checkLeaving},
	{"orders follow their fencing tokens", checkOrders},
	{"expectations of the step", func(o *observation) []string { return o.other }},
}

func checkStreams(o *observation) []string {
	var bad []string
	for _, s := range o.streams {
		a := s.answer
		switch {
		case a.Gap:
			bad = append(bad, fmt.Sprintf("%s: chunks out of order, next %d, done %t, error %v, text ends %.80q", s.id, a.NextIndex, a.Done, a.Err,
				a.Text[max(0, len(a.Text)-80):]))
		case a.Done && a.Broken:
			bad = append(bad, s.id+": error event and [DONE]")
		case a.Done && !a.IsComplete(s.prompt, s.tokens, o.weights...):
			bad = append(bad, s.id+": [DONE] but not the whole answer")
		case a.Status == 200 && !a.Done && !a.Broken && a.Err == nil:
			bad = append(bad, s.id+": ended without a mark, an error event or a broken connection")
		}
	}
	return bad
}

func checkOwnAnswer(o *observation) []string {
	var bad []string
	for _, s := range o.streams {
		if !s.answer.IsPrefix(s.prompt, s.tokens, o.weights...) {
			bad = append(bad, s.id+": text is not of the answer to its prompt")
		}
	}
	return bad
}

func checkNotLost(o *observation) []string {
	var bad []string
	for _, s := range o.streams {
		if s.mustBeWhole && !s.answer.IsComplete(s.prompt, s.tokens, o.weights...) {
			bad = append(bad, fmt.Sprintf("%s: lost: status %d, %d chunks, done %t, %v %s", s.id, s.answer.Status,
				s.answer.NextIndex, s.answer.Done, s.answer.Err, s.answer.Body))
		}
	}
	return bad
}

func (c seenCall) claims() bool { return c.answer.Err == nil && c.answer.Status/100 == 2 }

func checkAtMostOnce(o *observation) []string {
	var bad []string
	for key, n := range o.effects {
		if n > 1 {
			bad = append(bad, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	outcome := map[string]string{}
	for _, c := range o.calls {
		if !c.claims() {
			continue
		}
		if first, ok := outcome[c.key]; ok && first != c.answer.Body {
			bad = append(bad, c.key+": two outcomes: "+first+" and "+c.answer.Body)
		}
		outcome[c.key] = c.answer.Body
		if o.effects[c.key] == 0 {
			bad = append(bad, c.key+": an outcome, but it never ran")
		}
	}
	return bad
}

func checkNotRun(o *observation) []string {
	var bad []string
	for _, c := range o.calls {
		if c.answer.Outcome == "not_run" && c.effects > 0 {
			bad = append(bad, fmt.Sprintf("%s: answered not_run, ran %d times: %s", c.key, c.effects, c.answer.Body))
		}
	}
	return bad
}

// checkScope looks for an earlier run of the same scope and engine life whose
// prompt shares as much as was taken from the cache.
func checkScope(o *observation) []string {
	var bad []string
	sent := map[string]seenStream{}
	for _, s := range o.streams {
		sent[s.id] = s
	}
	for i, r := range o.runs {
		request, known := sent[r.RequestID]
		if known && !strings.HasPrefix(r.Scope, harness.Team+"/"+request.account+"/"+harness.Model+"/"+r.WeightsVersion) {
			bad = append(bad, r.RequestID+": ran under scope "+r.Scope+" with weights "+r.WeightsVersion)
		}
		explained := 0
		for _, earlier := range o.runs[:i] {
			if earlier.engine == r.engine && earlier.Incarnation == r.Incarnation && earlier.Scope == r.Scope {
				explained = max(explained, shared(sent[earlier.RequestID].prompt, request.prompt)/bytesPerToken)
			}
		}
		if r.CachedTokens > explained {
			bad = append(bad, fmt.Sprintf("%s: %d cached tokens on %s, its scope explains %d", r.RequestID, r.CachedTokens, r.engine, explained))
		}
	}
	return bad
}

const bytesPerToken = 4

func shared(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func checkConfig(o *observation) []string {
	var bad []string
	for router, states := range o.config {
		left := map[string]bool{}
		for i, s := range states[min(1, len(states)):] {
			before := states[i]
			if s.offset < before.offset {
				bad = append(bad, fmt.Sprintf("%s: offset fell from %d to %d", router, before.offset, s.offset))
			}
			if s.value != before.value {
				left[before.value] = true
			}
			if left[s.value] {
				bad = append(bad, router+": value "+s.value+" came back")
			}
		}
	}
	for _, router := range o.live {
		states := o.config[router]
		if len(states) == 0 || states[len(states)-1].value != o.finalValue {
			bad = append(bad, fmt.Sprintf("%s: %s is not in force in the end: %v", router, o.finalValue, states))
			continue
		}
		for _, offset := range o.accepted {
			if last := states[len(states)-1].offset; last < offset {
				bad = append(bad, fmt.Sprintf("%s: offset %d in the end, %d was accepted", router, last, offset))
			}
		}
	}
	for _, won := range o.racesWon {
		if won > 1 {
			bad = append(bad, fmt.Sprintf("%d operators won with one base revision", won))
		}
	}
	return bad
}

func checkLeaving(o *observation) []string {
	var bad []string
	for _, id := range o.leavingRuns {
		bad = append(bad, id+": sent to a leaving target")
	}
	return bad
}

func checkOrders(o *observation) []string {
	var bad []string
	for name, tokens := range o.orders {
		for i, token := range tokens[min(1, len(tokens)):] {
			if token < tokens[i] {
				bad = append(bad, fmt.Sprintf("%s executed an order with token %d after %d", name, token, tokens[i]))
			}
		}
	}
	return bad
}
