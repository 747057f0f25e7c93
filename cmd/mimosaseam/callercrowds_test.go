package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/harness"
	"mimosaseam.example/mimosaseam/internal/standin/crowd"
	"mimosaseam.example/mimosaseam/platform/platformtest"
)

// The limits of the router under a crowd of callers, and the crowd.
const (
	crowdMemoryMB = 112
	crowdMaxFDs   = 512
	crowdMaxBody  = 1 << 20
	crowdMaxHead  = 16 << 10
	crowdCallers  = 200
	// crowdHead is several times the limit of a head.
	crowdHead = 200 << 10
	// crowdAnswer is the size of the answers that nobody reads.
	crowdAnswer = 4 << 20
)

// gatewayCrowds are the crowds of callers.
func gatewayCrowds() map[string]struct {
	callers int
	act     crowd.Act
} {
	head := "POST /book/crowd HTTP/1.1\r\nHost: h\r\nX-Request-Id: c\r\nX-Key: k1\r\n"
	get := strings.Replace(requestHead("c", "/look/large", 0), "POST", "GET", 1)
	return map[string]struct {
		callers int
		act     crowd.Act
	}{
		"bodies in large chunks, short of their end": {crowdCallers, crowd.Chunked(head, crowdMaxBody-1, 48<<10)},
		"bodies in small chunks, short of their end": {crowdCallers, crowd.Chunked(head, crowdMaxBody-1, 16)},
		"announced bodies, short of their end":       {crowdCallers, crowd.Announced(head, crowdMaxBody, crowdMaxBody-1)},
		"announced bodies over the limit":            {crowdCallers, crowd.Announced(head, 1<<30, crowdMaxBody-1)},
		"chunked bodies over the limit":              {crowdCallers * 3 / 2, crowd.Chunked(head, 8*crowdMaxBody, 48<<10)},
		"heads over the limit":                       {crowdCallers, crowd.Text(head + crowd.ShortFields(crowdHead) + "Content-Length: 9\r\n\r\n")},
		"heads without end":                          {crowdCallers, crowd.Text(head + crowd.ShortFields(crowdHead))},
		"lines without end":                          {crowdCallers, crowd.Text("POST /" + strings.Repeat("x", 900<<10))},
		"empty lines without end":                    {crowdCallers, crowd.Repeat(strings.Repeat("\r\n", 1<<10))},
		"answers that are not read":                  {crowdCallers, crowd.Text(strings.Repeat(get, 4))},
		"connections":                                {2 * crowdMaxFDs, crowd.Text("POST /")},
		"connections without a byte":                 {2 * crowdMaxFDs, crowd.Text("")},
	}
}

// Guards against a router that runs out of memory or descriptors, or that serves nobody else,
// because of callers that send requests without end or larger than allowed, or do not read.
func TestCrowdsOfCallersStayWithinTheMemory(t *testing.T) {
	// The race detector of the test binary would take several times the memory.
	program := filepath.Join(t.TempDir(), "mimosaseam")
	if text, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	large := strings.Repeat("x", crowdAnswer)
	answer := func(c *platformtest.RawConn, r *http.Request, _ int) bool {
		if strings.HasPrefix(r.URL.Path, "/look/large") {
			return c.Send(platformtest.Whole(r, large))
		}
		return c.Send(platformtest.Whole(r, "ran"))
	}
	for name, c := range gatewayCrowds() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			services := []*platformtest.RawTarget{newRawTarget(t, "d8", "", answer), newRawTarget(t, "d9", "", answer)}
			p := launchLimitedGatewayProcess(t, exec.Command(program, "gateway"), 9,
				fmt.Sprintf(`{"memory_mb": %d, "max_fds": %d}`, crowdMemoryMB, crowdMaxFDs),
				func(l *platformtest.Log) {
					l.ConfigureKindsWithin(1, 10_000, "k1", platformtest.ClientLimits{MaxHeaderBytes: crowdMaxHead, MaxBodyBytes: crowdMaxBody, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000})
				}, services, nil)
			p.awaitReady()
			p.awaitAnswer("before the crowd")
			descriptors := harness.WatchDescriptors(p.cmd.Process.Pid)
			callers := crowd.Open(p.callers, c.callers, c.act)
			defer callers.Close()
			callers.Wait()
			p.awaitAnswer("beside the crowd")
			callers.Close()
			p.awaitAnswer("after the crowd")
			peak, err := harness.PeakMemoryMB(p.cmd.Process.Pid)
			is.NoErr(err) // the process lives
			most := descriptors.Most()
			t.Logf("%s: peak %d MB, %d descriptors", name, peak, most)
			is.True(peak < crowdMemoryMB)
			is.True(most < crowdMaxFDs)
		})
	}
}

// awaitAnswer sends an ordinary request on a connection of its own until one is answered.
func (p *gatewayProcess) awaitAnswer(when string) {
	p.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: stateTimeout / 2}
	p.await("an answer "+when, func() bool {
		r, err := http.NewRequest(http.MethodPost, "http://"+p.callers+"/book/ordinary", strings.NewReader(strings.Repeat("x", 500)))
		if err != nil {
			p.t.Fatal(err)
		}
		r.Host = platformtest.Host
		r.Header.Set("X-Request-Id", fmt.Sprint("o", time.Now().UnixNano()))
		r.Header.Set("X-Key", "k1")
		response, err := client.Do(r)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}
