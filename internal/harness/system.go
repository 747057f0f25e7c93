package harness

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// ReadyTimeout bounds every wait for the system to start or to reach a state.
	ReadyTimeout   = 60 * time.Second
	controlTimeout = 5 * time.Second
	// Team owns the configuration.
	Team = "demo"
	// Model is the model that all engines serve.
	Model = "demo-lm"
	// AccountOne and AccountTwo are the client accounts.
	AccountOne = "crews"
	AccountTwo = "planners"

	firstRouterPort = 7000
	routerPorts     = 3
)

// APIKey returns the key of an account.
func APIKey(account string) string { return "demo-key-" + account }

// Standin is a stand-in process with the proxy through which routers reach it.
type Standin struct {
	*Process
	// Direct is the address of the process itself, for control requests.
	Direct string
	Proxy  *Proxy
}

// Kill kills the process and stops its proxy.
func (p *Standin) Kill() { p.Process.Kill(); p.Proxy.Down() }

// Router is a router process with its proxy for callers and its own proxy to the log.
type Router struct {
	*Process
	Proxy         *Proxy
	LogProxy      *Proxy
	AdminURL      string
	PeerAddress   string
	SettingsFile  string
	callerAddress string
}

// CallerAddress is the address of the process itself for callers.
func (r *Router) CallerAddress() string { return r.callerAddress }

// Kill kills the process and stops its proxy.
func (r *Router) Kill() { r.Process.Kill(); r.Proxy.Down() }

// Options configures a System.
type Options struct {
	BinDir, Dir      string
	Routers, Engines int
	// Callers and Resources are added to these parts of the routers' settings.
	Callers, Resources map[string]any
}

// System is a running set of routers and stand-ins.
type System struct {
	Options
	Log, VMs, App *Standin
	Engines       []*Standin
	Routers       []*Router
	// OperatorLogProxy is the proxy through which operator commands reach the log.
	OperatorLogProxy            *Proxy
	operatorSettings            string
	systemKey, teamKey, rootKey string
	host                        string
}

var systemCount atomic.Int64

// nextHost returns a separate loopback address for each system, so that the fixed
// ports of its routers are free and no other system can listen on the port of a process
// that was killed, whose clients still try to reach it.
func nextHost() string {
	pid := os.Getpid()
	return "127." + strconv.Itoa(1+pid/250%250) + "." + strconv.Itoa(1+pid%250) + "." + strconv.Itoa(1+int(systemCount.Add(1))%250)
}

// Start starts a system and publishes its configuration. It returns the system even
// on error; the caller must always call Close.
func Start(ctx context.Context, o Options) (*System, error) {
	s := &System{Options: o, host: nextHost()}
	for _, step := range []func(context.Context) error{s.startStandins, s.startRouters, s.publishInitialConfig} {
		if err := step(ctx); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *System) startStandins(ctx context.Context) error {
	var err error
	if s.Log, err = s.startStandin(ctx, "log", "log", "--appends-per-second", "1000"); err != nil {
		return err
	}
	if s.VMs, err = s.startStandin(ctx, "vms", "vms", "--lag", "0s"); err != nil {
		return err
	}
	if s.App, err = s.startStandin(ctx, "app-1", "app"); err != nil {
		return err
	}
	for i := range s.Options.Engines {
		name := "engine-" + strconv.Itoa(i+1)
		e, err := s.startStandin(ctx, name, "engine", "--name", name, "--model", Model, "--weights-version", InitialWeightsVersion,
			"--decode-interval", "5ms", "--prefill-rate", "50000", "--check-fencing", "--load-lag", "100ms")
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, e)
	}
	s.OperatorLogProxy, err = NewProxy(s.host, s.Log.Direct)
	return err
}

// startStandin starts one stand-in and reads its address from its first log line.
func (s *System) startStandin(ctx context.Context, name string, args ...string) (*Standin, error) {
	args = append([]string{"--address", net.JoinHostPort(s.host, "0")}, args...)
	p, err := StartProcess(s.Dir, name, filepath.Join(s.BinDir, "standin"), args...)
	if err != nil {
		return nil, err
	}
	var line struct {
		Address string `json:"address"`
	}
	err = Poll(ctx, ReadyTimeout, func() bool {
		text, _ := os.ReadFile(p.LogFile)
		first, _, complete := strings.Cut(string(text), "\n")
		return complete && json.Unmarshal([]byte(first), &line) == nil && line.Address != ""
	})
	if err != nil {
		p.Kill()
		return nil, &StartError{Component: name, Cause: err, Log: p.Tail()}
	}
	proxy, err := NewProxy(s.host, line.Address)
	return &Standin{Process: p, Direct: line.Address, Proxy: proxy}, err
}

func (s *System) startRouters(ctx context.Context) error {
	s.systemKey, s.teamKey = filepath.Join(s.Dir, "system.key"), filepath.Join(s.Dir, "team.key")
	public, err := s.Command(ctx, "config", "keygen", "--key", s.systemKey)
	if err != nil {
		return err
	}
	s.rootKey = strings.TrimSpace(public)
	s.operatorSettings = filepath.Join(s.Dir, "operator.jsonc")
	if err := s.writeSettings(s.operatorSettings, s.Options.Routers, s.OperatorLogProxy); err != nil {
		return err
	}
	for i := range s.Options.Routers {
		r := &Router{SettingsFile: filepath.Join(s.Dir, "router-"+strconv.Itoa(i+1)+".jsonc"),
			callerAddress: s.port(i, 0), AdminURL: "http://" + s.port(i, 1), PeerAddress: s.port(i, 2)}
		s.Routers = append(s.Routers, r) // Close stops what of it has been started
		if r.LogProxy, err = NewProxy(s.host, s.Log.Direct); err != nil {
			return err
		}
		if r.Proxy, err = NewProxy(s.host, r.callerAddress); err != nil {
			return err
		}
		if err := s.writeSettings(r.SettingsFile, i, r.LogProxy); err != nil {
			return err
		}
		if r.Process, err = s.startRouter(i, r.SettingsFile); err != nil {
			return err
		}
	}
	for _, r := range s.Routers {
		if err := s.AwaitReady(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startRouter(i int, settings string) (*Process, error) {
	return StartProcess(s.Dir, "router-"+strconv.Itoa(i+1), filepath.Join(s.BinDir, "mimosaseam"),
		"serve", "--settings", settings)
}

func (s *System) port(router, n int) string {
	return net.JoinHostPort(s.host, strconv.Itoa(firstRouterPort+router*routerPorts+n))
}

// AwaitReady waits until the router reports itself ready.
func (s *System) AwaitReady(ctx context.Context, r *Router) error {
	err := Poll(ctx, ReadyTimeout, func() bool {
		return GetJSON(ctx, r.AdminURL+"/readyz", &struct{}{}) == nil
	})
	if err != nil {
		return &StartError{Component: r.Name, Cause: err, Log: r.Tail()}
	}
	return nil
}

func (s *System) writeSettings(file string, i int, log *Proxy) error {
	// Routers discover each other through seeds, because the poll interval of the VM
	// list grows with its size.
	seeds := []string{}
	for other := range s.Options.Routers {
		if other != i {
			seeds = append(seeds, s.port(other, 2))
		}
	}
	value := map[string]any{
		"vm": map[string]string{"name": "router-" + strconv.Itoa(i+1), "region": region(i),
			"availability_zone": region(i) + "-a"},
		"callers":   with(s.Options.Callers, "address", s.port(i, 0)),
		"resources": with(s.Options.Resources, "seed", 0),
		"admin":     map[string]string{"address": s.port(i, 1)},
		"peers":     map[string]any{"address": s.port(i, 2), "seeds": seeds},
		"platform": map[string]any{"log_url": "http://" + log.Address(), "vm_list_url": "http://" + s.VMs.Direct,
			"vm_list_poll_ms": 200},
		"system":   map[string]string{"public_key": s.rootKey},
		"shutdown": map[string]int{"unready_ms": 200},
	}
	text, _ := json.Marshal(value)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return &StartError{Component: "settings", Cause: err}
	}
	return nil
}

// with returns a copy of the values with one more.
func with(values map[string]any, key string, value any) map[string]any {
	out := map[string]any{key: value}
	maps.Copy(out, values)
	return out
}

func region(i int) string { return []string{"north", "middle", "south"}[i%3] }

// MarkLeaving replaces the VM list with the one engine, in state leaving.
func (s *System) MarkLeaving(ctx context.Context, e *Standin) error {
	return s.setVMs(ctx, []map[string]string{vm(0, e.Name, "engine", e.Proxy.Address(), "leaving")})
}

func vm(i int, name, role, address, state string) map[string]string {
	return map[string]string{"name": name, "role": role, "address": address, "region": region(i),
		"availability_zone": region(i) + "-a", "state": state}
}

func (s *System) setVMs(ctx context.Context, vms []map[string]string) error {
	return Control(ctx, http.MethodPut, "http://"+s.VMs.Direct+"/control/vms", map[string]any{"vms": vms})
}

// publishInitialConfig publishes the team and its configuration.
func (s *System) publishInitialConfig(ctx context.Context) error {
	public, err := s.Command(ctx, "config", "keygen", "--key", s.teamKey)
	if err != nil {
		return err
	}
	team := map[string]any{"/system/teams/" + Team: map[string]string{"public_key": strings.TrimSpace(public)}}
	if _, err := s.put(ctx, "system", s.systemKey, team); err != nil {
		return err
	}
	if _, err = s.PutConfig(ctx, s.bundle(), "--wait", "--router", s.Routers[0].AdminURL); err != nil {
		return err
	}
	return s.awaitConfig(ctx)
}

// awaitConfig waits until all routers have applied what the first one has: routers that it
// has not discovered yet are not part of its answer to --wait.
func (s *System) awaitConfig(ctx context.Context) error {
	first, err := s.Routers[0].Status(ctx)
	if err != nil {
		return err
	}
	for _, r := range s.Routers[1:] {
		err := Poll(ctx, ReadyTimeout, func() bool {
			status, err := r.Status(ctx)
			return err == nil && status.ConfigOffset >= first.ConfigOffset
		})
		if err != nil {
			return &StartError{Component: r.Name, Cause: err, Log: r.Tail()}
		}
	}
	return nil
}

// PutConfig publishes configuration values of the team by path and returns the output
// of the operator command.
func (s *System) PutConfig(ctx context.Context, values map[string]any, flags ...string) (string, error) {
	return s.put(ctx, Team, s.teamKey, values, flags...)
}

func (s *System) put(ctx context.Context, author, key string, values map[string]any, flags ...string) (string, error) {
	args, err := s.putArgs(author, key, values, flags)
	if err != nil {
		return "", err
	}
	return s.Command(ctx, args...)
}

// StartPutConfig runs the command of PutConfig as a separate process, into which faults
// can be injected.
func (s *System) StartPutConfig(name string, values map[string]any, flags ...string) (*Process, error) {
	args, err := s.putArgs(Team, s.teamKey, values, flags)
	if err != nil {
		return nil, err
	}
	return StartProcess(s.Dir, name, filepath.Join(s.BinDir, "mimosaseam"), args...)
}

func (s *System) putArgs(author, key string, values map[string]any, flags []string) ([]string, error) {
	file, err := os.CreateTemp(s.Dir, "bundle-*.jsonc")
	if err != nil {
		return nil, &StartError{Component: "configuration", Cause: err}
	}
	err = json.NewEncoder(file).Encode(values)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, &StartError{Component: "configuration", Cause: err}
	}
	args := []string{"config", "put", "--settings", s.operatorSettings, "--author", author, "--key", key, "--bundle", file.Name()}
	return append(args, flags...), nil
}

// EnginePool returns the configuration of the engine pool with a weights version.
func (s *System) EnginePool(weights string) map[string]any {
	var targets []any
	for i, e := range s.Engines {
		targets = append(targets, target(i, e))
	}
	return map[string]any{"kind": "engine", "model": Model, "weights_version": weights, "targets": targets, "checks_fencing": true}
}

func target(i int, p *Standin) map[string]any {
	return map[string]any{"name": p.Name, "address": p.Proxy.Address(), "region": region(i), "availability_zone": region(i) + "-a"}
}

func (s *System) bundle() map[string]any {
	type object = map[string]any
	account := func(name string) object {
		sum := sha256.Sum256([]byte(APIKey(name)))
		return object{"key_sha256": []string{hex.EncodeToString(sum[:])}, "routes": []string{Model, "lookup", "reservation"}, "limits": object{}}
	}
	return object{
		"/demo/pools/" + Model:         s.EnginePool(InitialWeightsVersion),
		"/demo/pools/app":              object{"kind": "service", "targets": []any{target(0, s.App)}},
		"/demo/routes/" + Model:        object{"pool": Model, "model": Model, "retry_budget_percent": 50, "stall_timeout_ms": 1000, "weights": object{"recompute": 1}},
		"/demo/routes/lookup":          object{"pool": "app", "repeat": "any", "weights": object{}},
		"/demo/routes/reservation":     object{"pool": "app", "repeat": "never", "timeout_ms": 3000, "weights": object{}},
		"/demo/accounts/" + AccountOne: account(AccountOne),
		"/demo/accounts/" + AccountTwo: account(AccountTwo),
	}
}

// Command runs an operator command of the shipped binary and returns its output.
func (s *System) Command(ctx context.Context, args ...string) (string, error) {
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, filepath.Join(s.BinDir, "mimosaseam"), args...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return "", &StartError{Component: "mimosaseam " + strings.Join(args[:2], " "), Cause: err, Log: stderr.String()}
	}
	return stdout.String(), nil
}

// UnexpectedExits describes the routers and stand-ins that the harness did not end.
func (s *System) UnexpectedExits() []string {
	var out []string
	record := func(p *Process) {
		if p == nil {
			return // it was not started
		}
		if text := p.UnexpectedExit(); text != "" {
			out = append(out, text)
		}
	}
	for _, r := range s.Routers {
		record(r.Process)
	}
	for _, p := range s.standins() {
		record(p.Process)
	}
	return out
}

// standins returns the stand-ins that were started.
func (s *System) standins() []*Standin {
	var out []*Standin
	for _, p := range append([]*Standin{s.Log, s.VMs, s.App}, s.Engines...) {
		if p != nil {
			out = append(out, p)
		}
	}
	return out
}

// Close kills every process and stops every proxy.
func (s *System) Close() {
	for _, r := range s.Routers {
		if r.Process != nil {
			r.Process.Kill()
		}
		r.Proxy.Down()
		r.LogProxy.Down()
	}
	for _, p := range s.standins() {
		p.Kill()
	}
	if s.OperatorLogProxy != nil {
		s.OperatorLogProxy.Down()
	}
}
