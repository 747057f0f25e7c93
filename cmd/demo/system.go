package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"mimosaseam.example/mimosaseam/internal/harness"
)

const (
	routerCount = 3
	engineCount = 4
	model       = "demo-lm"
	weights     = "v1"
	readyWait   = 15 * time.Second
	stopWait    = 15 * time.Second
)

// process is one running part.
type process struct {
	*harness.Process
	name    string
	address string
}

func (p *process) kill() { p.Kill() }

// stop asks the process to end and reports whether it ended by itself.
func (p *process) stop(wait time.Duration) bool { return p.Stop(wait) }

// system is everything that runs.
type system struct {
	binaries, dir string
	log, vms, app *process
	engines       []*process
	routers       []*process
	admin         []string
	settings      []string
	systemKey     string
	teamKey       string
}

func startSystem(ctx context.Context, binaries string) (*system, error) {
	dir, err := os.MkdirTemp("", "mimosaseam-demo-")
	if err != nil {
		return nil, &harness.StartError{Component: "directory", Cause: err}
	}
	s := &system{binaries: binaries, dir: dir}
	steps := []func(context.Context) error{s.startStandins, s.startRouters, s.setVMs, s.publish}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *system) startStandins(ctx context.Context) error {
	start := func(name string, args ...string) (*process, error) {
		return s.startStandin(ctx, name, args...)
	}
	var err error
	if s.log, err = start("log", "log"); err != nil {
		return err
	}
	if s.vms, err = start("vms", "vms", "--lag", "500ms"); err != nil {
		return err
	}
	if s.app, err = start("app", "app"); err != nil {
		return err
	}
	for i := range engineCount {
		name := "engine-" + strconv.Itoa(i+1)
		p, err := start(name, "engine", "--name", name, "--model", model, "--weights-version", weights,
			"--decode-interval", "20ms", "--prefill-rate", "20000")
		if err != nil {
			return err
		}
		s.engines = append(s.engines, p)
	}
	return nil
}

// startStandin runs one stand-in and reads its address from its first log line.
func (s *system) startStandin(ctx context.Context, name string, args ...string) (*process, error) {
	p, err := s.start(name, "standin", args...)
	if err != nil {
		return nil, err
	}
	var line struct {
		Address string `json:"address"`
	}
	err = harness.Poll(ctx, readyWait, func() bool {
		text, _ := os.ReadFile(p.LogFile)
		first, _, whole := strings.Cut(string(text), "\n")
		return whole && json.Unmarshal([]byte(first), &line) == nil && line.Address != ""
	})
	p.address = line.Address
	if err != nil {
		return nil, &harness.StartError{Component: name, Cause: err, Log: p.Tail()}
	}
	return p, nil
}

func (s *system) start(name, binary string, args ...string) (*process, error) {
	p, err := harness.StartProcess(s.dir, name, filepath.Join(s.binaries, binary), args...)
	if err != nil {
		return nil, err
	}
	return &process{Process: p, name: name}, nil
}

// startRouters writes the settings and starts the routers.
func (s *system) startRouters(ctx context.Context) error {
	s.systemKey, s.teamKey = filepath.Join(s.dir, "system.key"), filepath.Join(s.dir, "team.key")
	public, err := s.command(ctx, "config", "keygen", "--key", s.systemKey)
	if err != nil {
		return err
	}
	ports, err := freePorts(3 * routerCount)
	if err != nil {
		return err
	}
	for i := range routerCount {
		own := ports[3*i : 3*i+3]
		file := filepath.Join(s.dir, "router-"+strconv.Itoa(i+1)+".jsonc")
		if err := os.WriteFile(file, routerSettings(i, own, s, strings.TrimSpace(public)), 0o600); err != nil {
			return &harness.StartError{Component: "settings", Cause: err}
		}
		s.settings = append(s.settings, file)
		s.admin = append(s.admin, "http://"+own[1])
		p, err := s.startRouter(i, own[0])
		if err != nil {
			return err
		}
		s.routers = append(s.routers, p)
	}
	for i := range routerCount {
		if err := s.awaitReady(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) startRouter(i int, address string) (*process, error) {
	p, err := s.start("router-"+strconv.Itoa(i+1), "mimosaseam", "serve", "--settings", s.settings[i])
	if err == nil {
		p.address = address
	}
	return p, err
}

func (s *system) awaitReady(ctx context.Context, i int) error {
	err := harness.Poll(ctx, readyWait, func() bool {
		answer, err := http.Get(s.admin[i] + "/readyz")
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	})
	if err != nil {
		return &harness.StartError{Component: s.routers[i].name, Cause: err, Log: s.routers[i].Tail()}
	}
	return nil
}

func routerSettings(i int, own []string, s *system, public string) []byte {
	value := map[string]any{
		"vm": map[string]string{"name": "router-" + strconv.Itoa(i+1), "region": region(i),
			"availability_zone": region(i) + "-a"},
		"callers":  map[string]string{"address": own[0]},
		"admin":    map[string]string{"address": own[1]},
		"peers":    map[string]string{"address": own[2]},
		"platform": map[string]string{"log_url": "http://" + s.log.address, "vm_list_url": "http://" + s.vms.address},
		"system":   map[string]string{"public_key": public},
		"shutdown": map[string]int{"unready_ms": 200},
	}
	text, _ := json.Marshal(value)
	return text
}

func region(i int) string { return []string{"north", "middle", "south"}[i%3] }

// setVMs puts the routers on the platform's VM list.
func (s *system) setVMs(ctx context.Context) error {
	type vm struct {
		Name    string `json:"name"`
		Role    string `json:"role"`
		Address string `json:"address"`
		Region  string `json:"region"`
		Zone    string `json:"availability_zone"`
		State   string `json:"state"`
	}
	var list struct {
		VMs []vm `json:"vms"`
	}
	for i, file := range s.settings {
		var own struct {
			Peers struct {
				Address string `json:"address"`
			} `json:"peers"`
		}
		text, err := os.ReadFile(file)
		if err == nil {
			err = json.Unmarshal(text, &own)
		}
		if err != nil {
			return &harness.StartError{Component: "VM list", Cause: err}
		}
		list.VMs = append(list.VMs, vm{"router-" + strconv.Itoa(i+1), "router", own.Peers.Address, region(i), region(i) + "-a", "live"})
	}
	for i, e := range s.engines {
		list.VMs = append(list.VMs, vm{e.name, "engine", e.address, region(i), region(i) + "-a", "live"})
	}
	body, _ := json.Marshal(list)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+s.vms.address+"/control/vms", bytes.NewReader(body))
	if err != nil {
		return &harness.StartError{Component: "VM list", Cause: err}
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return &harness.StartError{Component: "VM list", Cause: err}
	}
	defer answer.Body.Close()
	if answer.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(answer.Body)
		return &harness.StartError{Component: "VM list", Log: string(text)}
	}
	return nil
}

// command runs an operator's command of the shipped binary.
func (s *system) command(ctx context.Context, args ...string) (string, error) {
	var out, failure bytes.Buffer
	cmd := exec.CommandContext(ctx, filepath.Join(s.binaries, "mimosaseam"), args...)
	cmd.Stdout, cmd.Stderr = &out, &failure
	if err := cmd.Run(); err != nil {
		return "", &harness.StartError{Component: "mimosaseam " + strings.Join(args[:2], " "), Cause: err, Log: failure.String()}
	}
	return out.String(), nil
}

// stopAll ends every process that still runs and removes the directory.
func (s *system) stopAll() {
	all := append([]*process{s.log, s.vms, s.app}, append(s.engines, s.routers...)...)
	for _, p := range all {
		if p != nil {
			p.kill()
		}
	}
	os.RemoveAll(s.dir)
}

func freePorts(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, &harness.StartError{Component: "port", Cause: err}
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
