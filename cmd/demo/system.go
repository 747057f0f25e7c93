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
	routerCount  = 3
	engineCount  = 4
	model        = "demo-lm"
	weights      = "v1"
	readyTimeout = 15 * time.Second
	stopTimeout  = 15 * time.Second
)

// process is a child process with the address it serves.
type process struct {
	*harness.Process
	name    string
	address string
}

func (p *process) kill() { p.Kill() }

// stop sends SIGTERM and reports whether the process exited successfully in time.
func (p *process) stop(wait time.Duration) bool { return p.Stop(wait) }

// system is the running set of routers and stand-ins.
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

// startStandin starts one stand-in and reads its address from its first log line.
func (s *system) startStandin(ctx context.Context, name string, args ...string) (*process, error) {
	p, err := s.start(name, "standin", args...)
	if err != nil {
		return nil, err
	}
	var line struct {
		Address string `json:"address"`
	}
	err = harness.Poll(ctx, readyTimeout, func() bool {
		text, _ := os.ReadFile(p.LogFile)
		first, _, complete := strings.Cut(string(text), "\n")
		return complete && json.Unmarshal([]byte(first), &line) == nil && line.Address != ""
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

// startRouters writes the routers' settings, starts them and waits until all are ready.
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
	err := harness.Poll(ctx, readyTimeout, func() bool {
		response, err := http.Get(s.admin[i] + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
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

// setVMs sets the platform's VM list to the routers and the engines.
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
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return &harness.StartError{Component: "VM list", Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(response.Body)
		return &harness.StartError{Component: "VM list", Log: string(text)}
	}
	return nil
}

// command runs an operator command of the shipped binary and returns its output.
func (s *system) command(ctx context.Context, args ...string) (string, error) {
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, filepath.Join(s.binaries, "mimosaseam"), args...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return "", &harness.StartError{Component: "mimosaseam " + strings.Join(args[:2], " "), Cause: err, Log: stderr.String()}
	}
	return stdout.String(), nil
}

// stopAll kills every process and removes the directory.
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
