package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/harness"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/crowd"
	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// The limits of the router on the smallest VM, and the crowds.
const (
	smallMemoryMB = 88
	smallMaxFDs   = 1024
	smallMaxBody  = 4 << 20
	smallMaxHead  = 16 << 10
	smallCallers  = 400
	// manyConnections is more than the router may have descriptors.
	manyConnections = smallMaxFDs + smallMaxFDs/4
	// smallHead is the length of fields that fit into a head within the limit.
	smallHead = smallMaxHead - 1<<10
	// largeEvents are the events of a stream, which are almost as large as allowed.
	largeEvents, largeEvent = 100, 60 << 10
	// unlimitedHead is the length of a head that no limit of the configuration applies to.
	unlimitedHead = 900 << 10
)

var smallLimits = platformtest.ClientLimits{MaxHeaderBytes: smallMaxHead, MaxBodyBytes: smallMaxBody, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000}

// smallCrowd is a crowd of clients on one port of a router.
type smallCrowd struct {
	port    func(p *gatewayProcess) string
	clients int
	act     crowd.Act
}

// buildProgram builds the program without the race detector, which takes several times the
// memory.
var buildProgram = sync.OnceValues(func() (string, error) {
	program := filepath.Join(programDir, "mimosaseam")
	return program, exec.Command("go", "build", "-o", program, ".").Run()
})

func smallProgram(t *testing.T) string {
	t.Helper()
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	return program
}

func callersPort(p *gatewayProcess) string { return p.callers }
func readyPort(p *gatewayProcess) string   { return p.ready }
func metricsPort(p *gatewayProcess) string { return p.metrics }

// startOnSmallVM starts a router on the smallest VM, before targets that never answer requests
// for a path with "held" and answer those for one with "large" with much.
func startOnSmallVM(t *testing.T, stdout io.Writer) *gatewayProcess {
	t.Helper()
	large := strings.Repeat("x", crowdAnswer)
	release := make(chan struct{})
	answer := func(c *platformtest.RawConn, r *http.Request, _ int) bool {
		switch {
		case strings.Contains(r.URL.Path, "held"):
			<-release
			return false
		case strings.Contains(r.URL.Path, "large"):
			return c.Send(platformtest.Whole(r, large))
		}
		return c.Send(platformtest.Whole(r, "ran"))
	}
	services := []*platformtest.RawTarget{newRawTarget(t, "d8", "", answer), newRawTarget(t, "d9", "", answer)}
	stream := func(c *platformtest.RawConn, r *http.Request, n int) bool {
		switch {
		case strings.Contains(r.URL.Path, "held"):
			return answer(c, r, n)
		case strings.Contains(r.URL.Path, "events"):
			sent := c.Send(platformtest.Head(r, "200 OK", "Content-Type: text/event-stream", "Connection: close"))
			for i := 1; sent && i <= largeEvents; i++ {
				sent = c.Send(fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", largeEvent)))
			}
			return false
		}
		return c.Send(platformtest.Head(r, "200 OK", platformtest.WeightsField+"1", "Content-Type: text/event-stream", fmt.Sprintf("Content-Length: %d", len(firstEvent))) + firstEvent)
	}
	engines := []*platformtest.RawTarget{newRawTarget(t, "e8", "m", stream), newRawTarget(t, "e9", "m", stream)}
	t.Cleanup(func() { close(release) })
	cmd := exec.Command(smallProgram(t), "gateway")
	cmd.Stdout = stdout
	p := launchLimitedGatewayProcess(t, cmd, 9, fmt.Sprintf(`{"memory_mb": %d, "max_fds": %d}`, smallMemoryMB, smallMaxFDs),
		func(l *platformtest.Log) {
			l.ConfigureKindsWithin(1, 10_000, "k1", smallLimits)
		}, services, engines)
	p.awaitReady()
	p.awaitAnswer("before the crowd")
	return p
}

// usage is what a process takes while it is watched.
type usage struct {
	p           *gatewayProcess
	memory      *harness.MemoryWatch
	descriptors *harness.DescriptorWatch
}

func watchUsage(p *gatewayProcess) *usage {
	return &usage{p: p, descriptors: harness.WatchDescriptors(p.cmd.Process.Pid),
		memory: harness.WatchMemory(p.cmd.Process.Pid, p.callers, p.ready, p.metrics)}
}

// check ends the watch and checks that the process lives and has stayed within its machine.
func (u *usage) check() {
	u.p.t.Helper()
	is := is.New(u.p.t)
	most, descriptors := u.memory.MostMB(), u.descriptors.Most()
	peak, err := harness.PeakMemoryMB(u.p.cmd.Process.Pid)
	is.NoErr(err) // the process lives
	u.p.t.Logf("peak %d MB, %d MB with the kernel's buffers, %d descriptors", peak, most, descriptors)
	is.True(peak < smallMemoryMB)
	is.True(most < smallMemoryMB)
	is.True(descriptors < smallMaxFDs)
}

func (p *gatewayProcess) awaitReadinessAnswer(when string) {
	p.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: stateTimeout / 2}
	p.await("readiness "+when, func() bool {
		r, err := client.Get("http://" + p.ready + platformtest.ReadyPath)
		if err != nil {
			return false
		}
		defer r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
}

// clientHead returns the head of a request with a key, up to its last fields.
func clientHead(path, more string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: c\r\nX-Key: k1\r\n" + more
}

// wholeRequest returns a request with the body.
func wholeRequest(path, more, body string) string {
	return clientHead(path, more) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// promptFields returns the fields of a request for the model with a prompt of the parts.
func promptFields(model, parts string) string {
	return platformtest.ModelHeader + ": " + model + "\r\n" + platformtest.TokensHeader + ": 10,5\r\n" + platformtest.PromptHeader + ": " + parts + "\r\n"
}

func runSmallCrowds(t *testing.T, crowds map[string]smallCrowd) {
	t.Helper()
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) {
			p := startOnSmallVM(t, nil)
			u := watchUsage(p)
			clients := crowd.Open(c.port(p), c.clients, c.act)
			defer clients.Close()
			clients.Wait()
			p.awaitAnswer("beside the crowd")
			p.awaitReadinessAnswer("beside the crowd")
			clients.Close()
			p.awaitAnswer("after the crowd")
			u.check()
		})
	}
}

// manyParts is a prompt of as many parts as fit into a head.
var manyParts = strings.Repeat("a:1,", smallHead/4) + "b:1"

// Guards against requests within the limits of which a router holds more than they take on the
// connection.
func TestCrowdsWithinTheLimits(t *testing.T) {
	runSmallCrowds(t, map[string]smallCrowd{
		"heads of short lines, held":             {callersPort, smallCallers, crowd.Times(1, wholeRequest("/book/held", crowd.ShortFields(smallHead), ""))},
		"small bodies, held":                     {callersPort, smallCallers, crowd.Times(1, wholeRequest("/book/held", "", strings.Repeat("x", 20_000)))},
		"prompts of many parts, again and again": {callersPort, smallCallers / 4, crowd.Times(1000, wholeRequest("/brief/", promptFields("m", manyParts), ""))},
	})
}

// Guards against prompts of which a router holds more than their fields.
func TestCrowdsOfLongPrompts(t *testing.T) {
	const longest = "a:4194304"
	runSmallCrowds(t, map[string]smallCrowd{
		"many parts, held":             {callersPort, smallCallers, crowd.Times(1, wholeRequest("/brief/held", promptFields("m", manyParts), ""))},
		"many tokens, held":            {callersPort, smallCallers, crowd.Times(1, wholeRequest("/brief/held", promptFields("m", longest), ""))},
		"many tokens, again and again": {callersPort, smallCallers / 4, crowd.Times(1000, wholeRequest("/brief/", promptFields("m", longest), ""))},
	})
}

// counted returns an act of a number of requests, each made of a number of its own.
func counted(n int, request func(number int64) string) crowd.Act {
	var sequence atomic.Int64
	return func(c io.ReadWriter) {
		for range n {
			if _, err := io.WriteString(c, request(sequence.Add(1))); err != nil {
				return
			}
			if _, err := c.Read(make([]byte, 4<<10)); err != nil {
				return
			}
		}
	}
}

// Guards against names that clients choose and that a router keeps.
func TestCrowdsOfLongNames(t *testing.T) {
	long := strings.Repeat("x", smallHead)
	runSmallCrowds(t, map[string]smallCrowd{
		"parts": {callersPort, 50, counted(400, func(n int64) string {
			return wholeRequest("/brief/", promptFields("m", fmt.Sprint(n, long, ":5,b:5")), "")
		})},
		"models": {callersPort, 50, counted(400, func(n int64) string {
			return wholeRequest("/brief/", promptFields(fmt.Sprint("m", n, long), "a:5,b:5"), "")
		})},
	})
}

// Guards against lines of a log that nobody reads and that hold what clients have sent.
func TestLongNamesInALogThatIsNotRead(t *testing.T) {
	in, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	p := startOnSmallVM(t, out)
	_ = out.Close() // the process has its own
	u := watchUsage(p)
	id := strings.Repeat("x", smallMaxHead+3<<10) // the server's slack included
	for range 3 {                                 // more requests than lines that may wait
		crowd.Open(p.callers, 50, counted(1000, func(n int64) string {
			return fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %d%s\r\nX-Key: k1\r\nContent-Length: 0\r\n\r\n", n, id)
		})).Close()
	}
	p.awaitAnswer("after the crowd")
	u.check()
}

// Guards against connections that are held for ever by bodies of requests that the server
// answers itself.
func TestCrowdsOfServerRequests(t *testing.T) {
	runSmallCrowds(t, map[string]smallCrowd{
		"announced bodies": {callersPort, manyConnections, crowd.Text("OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 4096\r\n\r\nx")},
		"chunked bodies":   {callersPort, manyConnections, crowd.Text("OPTIONS * HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")},
	})
}

// Guards against heads that are not counted because empty lines stand before them.
func TestCrowdsBehindEmptyLines(t *testing.T) {
	runSmallCrowds(t, map[string]smallCrowd{
		"heads over the limit": {callersPort, smallCallers, crowd.Ask(wholeRequest("/book/x", "", ""), crowd.Parts("\r\n\r\n", clientHead("/book/x", crowd.ShortFields(4*smallMaxHead))))},
	})
}

// Guards against what the kernel holds for clients and no budget counts.
func TestCrowdsAndTheKernel(t *testing.T) {
	get := strings.Replace(wholeRequest("/look/large", "", ""), "POST", "GET", 1)
	runSmallCrowds(t, map[string]smallCrowd{
		"bodies short of their end":                {callersPort, smallCallers, crowd.Chunked(clientHead("/book/x", ""), smallMaxBody-1, 48<<10)},
		"bodies without a key, short of their end": {callersPort, smallCallers, crowd.Chunked(strings.Replace(clientHead("/book/x", ""), "k1", "k9", 1), smallMaxBody-1, 48<<10)},
		"bodies over the limit":                    {callersPort, smallCallers, crowd.Chunked(clientHead("/book/x", ""), 2*smallMaxBody, 48<<10)},
		"complete bodies, held":                    {callersPort, smallCallers, crowd.Times(1, wholeRequest("/book/held", "", strings.Repeat("x", 300_000)))},
		"large answers that are not read":          {callersPort, smallCallers, crowd.Text(strings.Repeat(get, 4))},
		"small answers that are not read":          {callersPort, smallCallers, crowd.Repeat(wholeRequest("/none/", "", ""))},
	})
}

// Guards against streams whose clients do not read.
func TestCrowdsThatDoNotReadStreams(t *testing.T) {
	runSmallCrowds(t, map[string]smallCrowd{
		"large events":                       {callersPort, smallCallers, crowd.Text(wholeRequest("/brief/events", promptFields("m", "a:5,b:5"), ""))},
		"large events of a resumable stream": {callersPort, smallCallers, crowd.Text(wholeRequest("/check/events", promptFields("m", "a:5,b:5"), ""))},
	})
}

// Guards against requests that are held twice, by the router and in the kernel, because their
// target does not read them.
func TestCrowdsBeforeATargetThatDoesNotRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() // its connections wait to be accepted
	p := startOnSmallVM(t, nil)
	silent := platformtest.NewTarget("d7", "")
	silent.Address = l.Addr().String()
	p.log.PutTarget(silent, "desk", false, 1)
	u := watchUsage(p)
	clients := crowd.Open(p.callers, smallCallers, crowd.Times(1, wholeRequest("/book/held", "", strings.Repeat("x", 300_000))))
	defer clients.Close()
	clients.Wait()
	p.awaitAnswer("beside the crowd")
	clients.Close()
	p.awaitAnswer("after the crowd")
	u.check()
}

// otherPortCrowds are crowds of a port for operators.
func otherPortCrowds(port func(*gatewayProcess) string, path string) map[string]smallCrowd {
	get := "GET " + path + " HTTP/1.1\r\nHost: h\r\n"
	post := strings.Replace(get, "GET", "POST", 1)
	return map[string]smallCrowd{
		"connections without a byte":       {port, manyConnections, crowd.Text("")},
		"connections after an answer":      {port, manyConnections, crowd.Times(1, get+"\r\n")},
		"heads without end":                {port, smallCallers, crowd.Text(get + crowd.ShortFields(unlimitedHead))},
		"empty lines without end":          {port, smallCallers, crowd.Repeat(strings.Repeat("\r\n", 1<<10))},
		"announced bodies short of an end": {port, manyConnections, crowd.Announced(post, 1<<30, 100)},
		"chunked bodies in small chunks":   {port, smallCallers, crowd.Chunked(post, smallMaxBody, 16)},
		"answers that are not read":        {port, manyConnections, crowd.Repeat(get + "\r\n")},
	}
}

// Guards against a router that runs out of memory or descriptors because of the clients of its
// port for readiness checks, or that looks unready to a load balancer because of them.
func TestCrowdsOfTheReadyPort(t *testing.T) {
	runSmallCrowds(t, otherPortCrowds(readyPort, platformtest.ReadyPath))
}

// Guards against a router that runs out of memory or descriptors because of the clients of its
// port for metrics.
func TestCrowdsOfTheMetricsPort(t *testing.T) {
	runSmallCrowds(t, otherPortCrowds(metricsPort, "/debug/vars"))
}

// Guards against clients without a key, or without a route, whose bodies are read nevertheless.
func TestRefusedHeadsNeedNoBody(t *testing.T) {
	is := is.New(t)
	p := startOnSmallVM(t, nil)
	for name, c := range map[string]struct {
		head   string
		status int
	}{
		"unknown key":   {strings.Replace(clientHead("/book/x", ""), "k1", "k9", 1), http.StatusUnauthorized},
		"no key":        {strings.Replace(clientHead("/book/x", ""), "X-Key: k1\r\n", "", 1), http.StatusUnauthorized},
		"unknown route": {clientHead("/none/x", ""), http.StatusNotFound},
	} {
		for _, length := range []string{"Content-Length: 100000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"} {
			call := p.dial()
			call.write(c.head + length)
			status, _, _ := call.answer()
			t.Log(name, status)
			is.Equal(status, c.status)
		}
	}
}

const (
	// fleetRouters is the number of routers beside the one that is watched.
	fleetRouters = 79
	fleetTimeout = time.Minute
)

// startFleet starts other routers before the same log.
func startFleet(t *testing.T, p *gatewayProcess) {
	t.Helper()
	for i := range fleetRouters {
		addresses := ownAddresses(3)
		file := filepath.Join(t.TempDir(), "settings.jsonc")
		text := fmt.Sprintf(`{"vm": {"name": "f%d", "region": "r", "availability_zone": "z"}, "callers": {"address": %q}, "ready": {"address": %q},
			"peers": {"address": %q}, "regions": {"z": "r"}, "log": {"address": %q}, "limits": {"memory_mb": %d, "max_fds": %d}, "log_level": "error"}`,
			i, addresses[0], addresses[1], addresses[2], p.logAddress, smallMemoryMB, smallMaxFDs)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(smallProgram(t), "gateway")
		cmd.Env = append(os.Environ(), settingsVariable+"="+file)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait() // killed
		})
	}
}

// Guards against a router whose parts stay within their own bounds while their sum exceeds the
// memory: many known prompts, a large fleet, answers that are held, and all kinds of clients at
// once, over a reload and a planned stop.
func TestAllCrowdsAtOnceInALargeFleet(t *testing.T) {
	is := is.New(t)
	p := startOnSmallVM(t, nil)
	p.log.ConfigureEnginesWithin(2, 10_000, "k1", smallLimits, 1<<20)
	startFleet(t, p)
	for end := time.Now().Add(fleetTimeout); p.log.Now()["keyed.mimosaseam."+port.StreamRouters] <= fleetRouters; pause(50) {
		if time.Now().After(end) {
			t.Fatal("the fleet has not started")
		}
	}
	var prompts atomic.Int64
	crowd.Open(p.callers, 20, func(c io.ReadWriter) {
		for range 20 {
			n := prompts.Add(1)
			if _, err := io.WriteString(c, wholeRequest("/brief/", promptFields("m", fmt.Sprintf("p%d:100000,b:10", n)), "")); err != nil {
				return
			}
			if _, err := c.Read(make([]byte, 4<<10)); err != nil {
				return
			}
		}
	}).Close()
	u := watchUsage(p)
	var all []*crowd.Crowd
	for _, crowds := range []map[string]smallCrowd{otherPortCrowds(readyPort, platformtest.ReadyPath), {
		"held prompts": {callersPort, 0, crowd.Times(1, wholeRequest("/brief/held", promptFields("m", "h:100000,b:10"), strings.Repeat("x", 20_000)))},
		"held bodies":  {callersPort, 0, crowd.Times(1, wholeRequest("/book/held", "", strings.Repeat("x", 300_000)))},
		"large chunks": {callersPort, 0, crowd.Chunked(clientHead("/book/x", ""), smallMaxBody-1, 48<<10)},
		"small chunks": {callersPort, 0, crowd.Chunked(clientHead("/look/x", ""), smallMaxBody-1, 16)},
		"over length":  {callersPort, 0, crowd.Announced(clientHead("/check/x", ""), 1<<30, smallMaxBody)},
		"heads":        {callersPort, 0, crowd.Text(clientHead("/book/x", crowd.ShortFields(unlimitedHead)))},
		"empty lines":  {callersPort, 0, crowd.Repeat(strings.Repeat("\r\n", 1<<10))},
		"unread":       {callersPort, 0, crowd.Text(strings.Repeat(wholeRequest("/look/large", "", ""), 4))},
	}} {
		for _, c := range crowds {
			clients := crowd.Open(c.port(p), smallCallers/4, c.act)
			defer clients.Close()
			all = append(all, clients)
		}
	}
	is.NoErr(p.cmd.Process.Signal(syscall.SIGHUP))
	p.awaitAnswer("beside the crowds")
	for _, clients := range all {
		clients.Wait()
	}
	p.awaitAnswer("beside the crowds that have sent all")
	for _, clients := range all[:len(all)/2] {
		clients.Close()
	}
	u.check()
	is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		is.NoErr(err) // it stopped as planned
	case <-time.After(stateTimeout):
		t.Error("the planned stop hangs")
	}
}
