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
	shortAnswer = 24
	longAnswer  = 150
)

// CheckError lists the checks that failed.
type CheckError struct{ Failed []string }

func (e *CheckError) Error() string { return "checks failed: " + strings.Join(e.Failed, "; ") }

// row is one line of the table.
type row struct {
	request, account, router, target, reused, ttft, result string
}

// report collects the rows and the failed checks.
type report struct {
	out    io.Writer
	mu     sync.Mutex
	rows   []row
	failed []string
	checks int
}

func (r *report) add(line row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows = append(r.rows, line)
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

func (r *report) verdict() error {
	if len(r.failed) > 0 {
		return &CheckError{Failed: r.failed}
	}
	return nil
}

// prompts share a library text; below it each account has dossiers, and below
// those come questions.
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
	alive := []*process{s.routers[0], s.routers[2]}
	nestedPrefixes(ctx, s, r, "after", 10, alive)
	routerRestarted(ctx, s, r)
	operatorRace(ctx, s, r)
	plannedStop(ctx, s, r)
}

// nestedPrefixes sends questions on two dossiers for each account through the
// routers in turn; every later question of a dossier should find its prefix cached.
func nestedPrefixes(ctx context.Context, s *system, r *report, phase string, firstQuestion int, routers []*process) {
	n, reused := 0, 0
	for question := range 3 {
		for _, account := range []string{accountOne, accountTwo} {
			for dossier := range 2 {
				router := routers[n%len(routers)]
				n++
				id := fmt.Sprintf("%s-%s-%d-%d", phase, account, dossier, question)
				a, err := stream(ctx, router.address, account, id, prompt(dossier, firstQuestion+question), shortAnswer, 0, nil)
				s.addStream(r, id, account, router, prompt(dossier, firstQuestion+question), shortAnswer, a, err)
				if question > 0 && a.cached > 0 {
					reused++
				}
			}
		}
	}
	r.check(reused >= 6, fmt.Sprintf("%s: only %d of 8 later questions found their prefix cached", phase, reused))
}

func (s *system) addStream(r *report, id, account string, router *process, prompt string, tokens int, a answer, err error) {
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

// targetsOf asks the engines which of them ran the request.
func (s *system) targetsOf(requestID string) string {
	var names []string
	for _, e := range s.engines {
		var answer struct {
			Runs []engine.Run `json:"runs"`
		}
		if getJSON("http://"+e.address+"/control/runs", &answer) != nil {
			continue
		}
		for _, run := range answer.Runs {
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

// reservation sends one key through two routers at the same time and once more
// afterwards: it must run once, and every caller gets the same outcome.
func reservation(ctx context.Context, s *system, r *report) {
	key := uuid.Must(uuid.NewV7()).String()
	answers := make([]answer, 3)
	send := func(i int) {
		var err error
		answers[i], err = call(ctx, s.routers[i].address, "POST", "/svc/reservation/ducts/9", key, `{"duct":9}`)
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
	for i, a := range answers {
		same := r.check(a.status/100 == 2 && a.body == answers[0].body, fmt.Sprintf("reservation through router %d: status %d, %s", i+1, a.status, a.body))
		r.add(row{"reservation, one key", accountOne, s.routers[i].name, "app-1", "",
			a.ttft.Round(time.Millisecond).String(), okText(ran && same) + fmt.Sprintf(", ran %d time(s)", effects.Total)})
	}
}

// engineKilled kills the engine that runs a stream; the stream must still
// arrive whole.
func engineKilled(ctx context.Context, s *system, r *report) {
	const id = "engine-killed-midway"
	text := prompt(0, 99)
	killed := ""
	a, err := stream(ctx, s.routers[0].address, accountOne, id, text, longAnswer, 30, func() {
		name := s.targetsOf(id)
		for _, e := range s.engines {
			if e.name == name {
				killed = name
				e.kill()
			}
		}
	})
	r.check(killed != "", "no engine was found to kill")
	s.addStream(r, id+" ("+killed+")", accountOne, s.routers[0], text, longAnswer, a, err)
}

// routerKilled kills a router under an open stream; the caller repeats its
// request through another router, as the load balancer would make it.
func routerKilled(ctx context.Context, s *system, r *report) {
	const id = "router-killed-midway"
	text := prompt(1, 99)
	victim := s.routers[1]
	// The error is expected: the connection breaks with the router.
	first, _ := stream(ctx, victim.address, accountTwo, id, text, longAnswer, 30, victim.kill)
	broken := r.check(!first.done, "a stream through a killed router claims to be whole")
	r.add(row{id, accountTwo, victim.name, "", "", first.ttft.Round(time.Millisecond).String(), "visibly broken off: " + strconv.FormatBool(broken)})
	a, err := stream(ctx, s.routers[2].address, accountTwo, id+"-again", text, longAnswer, 0, nil)
	s.addStream(r, id+"-again", accountTwo, s.routers[2], text, longAnswer, a, err)
}

// routerRestarted starts the killed router again: its first request must find
// its prefix cached, since the router takes the hot prefixes from a peer.
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
	a, err := stream(ctx, p.address, accountOne, id, text, shortAnswer, 0, nil)
	s.addStream(r, id, accountOne, p, text, shortAnswer, a, err)
	r.check(a.cached > 0, "the first request of a restarted router found nothing cached")
}

// operatorRace publishes two changes of one path that build on the same
// revision: one wins, the other is refused by name.
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
	won, refused := 0, 0
	for _, err := range results {
		switch {
		case err == nil:
			won++
		case strings.Contains(err.Error(), "conflict"):
			refused++
		}
	}
	ok := r.check(won == 1 && refused == 1, fmt.Sprintf("operator race: %d won, %d refused: %v", won, refused, results))
	r.add(row{"two operators, one path", team, "", "", "", "", okText(ok) + fmt.Sprintf(", %d accepted and in force, %d refused", won, refused)})
}

// plannedStop ends a router while it streams: the stream must arrive whole and
// the process must end by itself.
func plannedStop(ctx context.Context, s *system, r *report) {
	const id = "planned-stop"
	text := prompt(1, 100)
	router := s.routers[0]
	stopped := make(chan bool, 1)
	a, err := stream(ctx, router.address, accountOne, id, text, longAnswer, 10, func() {
		go func() { stopped <- router.stop(stopWait) }()
	})
	s.addStream(r, id, accountOne, router, text, longAnswer, a, err)
	r.check(<-stopped, "the stopping router did not end by itself with success")
}

func okText(ok bool) string {
	if ok {
		return "ok"
	}
	return "FAILED"
}
