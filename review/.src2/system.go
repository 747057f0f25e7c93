package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

const (
	host      = "jepu9.example"
	key       = "ctnfzs989anu6wsjnban"
	tenant    = "sese880"
	readyWait = 20 * time.Second
)

var (
	errNotReady   = errors.New("the routers did not become ready")
	errNotStarted = errors.New("a router did not start")
)

// system is a small deployment on loopback: the platform's store, runners and routers.
type system struct {
	dir       string
	record    *os.File
	log       *platformtest.Log
	logServer *http.Server
	logAddr   string
	runners   []*runner
	routers   []*router
	// fencing is set if runners check fences.
	fencing bool
	// closers end what a play has started beside routers and runners.
	closers []func()

	mu sync.Mutex
}

// router is one process of the project.
type router struct {
	name, front, ready, settings string
	cmd                          *exec.Cmd
	exited                       chan struct{}
}

func newSystem(record *os.File) (*system, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, record: record, log: platformtest.NewLog(), fencing: true}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.logAddr = l.Addr().String()
	s.logServer = &http.Server{Handler: s.log}
	go func() { _ = s.logServer.Serve(l) }()
	return s, nil
}

// note writes a line to the record.
func (s *system) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, time.Now().Format("15:04:05.000")+" "+format+"\n", args...)
}

// runner starts a runner; the caller lets it register itself.
func (s *system) runner(id, service string, work time.Duration) (*runner, error) {
	r, err := startRunner(id, service, work)
	if err == nil {
		s.runners = append(s.runners, r)
	}
	return r, err
}

// freeAddresses returns addresses that nobody listens on.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // all are held until the last one is known
		out = append(out, l.Addr().String())
	}
	return out, nil
}

const (
	// startTries is how often a router is started with other addresses: between the choice of a
	// port and its use, another process may take it.
	startTries = 5
	startTime  = 400 * time.Millisecond
)

// router starts a router.
func (s *system) router(name string) (*router, error) {
	for range startTries {
		r, err := s.configureRouter(name)
		if err != nil {
			return nil, err
		}
		if err := s.start(r); err != nil {
			return nil, err
		}
		select {
		case <-r.exited:
			s.note("router %s ended at its start, its addresses were taken", name)
		case <-time.After(startTime):
			s.routers = append(s.routers, r)
			return r, nil
		}
	}
	return nil, errNotStarted
}

// configureRouter writes the settings of a router as deploy/settings.jsonc.tmpl makes them for a
// small deployment.
func (s *system) configureRouter(name string) (*router, error) {
	free, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	r := &router{name: name, front: free[0], ready: free[1]}
	text := fmt.Sprintf(`{
  "vm": {"name": %q, "region": "r1", "availability_zone": "z1"},
  "callers": {"address": %q}, "ready": {"address": %q}, "peers": {"address": %q}, "metrics": {"address": %q},
  "regions": {"z1": "r1"}, "log": {"address": %q},
  "limits": {"memory_mb": 134, "max_fds": 4100},
  "bounds": {"key_revoked_ms": 5000, "key_revoked_strict": true, "configuration_ms": 2500, "leaving_ms": 2500,
    "repeat_ratio": 0.2, "repeat_allowance": 54, "repeat_window_s": 10, "holder_turn_ms": 3000,
    "targets_check_fencing": %t, "weights_ms": 8000, "stop_s": 8},
}
`, name, free[0], free[1], free[2], free[3], s.logAddr, s.fencing)
	r.settings = filepath.Join(s.dir, name+".jsonc")
	return r, os.WriteFile(r.settings, []byte(text), 0o600)
}

// start starts the process of a router with the command of the deploy file.
func (s *system) start(r *router) error {
	out, err := os.OpenFile(filepath.Join(s.dir, r.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	r.cmd = exec.Command("target/mimosaseam", "gateway")
	r.cmd.Env = append(os.Environ(), "MIMOSASEAM_NODE_FILE="+r.settings)
	r.cmd.Stdout, r.cmd.Stderr = out, out
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.exited = exited
	go func() { _ = r.cmd.Wait(); close(exited) }()
	return nil
}

func (r *router) kill() {
	_ = r.cmd.Process.Kill()
	<-r.exited
}

func (r *router) isReady() bool {
	a, err := http.Get("http://" + r.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

func (s *system) awaitReady() error {
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, r := range s.routers {
			all = all && r.isReady()
		}
		if all {
			return nil
		}
	}
	return errNotReady
}

// close ends everything that was started. The logs of the routers are kept if KEEP is set.
func (s *system) close() {
	for _, r := range s.routers {
		if r.cmd != nil && r.cmd.Process != nil {
			r.kill()
		}
	}
	for _, r := range s.runners {
		r.close()
	}
	for _, c := range s.closers {
		c()
	}
	_ = s.logServer.Close()
	if to := os.Getenv("KEEP"); to != "" {
		_ = os.Rename(s.dir, to)
	}
	_ = os.RemoveAll(s.dir)
}

// answer is what a client got.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
}

// request is one attempt of a client.
type request struct {
	method, target, id, body string
	// more are further fields of the head.
	more string
	wait time.Duration
}

// send sends a request on a new channel to a router and reads the answer to its end.
func (s *system) send(r *router, q request) answer {
	a := s.exchange(r, q)
	why := ""
	if a.err != nil {
		why = " (" + a.err.Error() + ")"
	}
	s.note("client sent %s %s %s to %s: answer %d, stamp %q%s", q.id, q.method, q.target, r.name, a.status, a.stamp, why)
	return a
}

func (s *system) exchange(r *router, q request) answer {
	c, err := net.DialTimeout("tcp", r.front, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.wait))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Key: %s\r\n", q.method, q.target, host, q.id, q.wait.Milliseconds(), key)
	if q.body != "" || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString(q.more + "\r\n" + q.body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, stamp: response.Header.Get("X-Response-Stamp"), body: string(text), err: err}
}

// sleep waits unless the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// configureRoutes writes a manifest with routes of one kind, each with a service of its own.
func (s *system) configureRoutes(version int, kind string, routes ...string) {
	var list, services []any
	for _, name := range routes {
		list = append(list, map[string]any{"Name": name, "Host": host, "PathPrefix": "/" + name + "/", "Kind": kind, "TimeoutMs": 800,
			"TargetLatencyMs": 150, "Service": name + "-desk", "MaxAttempts": 2, "Priority": 2})
		services = append(services, map[string]any{"Name": name + "-desk", "HealthPath": "/health", "MaxConnections": 100})
	}
	s.log.PutKeyed("keyed.op", "config", encode(map[string]any{"Version": version, "Routes": list, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{key}}}}))
	s.note("operator: manifest %d with the routes %v", version, routes)
}
