package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// runAsGateway makes the test binary run the command gateway.
const runAsGateway = "MIMOSASEAM_TEST_GATEWAY"

func TestMain(m *testing.M) {
	if os.Getenv(runAsGateway) != "" {
		os.Args = []string{"mimosaseam", "gateway"}
		main()
		return
	}
	os.Exit(runTests(m))
}

// programDir is the folder of the program that buildProgram builds.
var programDir string

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mimosaseam-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programDir = dir
	return m.Run()
}

// gatewayProcess is a router of the command gateway as a process.
type gatewayProcess struct {
	t       *testing.T
	log     *platformtest.Log
	cmd     *exec.Cmd
	callers string
	ready   string
	metrics string
	output  *os.File
	// settings is the settings file, logAddress the address of the log.
	settings, logAddress string
}

// startGatewayProcess starts a router whose shutdown may take stopS seconds, with the
// configuration of ConfigureKinds and the targets, and waits until it is ready.
func startGatewayProcess(t *testing.T, stopS, timeoutMs int, services, engines []*platformtest.RawTarget) *gatewayProcess {
	t.Helper()
	p := launchGatewayProcess(t, exec.Command(os.Args[0]), stopS, timeoutMs, services, engines)
	p.awaitReady()
	return p
}

func (p *gatewayProcess) awaitReady() {
	p.t.Helper()
	p.await("ready", func() bool {
		r, err := http.Get("http://" + p.ready + platformtest.ReadyPath)
		if err != nil {
			return false
		}
		defer r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
}

// launchGatewayProcess is startGatewayProcess of any program without the wait.
func launchGatewayProcess(t *testing.T, program *exec.Cmd, stopS, timeoutMs int, services, engines []*platformtest.RawTarget) *gatewayProcess {
	t.Helper()
	return launchLimitedGatewayProcess(t, program, stopS, `{"memory_mb": 134}`, func(l *platformtest.Log) { l.ConfigureKinds(1, timeoutMs, "k1") }, services, engines)
}

// launchLimitedGatewayProcess starts a router with the "limits" of its settings and the
// configuration that configure writes.
func launchLimitedGatewayProcess(t *testing.T, program *exec.Cmd, stopS int, limits string, configure func(*platformtest.Log), services, engines []*platformtest.RawTarget) *gatewayProcess {
	t.Helper()
	addresses := ownAddresses(4)
	p := &gatewayProcess{t: t, log: platformtest.NewLog(), callers: addresses[0], ready: addresses[1], metrics: addresses[3]}
	logServer := httptest.NewServer(p.log)
	t.Cleanup(logServer.Close)
	p.logAddress = strings.TrimPrefix(logServer.URL, "http://")
	configure(p.log)
	for _, target := range services {
		p.log.PutTarget(target.Target, "desk", false, 1)
	}
	for _, target := range engines {
		p.log.PutTarget(target.Target, "llm", false, 1)
	}
	putSilentRouter(t, p.log)
	p.settings = filepath.Join(t.TempDir(), "settings.jsonc")
	text := fmt.Sprintf(`{"vm": {"name": "r1", "region": "r", "availability_zone": "z"}, "callers": {"address": %q},
		"ready": {"address": %q}, "peers": {"address": %q}, "metrics": {"address": %q}, "regions": {"z": "r"}, "log": {"address": %q}, "limits": %s,
		"bounds": {"stop_s": %d}}`, p.callers, p.ready, addresses[2], p.metrics, p.logAddress, limits, stopS)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	output, err := os.Create(filepath.Join(t.TempDir(), "output"))
	if err != nil {
		t.Fatal(err)
	}
	p.output = output
	p.cmd = program
	p.cmd.Env = append(os.Environ(), runAsGateway+"=1", settingsVariable+"="+p.settings)
	if p.cmd.Stdout == nil {
		p.cmd.Stdout, p.cmd.Stderr = output, output
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		_ = output.Close()
	})
	return p
}

// putSilentRouter lists another router that is down: connections to it hang.
func putSilentRouter(t *testing.T, log *platformtest.Log) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	log.PutKeyed("keyed.mimosaseam.routers", "r0", fmt.Appendf(nil,
		`{"name": "r0", "role": %q, "address": %q, "region": "r", "availability_zone": "z", "state": %q}`, port.RoleRouter, l.Addr(), port.VMLive))
}

var hosts atomic.Int64

// ownHost returns a loopback address that no other router has. Ports that are free on a shared one
// are taken by connections of others before a process listens on them.
func ownHost() string {
	n := hosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 100+(os.Getpid()/250+int(n)/250)%100, 1+os.Getpid()%250, 1+n%250)
}

// ownAddresses returns addresses of a host of their own.
func ownAddresses(n int) []string {
	host := ownHost()
	var out []string
	for i := range n {
		out = append(out, net.JoinHostPort(host, strconv.Itoa(7000+i)))
	}
	return out
}

func (p *gatewayProcess) await(what string, is func() bool) {
	p.t.Helper()
	for end := time.Now().Add(stateTimeout); !is(); pause(5) {
		if time.Now().After(end) {
			text, _ := os.ReadFile(p.output.Name()) // for the message only
			p.t.Fatalf("not reached: %s\n%s", what, text)
		}
	}
}

// rawCall is a request that is written in parts on a connection of its own.
type rawCall struct {
	net.Conn
	in *bufio.Reader
}

func (p *gatewayProcess) dial() *rawCall {
	p.t.Helper()
	c, err := net.Dial("tcp", p.callers)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() }) // it may be closed
	return &rawCall{Conn: c, in: bufio.NewReader(c)}
}

func (c *rawCall) write(text string) { _, _ = io.WriteString(c.Conn, text) } // answer reports what follows

// answer reads one answer; the status is 0 if there is none.
func (c *rawCall) answer() (status int, body string, complete bool) {
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", false
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, string(text), err == nil
}

func requestHead(id, path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Key: k1\r\n%s: m\r\n%s: p:10\r\n%s: 10,5\r\nContent-Length: %d\r\n\r\n",
		path, id, platformtest.ModelHeader, platformtest.PromptHeader, platformtest.TokensHeader, length)
}

// Guards against a planned stop that cuts off a request, in whatever state SIGTERM finds
// it and while another router is down, against one that takes requests for which it may have no time, and against one that
// does not end by itself.
func TestStopUnderLoad(t *testing.T) {
	const (
		stopS = 9
		// late is after the time in which the load balancer still sends new connections.
		late = leaveDelay + 700*time.Millisecond
	)
	is := is.New(t)
	slow := func(c *platformtest.RawConn, r *http.Request, _ int) bool {
		switch {
		case strings.HasPrefix(r.URL.Path, "/book/wait"):
			time.Sleep(late)
		case strings.HasPrefix(r.URL.Path, "/book/never"):
			c.WaitClosed()
			return false
		case strings.HasPrefix(r.URL.Path, "/brief/"):
			c.Send(platformtest.Head(r, "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
			for id := 1; id <= 4; id++ {
				time.Sleep(late / 4)
				event := fmt.Sprintf("id: %d\ndata: x\n\n", id)
				c.Send(fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
			}
			return c.Send("0\r\n\r\n")
		}
		return c.Send(platformtest.Whole(r, "ran"))
	}
	service, engine := newRawTarget(t, "d9", "", slow), newRawTarget(t, "e9", "m", slow)
	p := startGatewayProcess(t, stopS, 60_000, []*platformtest.RawTarget{service}, []*platformtest.RawTarget{engine})
	half := func(text string) (string, string) { return text[:len(text)/2], text[len(text)/2:] }

	type request struct {
		name   string
		before func(c *rawCall)
		after  func(c *rawCall)
		at     time.Duration // after SIGTERM
		status int
	}
	kept := func(c *rawCall) {
		c.write(requestHead("k", "/book/", 0))
		c.answer()
	}
	begin, rest := half(requestHead("h", "/book/", 0))
	requests := []request{
		{"head half read", func(c *rawCall) { c.write(begin) }, func(c *rawCall) { c.write(rest) }, late, 200},
		{"head half read on a kept connection", func(c *rawCall) { kept(c); c.write(begin) }, func(c *rawCall) { c.write(rest) }, late, 200},
		{"body half read", func(c *rawCall) { c.write(requestHead("b", "/book/", 8) + "half") }, func(c *rawCall) { c.write("rest") }, late, 200},
		{"body half read on a kept connection", func(c *rawCall) { kept(c); c.write(requestHead("b", "/book/", 8) + "half") }, func(c *rawCall) { c.write("rest") }, late, 200},
		{"waiting for a head", func(c *rawCall) { c.write(requestHead("w", "/book/wait", 0)) }, nil, 0, 200},
		{"streaming", func(c *rawCall) { c.write(requestHead("s", "/brief/", 0)) }, nil, 0, 200},
		{"arrives on a kept connection", kept, func(c *rawCall) { c.write(requestHead("a", "/book/", 0)) }, leaveDelay / 2, 200},
		{"no answer until the end", func(c *rawCall) { c.write(requestHead("n", "/book/never", 0)) }, nil, 0, 504},
	}
	conns := make([]*rawCall, len(requests))
	for i, r := range requests {
		conns[i] = p.dial()
		r.before(conns[i])
	}
	p.await("the requests at the targets", func() bool { return service.Requests() == 5 && engine.Requests() == 1 })
	is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
	stop := time.Now()
	var done sync.WaitGroup
	for i, r := range requests {
		done.Go(func() {
			if r.after != nil {
				time.Sleep(time.Until(stop.Add(r.at)))
				r.after(conns[i])
			}
			status, body, complete := conns[i].answer()
			if status != r.status || !complete {
				t.Errorf("%s: status %d, complete %v, body %q", r.name, status, complete, body)
			}
			// A request that follows on the connection is not taken and then cut off.
			conns[i].write(requestHead("next", "/book/wait", 0))
			if status, body, _ := conns[i].answer(); status != 0 && status != http.StatusServiceUnavailable {
				t.Errorf("%s, then another: status %d, body %q", r.name, status, body)
			}
		})
	}
	// A connection that arrives while the load balancer may still send some.
	last := p.dial()
	time.Sleep(leaveDelay / 2)
	last.write(requestHead("l", "/book/", 0))
	status, _, complete := last.answer()
	is.Equal(status, http.StatusOK)
	is.True(complete)
	// One that arrives then, with a request for which there may be no time.
	time.Sleep(time.Until(stop.Add(leaveDelay - 100*time.Millisecond)))
	last = p.dial()
	time.Sleep(time.Until(stop.Add(late - 100*time.Millisecond)))
	last.write(requestHead("x", "/book/never", 0))
	status, _, _ = last.answer()
	is.Equal(status, http.StatusServiceUnavailable)
	done.Wait()
	is.NoErr(p.cmd.Wait()) // exit code 0: nothing failed on the way
	text, err := os.ReadFile(p.output.Name())
	is.NoErr(err)
	is.True(strings.Contains(string(text), `"msg":"stopped"`))
	is.True(!strings.Contains(string(text), "panic"))
}

// Guards against a planned stop that begins streams which it then cuts off.
func TestStopRefusesStreamsThatItWouldCut(t *testing.T) {
	const (
		stopS = 5
		// usual is how long the streams of the route run, samples the number of them that
		// the router has seen.
		usualMs, samples = 2500, 24
		// late leaves less than that until the final answers.
		late = failedChecks - 200*time.Millisecond
	)
	is := is.New(t)
	engine := newRawTarget(t, "e9", "m", func(c *platformtest.RawConn, r *http.Request, _ int) bool {
		c.Send(platformtest.Head(r, "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked") + "f\r\nid: 1\ndata: x\n\n\r\n")
		if strings.HasPrefix(r.URL.Path, "/brief/long") {
			c.WaitClosed()
			return false
		}
		pause(usualMs)
		return c.Send("0\r\n\r\n")
	})
	p := startGatewayProcess(t, stopS, 60_000, nil, []*platformtest.RawTarget{engine})
	var calls sync.WaitGroup
	for i := range samples {
		calls.Go(func() {
			c := p.dial()
			c.write(requestHead(fmt.Sprint("u", i), "/brief/", 0))
			if status, _, complete := c.answer(); status != http.StatusOK || !complete {
				t.Errorf("before the stop: status %d, complete %v", status, complete)
			}
		})
	}
	calls.Wait()
	is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
	stop := time.Now()
	for name, r := range map[string]struct {
		at     time.Duration
		path   string
		status int
	}{"enough time": {late / 4, "/brief/", 200}, "too little time": {late, "/brief/long", 503}} {
		calls.Go(func() {
			pause(int(time.Until(stop.Add(r.at)).Milliseconds()))
			c := p.dial()
			c.write(requestHead(name[:1], r.path, 0))
			if status, body, complete := c.answer(); status != r.status || !complete {
				t.Errorf("%s: status %d, complete %v, body %q", name, status, complete, body)
			}
		})
	}
	calls.Wait()
	is.NoErr(p.cmd.Wait())
}

// Guards against a router that SIGTERM kills while it starts, with the connections that it
// has already taken.
func TestStopWhileStarting(t *testing.T) {
	const tries = 8
	var stops sync.WaitGroup
	for range tries {
		p := launchGatewayProcess(t, exec.Command(os.Args[0]), 2, 1000, nil, nil)
		p.await("listening", func() bool {
			c, err := net.Dial("tcp", p.callers)
			if err != nil {
				return false
			}
			t.Cleanup(func() { _ = c.Close() }) // it may be closed
			return true
		})
		is.New(t).NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
		stops.Go(func() {
			if err := p.cmd.Wait(); err != nil {
				t.Errorf("the router ended with %v", err)
			}
		})
	}
	stops.Wait()
}
