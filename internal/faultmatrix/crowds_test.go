package faultmatrix

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/harness"
	"mimosaseam.example/mimosaseam/internal/standin/crowd"
	"mimosaseam.example/mimosaseam/internal/standin/rawhttp"
)

// The limits of the router under a crowd of callers, and the crowd.
const (
	crowdMemoryMB       = 112
	crowdMaxConnections = 400
	// crowdMaxFDs leaves the connections to stand-ins as many descriptors as those of callers.
	crowdMaxFDs  = 2 * crowdMaxConnections
	crowdMaxBody = 1 << 20
	crowdMaxHead = 64 << 10
	crowdCallers = 200
	// crowdAnswer is the size of the answers that nobody reads.
	crowdAnswer = 4 << 20
)

// Guards against a router that runs out of memory or descriptors, or that serves nobody else,
// because of callers that send requests without end or larger than allowed, or do not read.
func TestCrowdsOfCallersStayWithinTheMemory(t *testing.T) {
	key := "Authorization: Bearer " + harness.APIKey(harness.AccountTwo) + "\r\n"
	head := "POST /v1/completions HTTP/1.1\r\nHost: h\r\n" + key
	call := "POST /svc/lookup/crowd HTTP/1.1\r\nHost: h\r\n" + key
	get := "GET /svc/lookup/large HTTP/1.1\r\nHost: h\r\n" + key + "\r\n"
	for name, c := range map[string]struct {
		callers int
		act     crowd.Act
	}{
		"bodies in large chunks, short of their end": {crowdCallers, crowd.Chunked(head, crowdMaxBody-1, 48<<10)},
		"bodies in small chunks, short of their end": {crowdCallers, crowd.Chunked(call, crowdMaxBody-1, 16)},
		"announced bodies, short of their end":       {crowdCallers, crowd.Announced(head, crowdMaxBody, crowdMaxBody-1)},
		"announced bodies over the limit":            {crowdCallers, crowd.Announced(call, 1<<30, crowdMaxBody-1)},
		"chunked bodies over the limit":              {350, crowd.Chunked(call, 8*crowdMaxBody, 48<<10)},
		"heads over the limit":                       {crowdCallers, crowd.Text(head + crowd.ShortFields(3*crowdMaxHead) + "Content-Length: 9\r\n\r\n")},
		"heads without end":                          {350, crowd.Text(head + crowd.ShortFields(crowdMaxHead-1<<10))},
		"empty lines without end":                    {crowdCallers, crowd.Repeat(strings.Repeat("\r\n", 1<<10))},
		"answers that are not read":                  {300, crowd.Text(strings.Repeat(get, 4))},
		"connections":                                {2 * crowdMaxFDs, crowd.Text("POST /")},
		"connections without a byte":                 {2 * crowdMaxFDs, crowd.Text("")},
	} {
		t.Run(name, func(t *testing.T) { underCrowd(t, c.callers, c.act) })
	}
}

func underCrowd(t *testing.T, clients int, act crowd.Act) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sys, err := harness.Start(ctx, harness.Options{BinDir: binaries, Dir: t.TempDir(), Routers: 1, Engines: 1,
		Callers:   map[string]any{"body_bytes": crowdMaxBody, "header_bytes": crowdMaxHead, "connections": crowdMaxConnections},
		Resources: map[string]any{"memory_mb": crowdMemoryMB}})
	t.Cleanup(sys.Close)
	is.NoErr(err)
	large := strings.Repeat("x", crowdAnswer)
	app, err := rawhttp.New(func(c *rawhttp.Conn, r *http.Request) bool {
		body := "ran"
		if strings.HasPrefix(r.URL.Path, "/large") {
			body = large
		}
		return c.Send("HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n") && c.Send(body)
	})
	is.NoErr(err)
	defer app.Close()
	_, err = sys.PutConfig(ctx, map[string]any{"/demo/pools/app": map[string]any{"kind": "service", "targets": []any{
		map[string]any{"name": "app-1", "address": app.Address(), "region": "north", "availability_zone": "north-a"}}}},
		"--wait", "--router", sys.Routers[0].AdminURL)
	is.NoErr(err)
	r := sys.Routers[0]
	// Each ordinary call has a connection of its own: kept ones say nothing of new clients.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout / 2}
	ordinary := func() bool {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.CallerAddress()+"/svc/lookup/x", strings.NewReader(strings.Repeat("x", 500)))
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer "+harness.APIKey(harness.AccountOne))
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	awaitAnswer := func(when string) {
		t.Helper()
		if harness.Poll(ctx, waitTimeout, ordinary) != nil {
			t.Fatalf("no answer %s: %s", when, r.Tail())
		}
	}
	awaitAnswer("before the crowd")
	descriptors := harness.WatchDescriptors(r.PID())
	callers := crowd.Open(r.CallerAddress(), clients, act)
	defer callers.Close()
	callers.Wait()
	awaitAnswer("beside the crowd")
	callers.Close()
	awaitAnswer("after the crowd")
	peak, err := harness.PeakMemoryMB(r.PID())
	is.NoErr(err) // the process lives
	most := descriptors.Most()
	t.Logf("peak %d MB, %d descriptors", peak, most)
	is.True(peak < crowdMemoryMB)
	is.True(most < crowdMaxFDs)
	is.Equal(sys.UnexpectedExits(), nil)
}
