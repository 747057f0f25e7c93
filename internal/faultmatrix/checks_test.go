package faultmatrix

import (
	"fmt"
	"strings"

	"mimosaseam.example/mimosaseam/internal/harness"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// streamRecord is one completion as its caller received it.
type streamRecord struct {
	id, account, prompt string
	tokens              int
	mustComplete        bool
	response            harness.Response
}

// callRecord is one reservation call as its caller received it. A call that the
// caller canceled has no status.
type callRecord struct {
	key      string
	response harness.Response
	// effects is the number of executions under the key after all faults ended and
	// before the key was retried.
	effects int
}

type engineRun struct {
	engine string
	engine.Run
}

// configState is one state of the configuration on a router.
type configState struct {
	offset uint64
	value  string
}

// observation is the input of the checks: what callers received and what targets
// executed.
type observation struct {
	weights []string
	streams []streamRecord
	calls   []callRecord
	effects map[string]int
	runs    []engineRun
	// config holds the states observed on each router, in order.
	config map[string][]configState
	// live lists the routers on which the final value must be in force.
	live       []string
	finalValue string
	accepted   []uint64
	// acceptedPerRace holds the number of accepted changes of each operator race.
	acceptedPerRace []int
	// leavingRuns holds the requests that a leaving target received after all live
	// routers reported it as leaving.
	leavingRuns []string
	// orders holds the fencing tokens of the orders that each engine executed.
	orders map[string][]uint64
	// unexpectedExits describes the processes that no fault ended.
	unexpectedExits []string
	// stepFailures lists failed expectations of the step itself.
	stepFailures []string
}

// invariant is a named check that returns the violations found.
type invariant struct {
	name  string
	check func(*observation) []string
}

var invariants = []invariant{
	{"streams are complete or visibly broken off", checkStreams},
	{"each caller gets the completion of its own prompt", checkOwnCompletion},
	{"idempotent work is not lost", checkNotLost},
	{"each key runs at most once with a single outcome", checkAtMostOnce},
	{"not_run is true", checkNotRun},
	{"no cached blocks of another scope", checkScope},
	{"accepted configuration in force and never reverts", checkConfig},
	{"a leaving target gets no new requests", checkLeaving},
	{"orders run in the sequence of their fencing tokens", checkOrders},
	{"processes run until they are stopped", func(o *observation) []string { return o.unexpectedExits }},
	{"expectations of the step", func(o *observation) []string { return o.stepFailures }},
}

func checkStreams(o *observation) []string {
	var violations []string
	for _, s := range o.streams {
		resp := s.response
		switch {
		case resp.Gap:
			violations = append(violations, fmt.Sprintf("%s: chunks out of order, next %d, done %t, error %v, text ends %.80q", s.id, resp.NextIndex, resp.Done, resp.Err,
				resp.Text[max(0, len(resp.Text)-80):]))
		case resp.Done && resp.Broken:
			violations = append(violations, s.id+": error event and [DONE]")
		case resp.Done && resp.Err != nil && !resp.Interrupted():
			violations = append(violations, fmt.Sprintf("%s: [DONE], but the response does not end: %v", s.id, resp.Err))
		case resp.Done && !resp.HasAllText(s.prompt, s.tokens, o.weights...):
			violations = append(violations, fmt.Sprintf("%s: [DONE] but not the complete text: %d of %d chunks, error %v, text %q", s.id, resp.NextIndex, s.tokens, resp.Err, resp.Text))
		case resp.Status == 200 && !resp.Done && !resp.Broken && resp.Err == nil:
			violations = append(violations, s.id+": ended without a terminal marker, an error event or a broken connection")
		}
	}
	return violations
}

func checkOwnCompletion(o *observation) []string {
	var violations []string
	for _, s := range o.streams {
		if !s.response.IsPrefix(s.prompt, s.tokens, o.weights...) {
			violations = append(violations, s.id+": text is not a prefix of the completion of its prompt")
		}
	}
	return violations
}

func checkNotLost(o *observation) []string {
	var violations []string
	for _, s := range o.streams {
		if s.mustComplete && !s.response.IsComplete(s.prompt, s.tokens, o.weights...) {
			violations = append(violations, fmt.Sprintf("%s: lost: status %d, %d chunks, done %t, %v %s", s.id, s.response.Status,
				s.response.NextIndex, s.response.Done, s.response.Err, s.response.Body))
		}
	}
	return violations
}

func (c callRecord) succeeded() bool { return c.response.Err == nil && c.response.Status/100 == 2 }

func checkAtMostOnce(o *observation) []string {
	var violations []string
	for key, n := range o.effects {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	outcomes := map[string]string{}
	for _, c := range o.calls {
		if !c.succeeded() {
			continue
		}
		if first, ok := outcomes[c.key]; ok && first != c.response.Body {
			violations = append(violations, c.key+": two outcomes: "+first+" and "+c.response.Body)
		}
		outcomes[c.key] = c.response.Body
		if o.effects[c.key] == 0 {
			violations = append(violations, c.key+": outcome reported, but it never ran")
		}
	}
	return violations
}

func checkNotRun(o *observation) []string {
	var violations []string
	for _, c := range o.calls {
		if c.response.Outcome == "not_run" && c.effects > 0 {
			violations = append(violations, fmt.Sprintf("%s: response not_run, but ran %d times: %s", c.key, c.effects, c.response.Body))
		}
	}
	return violations
}

// checkScope reports runs under a scope that is not that of their request, and cached
// tokens that no earlier run in the same scope and engine incarnation accounts for by a
// common prompt prefix.
func checkScope(o *observation) []string {
	var violations []string
	requests := map[string]streamRecord{}
	for _, s := range o.streams {
		requests[s.id] = s
	}
	for i, r := range o.runs {
		request, ok := requests[r.RequestID]
		if ok && !strings.HasPrefix(r.Scope, harness.Team+"/"+request.account+"/"+harness.Model+"/"+r.WeightsVersion) {
			violations = append(violations, r.RequestID+": ran under scope "+r.Scope+" with weights "+r.WeightsVersion)
		}
		maxCached := 0
		for _, earlier := range o.runs[:i] {
			if earlier.engine == r.engine && earlier.Incarnation == r.Incarnation && earlier.Scope == r.Scope {
				maxCached = max(maxCached, commonPrefixLen(requests[earlier.RequestID].prompt, request.prompt)/bytesPerToken)
			}
		}
		if r.CachedTokens > maxCached {
			violations = append(violations, fmt.Sprintf("%s: %d cached tokens on %s, earlier runs in its scope account for %d", r.RequestID, r.CachedTokens, r.engine, maxCached))
		}
	}
	return violations
}

const bytesPerToken = 4

func commonPrefixLen(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func checkConfig(o *observation) []string {
	var violations []string
	for router, states := range o.config {
		superseded := map[string]bool{}
		for i, s := range states[min(1, len(states)):] {
			previous := states[i]
			if s.offset < previous.offset {
				violations = append(violations, fmt.Sprintf("%s: offset fell from %d to %d", router, previous.offset, s.offset))
			}
			if s.value != previous.value {
				superseded[previous.value] = true
			}
			if superseded[s.value] {
				violations = append(violations, router+": value "+s.value+" is in force again")
			}
		}
	}
	for _, router := range o.live {
		states := o.config[router]
		if len(states) == 0 || states[len(states)-1].value != o.finalValue {
			violations = append(violations, fmt.Sprintf("%s: %s is not in force at the end: %v", router, o.finalValue, states))
			continue
		}
		for _, offset := range o.accepted {
			if last := states[len(states)-1].offset; last < offset {
				violations = append(violations, fmt.Sprintf("%s: offset %d at the end, but %d was accepted", router, last, offset))
			}
		}
	}
	for _, accepted := range o.acceptedPerRace {
		if accepted > 1 {
			violations = append(violations, fmt.Sprintf("%d operators succeeded with the same base revision", accepted))
		}
	}
	return violations
}

func checkLeaving(o *observation) []string {
	var violations []string
	for _, id := range o.leavingRuns {
		violations = append(violations, id+": routed to a leaving target")
	}
	return violations
}

func checkOrders(o *observation) []string {
	var violations []string
	for name, tokens := range o.orders {
		for i, token := range tokens[min(1, len(tokens)):] {
			if token < tokens[i] {
				violations = append(violations, fmt.Sprintf("%s executed an order with fencing token %d after %d", name, token, tokens[i]))
			}
		}
	}
	return violations
}
