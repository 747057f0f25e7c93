package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

const (
	shortTokens = 24
	longTokens  = 150
)

// CheckError reports the checks that failed.
type CheckError struct{ Failed []string }

func (e *CheckError) Error() string { return "checks failed: " + strings.Join(e.Failed, "; ") }

// row is one row of the printed table.
type row struct {
	request, account, router, target, reused, ttft, result string
}

// report collects table rows and check results.
type report struct {
	out    io.Writer
	mu     sync.Mutex
	rows   []row
	failed []string
	checks int
}

func (r *report) add(entry row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows = append(r.rows, entry)
}

func (r *report) check(ok bool, text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks++
	if !ok {
		r.failed = append(r.failed, text)
	}
	return ok
}

func (r *report) print() {
	w := tabwriter.NewWriter(r.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "REQUEST\tACCOUNT\tROUTER\tTARGET\tPREFIX TOKENS REUSED\tFIRST TOKEN\tRESULT")
	for _, l := range r.rows {
		fmt.Fprintln(w, strings.Join([]string{l.request, l.account, l.router, l.target, l.reused, l.ttft, l.result}, "\t"))
	}
	w.Flush()
	fmt.Fprintf(r.out, "%d checks, %d failed\n", r.checks, len(r.failed))
}

func (r *report) err() error {
	if len(r.failed) > 0 {
		return &CheckError{Failed: r.failed}
	}
	return nil
}

// prompt returns a prompt with nested prefixes: a preamble common to all prompts, the
// text of a dossier, and a question.
func prompt(dossier, question int) string {
	return strings.Repeat("Conduit rules of the region, common to all dossiers. ", 40) +
		strings.Repeat("Dossier "+strconv.Itoa(dossier)+": duct, depth, owner, crossing. ", 60) +
		"Question " + strconv.Itoa(question) + ": may a cable cross here?"
}

func scenario(ctx context.Context, s *system, r *report) {
	nestedPrefixes(ctx, s, r, "before", 0, s.routers)
	lookup(ctx, s, r)
	reservation(ctx, s, r)
	engineKilled(ctx, s, r)
	routerKilled(ctx, s, r)
	live := []*process{s.routers[0], s.routers[2]}
	nestedPrefixes(ctx, s, r, "after", 10, live)
	routerRestarted(ctx, s, r)
	operatorRace(ctx, s, r)
	plannedStop(ctx, s, r)
}

// nestedPrefixes sends questions on two dossiers for each account to the routers in
// round-robin order. Every later question on a dossier should find its prefix cached.
func nestedPrefixes(ctx context.Context, s *system, r *report, phase string, firstQuestion int, routers []*process) {
	n, reused := 0, 0
	for question := range 3 {
		for _, account := range []string{accountOne, accountTwo} {
			for dossier := range 2 {
				router := routers[n%len(routers)]
				n++
				id := fmt.Sprintf("%s-%s-%d-%d", phase, account, dossier, question)
				a, err := stream(ctx, router.address, account, id, prompt(dossier, firstQuestion+question), shortTokens, 0, nil)
				s.addStream(r, id, account, router, prompt(dossier, firstQuestion+question), shortTokens, a, err)
				if question > 0 && a.cached > 0 {
					reused++
				}
			}
		}
	}
	r.check(reused >= 6, fmt.Sprintf("%s: only %d of 8 later questions had cached prefix tokens", phase, reused))
}

func (s *system) addStream(r *report, id, account string, router *process, prompt string, tokens int, a callerResponse, err error) {
	result := "whole"
	switch {
	case err != nil:
		result = "failed: " + err.Error()
	case a.status != 200:
		result = "refused: " + a.body
	case !a.done || a.text != engine.ResponseText(prompt, weights, 0, tokens):
		result = "wrong text"
	}
	r.check(result == "whole", id+" "+result)
	r.add(row{id, account, router.name, s.targetsOf(id), fmt.Sprintf("%d of %d", a.cached, a.promptTokens),
		a.ttft.Round(time.Millisecond).String(), result})
}

// targetsOf returns the names of the engines that ran the request, joined by "+".
func (s *system) targetsOf(requestID string) string {
	var names []string
	for _, e := range s.engines {
		var response struct {
			Runs []engine.Run `json:"runs"`
		}
		if getJSON("http://"+e.address+"/control/runs", &response) != nil {
			continue
		}
		for _, run := range response.Runs {
			if run.RequestID == requestID {
				names = append(names, e.name)
			}
		}
	}
	return strings.Join(names, "+")
}

func lookup(ctx context.Context, s *system, r *report) {
	a, err := call(ctx, s.routers[1].address, "GET", "/svc/lookup/routes/17", "", "")
	ok := r.check(err == nil && a.status == 200, fmt.Sprintf("lookup: status %d, %v", a.status, err))
	r.add(row{"lookup", accountOne, s.routers[1].name, "app-1", "", a.ttft.Round(time.Millisecond).String(), okText(ok)})
}

// reservation sends the same idempotency key through two routers concurrently and
// through a third afterwards. It must run once, and every caller must get the same
// outcome.
func reservation(ctx context.Context, s *system, r *report) {
	key := uuid.Must(uuid.NewV7()).String()
	responses := make([]callerResponse, 3)
	send := func(i int) {
		var err error
		responses[i], err = call(ctx, s.routers[i].address, "POST", "/svc/reservation/ducts/9", key, `{"duct":9}`)
		r.check(err == nil, fmt.Sprintf("reservation: %v", err))
	}
	var both sync.WaitGroup
	both.Go(func() { send(0) })
	both.Go(func() { send(1) })
	both.Wait()
	send(2)
	var effects struct {
		Total int `json:"total"`
	}
	err := getJSON("http://"+s.app.address+"/control/effects", &effects)
	ran := r.check(err == nil && effects.Total == 1, fmt.Sprintf("reservation ran %d times", effects.Total))
	for i, a := range responses {
		same := r.check(a.status/100 == 2 && a.body == responses[0].body, fmt.Sprintf("reservation through router %d: status %d, %s", i+1, a.status, a.body))
		r.add(row{"reservation, one key", accountOne, s.routers[i].name, "app-1", "",
			a.ttft.Round(time.Millisecond).String(), okText(ran && same) + fmt.Sprintf(", ran %d time(s)", effects.Total)})
	}
}

// engineKilled kills the engine that serves a stream; the stream must still be
// complete.
func engineKilled(ctx context.Context, s *system, r *report) {
	const id = "engine-killed-midway"
	text := prompt(0, 99)
	killed := ""
	a, err := stream(ctx, s.routers[0].address, accountOne, id, text, longTokens, 30, func() {
		name := s.targetsOf(id)
		for _, e := range s.engines {
			if e.name == name {
				killed = name
				e.kill()
			}
		}
	})
	r.check(killed != "", "no single engine ran the request, so none was killed")
	s.addStream(r, id+" ("+killed+")", accountOne, s.routers[0], text, longTokens, a, err)
}

// routerKilled kills a router that relays a stream. The caller retries through another
// router, as the load balancer would route it.
func routerKilled(ctx context.Context, s *system, r *report) {
	const id = "router-killed-midway"
	text := prompt(1, 99)
	victim := s.routers[1]
	// The error is expected: the connection breaks with the router.
	first, _ := stream(ctx, victim.address, accountTwo, id, text, longTokens, 30, victim.kill)
	incomplete := r.check(!first.done, "a stream through a killed router ended with [DONE]")
	r.add(row{id, accountTwo, victim.name, "", "", first.ttft.Round(time.Millisecond).String(), "visibly broken off: " + strconv.FormatBool(incomplete)})
	a, err := stream(ctx, s.routers[2].address, accountTwo, id+"-again", text, longTokens, 0, nil)
	s.addStream(r, id+"-again", accountTwo, s.routers[2], text, longTokens, a, err)
}

// routerRestarted restarts the killed router. Its first request must find its prefix
// cached, because the router fetches the hot prefixes from a peer.
func routerRestarted(ctx context.Context, s *system, r *report) {
	const id = "first-after-restart"
	p, err := s.startRouter(1, s.routers[1].address)
	if !r.check(err == nil, fmt.Sprintf("restart: %v", err)) {
		return
	}
	s.routers[1] = p
	err = s.awaitReady(ctx, 1)
	r.check(err == nil, fmt.Sprintf("the restarted router is not ready: %v", err))
	text := prompt(0, 50)
	a, err := stream(ctx, p.address, accountOne, id, text, shortTokens, 0, nil)
	s.addStream(r, id, accountOne, p, text, shortTokens, a, err)
	r.check(a.cached > 0, "the first request through the restarted router had no cached prefix tokens")
}

// operatorRace publishes two changes of one path concurrently with the same base
// revision. One must be accepted, the other rejected as a conflict.
func operatorRace(ctx context.Context, s *system, r *report) {
	const path = "/demo/routes/lookup"
	var results [2]error
	var both sync.WaitGroup
	for i, timeout := range []int{5000, 7000} {
		file := s.writeValue(fmt.Sprintf("race-%d.jsonc", i), map[string]any{
			"pool": "app", "repeat": "any", "timeout_ms": timeout, "weights": map[string]any{}})
		both.Go(func() {
			_, results[i] = s.command(ctx, "config", "put", "--settings", s.settings[0], "--author", team,
				"--key", s.teamKey, "--path", path, "--file", file, "--base-revision", s.revision(ctx, path), "--wait")
		})
	}
	both.Wait()
	accepted, refused := 0, 0
	for _, err := range results {
		switch {
		case err == nil:
			accepted++
		case strings.Contains(err.Error(), "conflict"):
			refused++
		}
	}
	ok := r.check(accepted == 1 && refused == 1, fmt.Sprintf("operator race: %d accepted, %d refused: %v", accepted, refused, results))
	r.add(row{"two operators, one path", team, "", "", "", "", okText(ok) + fmt.Sprintf(", %d accepted and in force, %d refused", accepted, refused)})
}

// plannedStop terminates a router while it relays a stream. The stream must be complete
// and the process must exit by itself.
func plannedStop(ctx context.Context, s *system, r *report) {
	const id = "planned-stop"
	text := prompt(1, 100)
	router := s.routers[0]
	stopped := make(chan bool, 1)
	a, err := stream(ctx, router.address, accountOne, id, text, longTokens, 10, func() {
		go func() { stopped <- router.stop(stopTimeout) }()
	})
	s.addStream(r, id, accountOne, router, text, longTokens, a, err)
	r.check(<-stopped, "the stopping router did not exit successfully by itself")
}

func okText(ok bool) string {
	if ok {
		return "ok"
	}
	return "FAILED"
}
