package faultmatrix

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"mimosaseam.example/mimosaseam/internal/harness"
	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

const (
	routers = 3
	engines = 4
	// atOnce bounds the systems that run at the same time.
	atOnce = 4
	// waitTimeout bounds every wait; a healthy system takes a fraction of it.
	waitTimeout = 60 * time.Second
	tokens      = 60
	// bystanderTokens make a stream that outlasts the injection of a fault.
	bystanderTokens = 150
)

var (
	binaries string
	slots    = make(chan struct{}, atOnce)
)

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the binaries once for all cells.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "faultmatrix-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../cmd/mimosaseam", "../../cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out), err)
		return 1
	}
	return m.Run()
}

// world is one running system with what has been seen of it.
type world struct {
	t   *testing.T
	ctx context.Context
	sys *harness.System

	mu     sync.Mutex
	seen   observation
	heals  []func()
	values int
	// gone names the routers and engines that were killed or stopped.
	gone map[string]bool
	// lostRuns holds the runs of engines that were killed.
	lostRuns []engineRun
	// apart lets the bystander of a crashing request use another router.
	apart bool
	asked int
	last  uint64 // revision of the marker
}

func newWorld(t *testing.T) *world {
	slots <- struct{}{}
	begun := time.Now()
	t.Cleanup(func() {
		<-slots
		if os.Getenv("FAULTMATRIX_PROGRESS") != "" {
			fmt.Fprintf(os.Stderr, "cell failed=%t %.1fs %s\n", t.Failed(), time.Since(begun).Seconds(), t.Name())
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	sys, err := harness.Start(ctx, harness.Options{BinDir: binaries, Dir: t.TempDir(), Routers: routers, Engines: engines})
	t.Cleanup(sys.Close)
	w := &world{t: t, ctx: ctx, sys: sys, gone: map[string]bool{}, seen: observation{weights: []string{harness.InitialWeightsVersion},
		effects: map[string]int{}, config: map[string][]seenConfig{}, orders: map[string][]uint64{}}}
	w.must(err)
	var watchers sync.WaitGroup
	t.Cleanup(func() { cancel(); watchers.Wait() })
	for _, r := range sys.Routers {
		watchers.Go(func() { r.Watch(ctx, func(s harness.RouterStatus) { w.sawConfig(r.Name, s) }) })
	}
	_, err = w.putMarker()
	w.must(err)
	return w
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// await polls a condition.
func (w *world) await(what string, done func() bool) {
	w.t.Helper()
	if harness.Poll(w.ctx, waitTimeout, done) != nil {
		w.t.Fatalf("did not happen: %s", what)
	}
}

func (w *world) object(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen.other = append(w.seen.other, text)
}

const markerPool = "marker"

func markerOf(s harness.RouterStatus) string {
	for _, t := range s.Targets {
		if t.Pool == harness.Team+"/"+markerPool {
			return t.Name
		}
	}
	return ""
}

func (w *world) sawConfig(router string, s harness.RouterStatus) {
	state := seenConfig{s.ConfigOffset, markerOf(s)}
	w.mu.Lock()
	defer w.mu.Unlock()
	states := w.seen.config[router]
	if len(states) == 0 || states[len(states)-1] != state {
		w.seen.config[router] = append(states, state)
	}
}

// marker returns a value that no other change has, so that a router's status
// shows which change is in force.
func (w *world) marker() (string, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.values++
	name := "value-" + strconv.Itoa(w.values)
	target := map[string]any{"name": name, "address": "127.0.0.1:1", "region": "north", "availability_zone": "north-a"}
	return name, map[string]any{"/demo/pools/" + markerPool: map[string]any{"kind": "service", "targets": []any{target}}}
}

var revisionPattern = regexp.MustCompile(`: revision (\d+)`)

// putMarker publishes a new value and returns it.
func (w *world) putMarker(more ...string) (string, error) {
	name, value := w.marker()
	out, err := w.sys.PutConfig(w.ctx, value, more...)
	if err != nil {
		return name, err
	}
	w.accept(name, out)
	return name, nil
}

func (w *world) accept(name, out string) {
	found := revisionPattern.FindStringSubmatch(out)
	if found == nil {
		return
	}
	revision, _ := strconv.ParseUint(found[1], 10, 64)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen.accepted = append(w.seen.accepted, revision)
	if revision > w.last {
		w.last, w.seen.finalValue = revision, name
	}
}

// race lets two operators change the marker with the same base revision.
func (w *world) race() {
	base := strconv.FormatUint(w.last, 10)
	won := make([]int, 2)
	var both sync.WaitGroup
	for i := range won {
		both.Go(func() {
			if _, err := w.putMarker("--base-revision", base); err == nil {
				won[i] = 1
			}
		})
	}
	both.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen.racesWon = append(w.seen.racesWon, won[0]+won[1])
}

func (w *world) liveRouters() []*harness.Router {
	var out []*harness.Router
	for _, r := range w.sys.Routers {
		if !w.gone[r.Name] {
			out = append(out, r)
		}
	}
	return out
}

func (w *world) liveEngines() []*harness.Standin {
	var out []*harness.Standin
	for _, e := range w.sys.Engines {
		if !w.gone[e.Name] {
			out = append(out, e)
		}
	}
	return out
}

func (w *world) engineAt(p *harness.Proxy) *harness.Standin {
	for _, e := range w.sys.Engines {
		if e.Proxy == p {
			return e
		}
	}
	w.t.Fatal("the data was not held at an engine")
	return nil
}

// preface is longer than a few blocks, so that prompts share cached blocks.
var preface = strings.Repeat("Conduit rules of the region, common to all dossiers. ", 40)

// ask starts a completion; the returned function gives the answer.
func (w *world) ask(ctx context.Context, r *harness.Router, account, prompt string, n int, mustBeWhole bool, onChunk func(int)) func() harness.Response {
	w.mu.Lock()
	w.asked++
	id := "request-" + strconv.Itoa(w.asked)
	w.mu.Unlock()
	answer := make(chan harness.Response, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, waitTimeout)
		defer cancel()
		answer <- harness.Stream(ctx, harness.Completion{Address: r.Proxy.Address(), Key: harness.APIKey(account), ID: id,
			Model: harness.Model, Prompt: prompt, Tokens: n, OnChunk: onChunk})
	}()
	return func() harness.Response {
		a := <-answer
		w.mu.Lock()
		defer w.mu.Unlock()
		w.seen.streams = append(w.seen.streams, seenStream{id, account, prompt, n, mustBeWhole, a})
		return a
	}
}

func (w *world) prompt() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.values++
	return preface + "Question " + strconv.Itoa(w.values) + ": may a cable cross here?"
}

// question is the part of a prompt that no other prompt has.
func question(prompt string) string { return strings.TrimPrefix(prompt, preface) }

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// reserve sends a reservation and notes the answer.
func (w *world) reserve(ctx context.Context, r *harness.Router, key string) harness.Response {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	a := harness.Call(ctx, r.Proxy.Address(), harness.APIKey(harness.AccountOne), http.MethodPost,
		"/svc/reservation/ducts/9", key, `{"duct":9}`)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen.calls = append(w.seen.calls, seenCall{key: key, answer: a})
	return a
}

func (w *world) effects() map[string]int {
	var effects struct {
		ByKey map[string]int `json:"by_key"`
	}
	w.must(harness.GetJSON(w.ctx, "http://"+w.sys.App.Direct+"/control/effects", &effects))
	return effects.ByKey
}

// noteEffects fills in what ran under the keys of the calls up to now.
func (w *world) noteEffects() {
	effects := w.effects()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.seen.calls {
		w.seen.calls[i].effects = effects[w.seen.calls[i].key]
	}
}

func (w *world) runsOf(e *harness.Standin) []engineRun {
	var answer struct {
		Runs []engine.Run `json:"runs"`
	}
	w.must(harness.GetJSON(w.ctx, "http://"+e.Direct+"/control/runs", &answer))
	out := make([]engineRun, len(answer.Runs))
	for i, r := range answer.Runs {
		out[i] = engineRun{e.Name, r}
	}
	return out
}

func (w *world) heal() {
	for _, heal := range slices.Backward(w.heals) {
		heal()
	}
	w.heals = nil
}
