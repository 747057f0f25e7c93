package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// peakMemoryMB returns the largest resident size of the process so far.
func (p *gatewayProcess) peakMemoryMB() int {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		p.t.Fatal(err)
	}
	return kb >> 10
}

// Guards against a router that runs out of memory, and ends the requests of other callers with
// it, because targets answer many requests at once with bytes without end.
func TestEndlessAnswersStayWithinTheMemory(t *testing.T) {
	const (
		memoryMB  = 134
		callers   = 400
		timeoutMs = 2000
	)
	filler := strings.Repeat("x", 16<<10)
	// The race detector of the test binary would take several times the memory.
	program := filepath.Join(t.TempDir(), "mimosaseam")
	if text, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	for name, answer := range map[string]func(c *platformtest.RawConn, r *http.Request){
		"body": func(c *platformtest.RawConn, r *http.Request) {
			c.Send(platformtest.Head(r, "200 OK", "Connection: close"))
			c.Repeat(filler)
		},
		"body that stops short of the buffer": func(c *platformtest.RawConn, r *http.Request) {
			c.Send(platformtest.Head(r, "200 OK", "Connection: close") + strings.Repeat("x", 250<<10))
			c.Trickle("x")
		},
		"failure": func(c *platformtest.RawConn, r *http.Request) {
			c.Send(platformtest.Head(r, "500 Failed", "Connection: close"))
			c.Repeat(filler)
		},
		"chunks": func(c *platformtest.RawConn, r *http.Request) {
			c.Send(platformtest.Head(r, "200 OK", "Transfer-Encoding: chunked"))
			c.Repeat("4000\r\n" + filler + "\r\n")
		},
		"header line": func(c *platformtest.RawConn, _ *http.Request) { c.Send("HTTP/1.1 200 OK\r\nX: "); c.Repeat(filler) },
		"header lines": func(c *platformtest.RawConn, _ *http.Request) {
			c.Send("HTTP/1.1 200 OK\r\n")
			var lines strings.Builder
			for i := range 12000 {
				fmt.Fprintf(&lines, "%x:\r\n", i)
			}
			c.Send(lines.String()[:63<<10])
			c.Trickle("\r")
		},
		"event": func(c *platformtest.RawConn, r *http.Request) {
			c.Send(platformtest.Head(r, "200 OK", "Content-Type: text/event-stream", "Connection: close") + "id: 1\ndata: ")
			c.Repeat(filler)
		},
		"event that stops short of the buffer": func(c *platformtest.RawConn, r *http.Request) {
			c.Send(platformtest.Head(r, "200 OK", "Content-Type: text/event-stream", "Connection: close") + "id: 1\ndata: " + strings.Repeat("x", 60<<10))
			c.Trickle("x")
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			endless := func(c *platformtest.RawConn, r *http.Request, _ int) bool {
				if strings.HasPrefix(r.URL.Path, "/look/sound") {
					return c.Send(platformtest.Whole(r, "ran"))
				}
				answer(c, r)
				return false
			}
			var services, engines []*platformtest.RawTarget
			for i := range 4 {
				services = append(services, newRawTarget(t, fmt.Sprint("d", i), "", endless))
				engines = append(engines, newRawTarget(t, fmt.Sprint("e", i), "m", endless))
			}
			p := launchGatewayProcess(t, exec.Command(program, "gateway"), 9, timeoutMs, services, engines)
			p.awaitReady()
			path := "/book/"
			if strings.HasPrefix(name, "event") {
				path = "/brief/"
			}
			var open sync.WaitGroup
			for i := range callers {
				open.Go(func() {
					c := p.dial()
					c.write(strings.Replace(requestHead(fmt.Sprint("r", i), path, 0), "\r\n", "\r\nConnection: close\r\n", 1))
					_ = c.SetReadDeadline(time.Now().Add(2 * timeoutMs * time.Millisecond))
					_, _ = io.Copy(io.Discard, c) // a faulty target's answer is judged elsewhere
				})
			}
			open.Wait()
			is.True(p.cmd.ProcessState == nil)
			t.Logf("%s: peak %d MB", name, p.peakMemoryMB())
			is.True(p.peakMemoryMB() < memoryMB)
			c := p.dial()
			c.write(requestHead("sound", "/look/sound", 0))
			_ = c.SetReadDeadline(time.Now().Add(stateTimeout))
			status, _, _ := c.answer()
			is.True(status == http.StatusOK || status == http.StatusServiceUnavailable)
		})
	}
}
