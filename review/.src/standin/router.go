// Package standin holds what the cases of the review share: stand-ins of the platform's store
// and of runners, a proxy, a client, and the start of a router as the deploy file says.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Router is a router that runs as a process of its own.
type Router struct {
	Name          string
	Front, Ready  string
	command       *exec.Cmd
	folder        string
	log           *os.File
	exited        chan error
	settingsFile  string
	settingsValue map[string]any
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// StartRouter starts target/mimosaseam gateway in the root of the repository, with the
// settings that the template of the deploy file gives on the small sites, or with changed bounds.
func StartRouter(name, zone, store string, change ...func(bounds map[string]any)) (*Router, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &Router{Name: name, folder: folder, settingsFile: filepath.Join(folder, "node.jsonc"), exited: make(chan error, 1)}
	var addresses [4]string
	for i := range addresses {
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	r.Front, r.Ready = addresses[0], addresses[1]
	address := func(a string) map[string]any { return map[string]any{"address": a} }
	bounds := map[string]any{"key_revoked_ms": RevokeMs, "key_revoked_strict": true, "configuration_ms": ConfigApplyMs, "leaving_ms": 2500,
		"repeat_ratio": 0.2, "repeat_allowance": 52, "repeat_window_s": 10, "holder_turn_ms": LeaseMs, "targets_check_fencing": true,
		"weights_ms": 8000, "stop_s": 8}
	for _, c := range change {
		c(bounds)
	}
	r.settingsValue = map[string]any{
		"vm":      map[string]any{"name": name, "region": Regions[zone], "availability_zone": zone},
		"callers": address(addresses[0]), "ready": address(addresses[1]), "peers": address(addresses[2]), "metrics": address(addresses[3]),
		"regions": Regions, "log": address(store), "limits": map[string]any{"memory_mb": 284},
		"bounds": bounds,
	}
	text, err := json.MarshalIndent(r.settingsValue, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(r.settingsFile, text, 0o600); err != nil {
		return nil, err
	}
	if r.log, err = os.Create(filepath.Join(folder, "log")); err != nil {
		return nil, err
	}
	r.command = exec.Command(program(), "gateway")
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "MIMOSASEAM_NODE_FILE=" + r.settingsFile}
	r.command.Stdout, r.command.Stderr = r.log, r.log
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	go func() { r.exited <- r.command.Wait() }()
	return r, nil
}

// Regions are the zones of the small site with their regions.
var Regions = map[string]string{"fi-south-a": "fi-south", "fi-west-a": "fi-west", "se-east-a": "se-east"}

// Bounds of the small sites.
const (
	RevokeMs      = 5000
	ConfigApplyMs = 2500
	LeaseMs       = 3000
)

// AwaitReady waits until the router is ready and reports whether it is.
func (r *Router) AwaitReady(ctx context.Context) bool {
	for ctx.Err() == nil {
		if response, err := http.Get("http://" + r.Ready + "/-/readiness"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// Signal sends a signal to the router.
func (r *Router) Signal(s os.Signal) { _ = r.command.Process.Signal(s) }

// Log returns what the router has logged.
func (r *Router) Log() string {
	text, _ := os.ReadFile(r.log.Name())
	return string(text)
}

// Stop ends the router and removes its files.
func (r *Router) Stop() {
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.WriteFile(filepath.Join(keep, r.Name+".log"), []byte(r.Log()), 0o600)
	}
	_ = r.command.Process.Kill()
	<-r.exited
	_ = r.log.Close()
	_ = os.RemoveAll(r.folder)
}

func program() string {
	if b := os.Getenv("REVIEW_BIN"); b != "" {
		return b
	}
	return "target/mimosaseam"
}
