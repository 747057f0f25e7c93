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
	// maxSystems bounds the number of systems that run at the same time.
	maxSystems = 4
	// waitTimeout bounds every wait; a healthy system needs a fraction of it.
	waitTimeout      = 60 * time.Second
	completionTokens = 60
	// bystanderTokens is long enough for a stream to outlast the injection of a fault.
	bystanderTokens = 150
)

var (
	binaries    string
	systemSlots = make(chan struct{}, maxSystems)
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

// testEnv is one running system with the observations made on it.
type testEnv struct {
	t   *testing.T
	ctx context.Context
	sys *harness.System

	mu        sync.Mutex
	observed  observation
	healFuncs []func()
	sequence  int
	// stopped holds the names of the routers and engines that were killed or stopped.
	stopped map[string]bool
	// killedRuns holds the runs of engines that were killed.
	killedRuns []engineRun
	// bystanderApart sends the bystander of a crashing request to another router.
	bystanderApart bool
	requestCount   int
	lastRevision   uint64 // of the marker pool
}

func newTestEnv(t *testing.T) *testEnv {
	systemSlots <- struct{}{}
	start := time.Now()
	t.Cleanup(func() {
		<-systemSlots
		if os.Getenv("FAULTMATRIX_PROGRESS") != "" {
			fmt.Fprintf(os.Stderr, "cell failed=%t %.1fs %s\n", t.Failed(), time.Since(start).Seconds(), t.Name())
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	sys, err := harness.Start(ctx, harness.Options{BinDir: binaries, Dir: t.TempDir(), Routers: routers, Engines: engines})
	t.Cleanup(sys.Close)
	env := &testEnv{t: t, ctx: ctx, sys: sys, stopped: map[string]bool{}, observed: observation{weights: []string{harness.InitialWeightsVersion},
		effects: map[string]int{}, config: map[string][]configState{}, orders: map[string][]uint64{}}}
	env.must(err)
	var watchers sync.WaitGroup
	t.Cleanup(func() { cancel(); watchers.Wait() })
	for _, r := range sys.Routers {
		watchers.Go(func() { r.Watch(ctx, func(s harness.RouterStatus) { env.recordConfig(r.Name, s) }) })
	}
	_, err = env.putMarker()
	env.must(err)
	return env
}

func (env *testEnv) must(err error) {
	env.t.Helper()
	if err != nil {
		env.t.Fatal(err, env.sys.UnexpectedExits())
	}
}

// await polls a condition and fails the test after waitTimeout.
func (env *testEnv) await(what string, done func() bool) {
	env.t.Helper()
	if harness.Poll(env.ctx, waitTimeout, done) != nil {
		env.t.Fatalf("timed out waiting for: %s", what)
	}
}

func (env *testEnv) recordFailure(text string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.observed.stepFailures = append(env.observed.stepFailures, text)
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

func (env *testEnv) recordConfig(router string, s harness.RouterStatus) {
	state := configState{s.ConfigOffset, markerOf(s)}
	env.mu.Lock()
	defer env.mu.Unlock()
	states := env.observed.config[router]
	if len(states) == 0 || states[len(states)-1] != state {
		env.observed.config[router] = append(states, state)
	}
}

// nextMarker returns a unique value, so that a router's status shows which change is
// in force.
func (env *testEnv) nextMarker() (string, map[string]any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.sequence++
	name := "value-" + strconv.Itoa(env.sequence)
	target := map[string]any{"name": name, "address": "127.0.0.1:1", "region": "north", "availability_zone": "north-a"}
	return name, map[string]any{"/demo/pools/" + markerPool: map[string]any{"kind": "service", "targets": []any{target}}}
}

var revisionPattern = regexp.MustCompile(`: revision (\d+)`)

// putMarker publishes a new marker value and returns it.
func (env *testEnv) putMarker(flags ...string) (string, error) {
	name, value := env.nextMarker()
	out, err := env.sys.PutConfig(env.ctx, value, flags...)
	if err != nil {
		return name, err
	}
	env.recordAccepted(name, out)
	return name, nil
}

func (env *testEnv) recordAccepted(name, out string) {
	found := revisionPattern.FindStringSubmatch(out)
	if found == nil {
		return
	}
	revision, _ := strconv.ParseUint(found[1], 10, 64)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.observed.accepted = append(env.observed.accepted, revision)
	if revision > env.lastRevision {
		env.lastRevision, env.observed.finalValue = revision, name
	}
}

// raceOperators publishes two changes of the marker with the same base revision.
func (env *testEnv) raceOperators() {
	base := strconv.FormatUint(env.lastRevision, 10)
	accepted := make([]int, 2)
	var both sync.WaitGroup
	for i := range accepted {
		both.Go(func() {
			if _, err := env.putMarker("--base-revision", base); err == nil {
				accepted[i] = 1
			}
		})
	}
	both.Wait()
	env.mu.Lock()
	defer env.mu.Unlock()
	env.observed.acceptedPerRace = append(env.observed.acceptedPerRace, accepted[0]+accepted[1])
}

func (env *testEnv) liveRouters() []*harness.Router {
	var out []*harness.Router
	for _, r := range env.sys.Routers {
		if !env.stopped[r.Name] {
			out = append(out, r)
		}
	}
	return out
}

func (env *testEnv) liveEngines() []*harness.Standin {
	var out []*harness.Standin
	for _, e := range env.sys.Engines {
		if !env.stopped[e.Name] {
			out = append(out, e)
		}
	}
	return out
}

func (env *testEnv) engineAt(p *harness.Proxy) *harness.Standin {
	for _, e := range env.sys.Engines {
		if e.Proxy == p {
			return e
		}
	}
	env.t.Fatal("the breakpoint was not hit at an engine")
	return nil
}

// sharedPrefix is longer than a few cache blocks, so that prompts share cached blocks.
var sharedPrefix = strings.Repeat("Conduit rules of the region, common to all dossiers. ", 40)

// startCompletion starts a completion; the returned function waits for its response.
func (env *testEnv) startCompletion(ctx context.Context, r *harness.Router, account, prompt string, n int, mustComplete bool, onChunk func(int)) func() harness.Response {
	env.mu.Lock()
	env.requestCount++
	id := "request-" + strconv.Itoa(env.requestCount)
	env.mu.Unlock()
	response := make(chan harness.Response, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, waitTimeout)
		defer cancel()
		response <- harness.Stream(ctx, harness.Completion{Address: r.Proxy.Address(), Key: harness.APIKey(account), ID: id,
			Model: harness.Model, Prompt: prompt, Tokens: n, OnChunk: onChunk})
	}()
	return func() harness.Response {
		resp := <-response
		env.mu.Lock()
		defer env.mu.Unlock()
		env.observed.streams = append(env.observed.streams, streamRecord{id, account, prompt, n, mustComplete, resp})
		return resp
	}
}

func (env *testEnv) prompt() string {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.sequence++
	return sharedPrefix + "Question " + strconv.Itoa(env.sequence) + ": may a cable cross here?"
}

// uniqueSuffix returns the part of a prompt that no other prompt contains.
func uniqueSuffix(prompt string) string { return strings.TrimPrefix(prompt, sharedPrefix) }

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// reserve sends a reservation and records the response.
func (env *testEnv) reserve(ctx context.Context, r *harness.Router, key string) harness.Response {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	resp := harness.Call(ctx, r.Proxy.Address(), harness.APIKey(harness.AccountOne), http.MethodPost,
		"/svc/reservation/ducts/9", key, `{"duct":9}`)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.observed.calls = append(env.observed.calls, callRecord{key: key, response: resp})
	return resp
}

func (env *testEnv) effects() map[string]int {
	var effects struct {
		ByKey map[string]int `json:"by_key"`
	}
	env.must(harness.GetJSON(env.ctx, "http://"+env.sys.App.Direct+"/control/effects", &effects))
	return effects.ByKey
}

// recordEffects sets the number of executions under the key of each call so far.
func (env *testEnv) recordEffects() {
	effects := env.effects()
	env.mu.Lock()
	defer env.mu.Unlock()
	for i := range env.observed.calls {
		env.observed.calls[i].effects = effects[env.observed.calls[i].key]
	}
}

func (env *testEnv) runsOf(e *harness.Standin) []engineRun {
	var response struct {
		Runs []engine.Run `json:"runs"`
	}
	env.must(harness.GetJSON(env.ctx, "http://"+e.Direct+"/control/runs", &response))
	out := make([]engineRun, len(response.Runs))
	for i, r := range response.Runs {
		out[i] = engineRun{e.Name, r}
	}
	return out
}

func (env *testEnv) heal() {
	for _, heal := range slices.Backward(env.healFuncs) {
		heal()
	}
	env.healFuncs = nil
}
