package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/trace/noop"

	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/settings"
	"mimosaseam.example/mimosaseam/platform/platformtest"
)

const (
	// stateTimeout bounds the wait for a state; it does not check latency.
	stateTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

type noMetrics struct{}

func (noMetrics) Add(string, int64)             {}
func (noMetrics) Observe(string, time.Duration) {}

// testGateway is a gateway router on loopback with stand-ins for the log and the targets.
type testGateway struct {
	t       *testing.T
	log     *platformtest.Log
	engine  *platformtest.Target
	service *platformtest.Target
	node    *gatewayNode
	baseURL string
}

// newTestGateway starts a router that accepts API keys for keyMs after the configuration
// was last verified. more are further fields of its settings.
func newTestGateway(t *testing.T, keyMs int, more ...string) *testGateway {
	t.Helper()
	s := &testGateway{t: t, log: platformtest.NewLog(), engine: platformtest.NewTarget("e1", "m"), service: platformtest.NewTarget("d1", "")}
	logServer := httptest.NewServer(s.log)
	t.Cleanup(logServer.Close)
	for _, target := range []*platformtest.Target{s.engine, s.service} {
		server := httptest.NewServer(target)
		t.Cleanup(server.Close)
		target.Address = strings.TrimPrefix(server.URL, "http://")
	}
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	text := fmt.Sprintf(`{"vm": {"name": "r1", "region": "r", "availability_zone": "z"}, "callers": {"address": "127.0.0.1:1"},
		"ready": {"address": "127.0.0.1:1"}, "peers": {"address": "127.0.0.1:1"}, "regions": {"z": "r"},
		"log": {"address": %q}, "bounds": {"key_revoked_ms": %d, "key_revoked_strict": true}%s}`,
		strings.TrimPrefix(logServer.URL, "http://"), keyMs, strings.Join(append([]string{""}, more...), ", "))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	loaded, err := settings.LoadGateway(file)
	if err != nil {
		t.Fatal(err)
	}
	s.log.Configure(1, `["k1"]`)
	s.log.PutTarget(s.engine, "llm", false, 1)
	s.log.PutTarget(s.service, "desk", false, 1)
	s.log.PutMalformedEntry()
	s.start(file, loaded)
	return s
}

func (s *testGateway) start(file string, loaded settings.Gateway) {
	s.node = newGatewayNode(file, loaded, io.Discard, noop.NewTracerProvider().Tracer(""), noMetrics{})
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	for _, loop := range append([]func(context.Context) error{s.node.weights.Run, s.node.caches.Run}, s.node.followers[0].Run, s.node.followers[1].Run) {
		loops.Go(func() { _ = loop(ctx) }) // ends with the context
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.baseURL = "http://" + listener.Addr().String()
	s.node.conns.Listener = listener
	go func() { _ = s.node.callers.Serve(s.node.conns) }() // ends with Close
	s.t.Cleanup(func() {
		cancel()
		_ = s.node.callers.Close()
		loops.Wait()
	})
}

// send sends one request and returns the response and its body.
func (s *testGateway) send(path, key, body string) (*http.Response, string) {
	s.t.Helper()
	response, text, err := platformtest.Send(s.baseURL, path, key, body)
	if err != nil {
		s.t.Fatal(err)
	}
	return response, text
}

// await polls the running router until it reaches a state.
func (s *testGateway) await(what string, is func() bool) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), stateTimeout)
	defer cancel()
	for !is() {
		if ctxtime.Sleep(ctx, pollInterval) != nil {
			s.t.Fatal("not reached: " + what)
		}
	}
}

func (s *testGateway) ready() bool {
	ok, _ := s.node.gateway.Ready()
	return ok && len(s.node.dir.All()) == 2
}

// Guards against a fully wired router that violates the documented interface: wrong
// status codes, system headers passed through, revoked keys still accepted.
func TestGatewayEndToEnd(t *testing.T) {
	is := is.New(t)
	s := newTestGateway(t, 60_000)
	s.await("ready", s.ready)
	response, text := s.send("/book/1?x=y", "k1", "order")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(text, "ran POST /book/1?x=y order")
	is.Equal(platformtest.Stamp(response), "stamp-d1")
	account, leaked := platformtest.LeakedHeaders(s.service.Runs()[0])
	is.Equal(account, platformtest.Account)
	is.Equal(len(leaked), 0)
	for _, c := range []struct {
		path, key, body string
		want            int
	}{{"/none/", "k1", "", 404}, {"/book/", "k2", "", 401}, {"/book/", "k1", strings.Repeat("x", platformtest.MaxBody+1), 413}} {
		response, _ = s.send(c.path, c.key, c.body)
		is.Equal(response.StatusCode, c.want)
	}
	s.service.QueueFaults(platformtest.Refuse, platformtest.Refuse, platformtest.Refuse, platformtest.Refuse, platformtest.Refuse)
	response, _ = s.send("/book/", "k1", "")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
	s.service.QueueFaults(platformtest.LoseResponse)
	// The only target has just refused, so requests that come at once are refused without it.
	s.await("the target is tried again", func() bool {
		response, _ = s.send("/book/", "k1", "")
		return response.StatusCode != http.StatusServiceUnavailable
	})
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.Equal(len(s.service.Runs()), 2)
	s.service.QueueFaults()
	s.log.Configure(2, `["k3"]`)
	s.await("the new keys", func() bool { a, _ := s.send("/book/", "k3", ""); return a.StatusCode == http.StatusOK })
	response, _ = s.send("/book/", "k1", "")
	is.Equal(response.StatusCode, http.StatusUnauthorized)
}

// Guards against a router that accepts keys after it lost the log for too long, and
// one that rejects them after the log is back.
func TestGatewayWithoutItsLog(t *testing.T) {
	is := is.New(t)
	s := newTestGateway(t, 2500)
	s.await("ready", s.ready)
	s.log.SetFaults(platformtest.LogFaults{Unresponsive: true})
	s.await("refusals", func() bool {
		a, _ := s.send("/book/", "k1", "")
		return a.StatusCode == http.StatusServiceUnavailable
	})
	ok, _ := s.node.gateway.Ready()
	is.True(!ok)
	s.log.SetFaults(platformtest.LogFaults{})
	s.await("service", func() bool { a, _ := s.send("/book/", "k1", ""); return a.StatusCode == http.StatusOK })
}

// Guards against a desired weights version that does not reach the engines, and
// against targets that get requests after they started leaving.
func TestGatewayFollowsWeightsAndTargets(t *testing.T) {
	s := newTestGateway(t, 60_000)
	s.await("ready", s.ready)
	s.log.SetDesiredWeights(2)
	s.await("new weights", func() bool { return s.engine.Version() == 2 })
	s.log.PutTarget(s.service, "desk", true, 1)
	s.await("no target", func() bool {
		a, _ := s.send("/book/", "k1", "")
		return a.StatusCode == http.StatusServiceUnavailable
	})
	s.log.PutTarget(s.service, "desk", false, 2)
	s.await("the next incarnation", func() bool { a, _ := s.send("/book/", "k1", ""); return a.StatusCode == http.StatusOK })
}

// Guards against invalid settings that are accepted.
func TestGatewaySettingsAreChecked(t *testing.T) {
	is := is.New(t)
	_, err := settings.ParseGateway("f", []byte(`{"vm": {"name": "r1"}, "callers": {"address": "x"}, "bounds": {"repeat_ratio": 2}, "other": 1}`))
	is.True(err != nil)
	for _, path := range []string{"/vm/availability_zone", "/callers/address", "/ready/address", "/log/address", "/bounds/repeat_ratio", "/other"} {
		is.True(strings.Contains(err.Error(), path))
	}
}

// Guards against a planned stop that aborts an open request or refuses one that
// arrives before the load balancer sees the router as unready, and against a stopped
// router that still accepts connections.
func TestGatewayStopsWithoutAbortingRequests(t *testing.T) {
	is := is.New(t)
	s := newTestGateway(t, 60_000)
	s.await("ready", s.ready)
	s.service.QueueFaults(platformtest.Hold)
	open := make(chan int, 1)
	go func() {
		response, _, err := platformtest.Send(s.baseURL, "/book/", "k1", "")
		if err != nil {
			open <- 0
			return
		}
		open <- response.StatusCode
	}()
	s.await("an open request", func() bool { return s.node.gateway.OpenRequests() == 1 })
	stopped := make(chan struct{})
	go func() {
		s.node.shutDown(t.Context(), syscall.SIGTERM)
		close(stopped)
	}()
	s.await("not ready", func() bool { ok, _ := s.node.gateway.Ready(); return !ok })
	response, _ := s.send("/book/", "k1", "")
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(response.Close)
	s.service.Release()
	is.Equal(<-open, http.StatusOK)
	<-stopped
	_, _, err := platformtest.Send(s.baseURL, "/book/", "k1", "")
	is.True(err != nil)
}
