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

// waitFor bounds the wait for a state; it is no measure of speed.
const (
	waitFor  = 20 * time.Second
	askEvery = 20 * time.Millisecond
)

type noMetrics struct{}

func (noMetrics) Add(string, int64)             {}
func (noMetrics) Observe(string, time.Duration) {}

// site is a router on loopback with the stand-ins of the log and of its targets.
type site struct {
	t       *testing.T
	log     *platformtest.Log
	engine  *platformtest.Target
	service *platformtest.Target
	node    *entryNode
	front   string
}

// newSite starts a router whose keys are served for keyMs after the last
// verification.
func newSite(t *testing.T, keyMs int) *site {
	t.Helper()
	s := &site{t: t, log: platformtest.NewLog(), engine: platformtest.NewTarget("e1", "m"), service: platformtest.NewTarget("d1", "")}
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
		"log": {"address": %q}, "bounds": {"key_revoked_ms": %d, "key_revoked_strict": true}}`,
		strings.TrimPrefix(logServer.URL, "http://"), keyMs)
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

func (s *site) start(file string, loaded settings.Gateway) {
	s.node = newEntryNode(file, loaded, io.Discard, noop.NewTracerProvider().Tracer(""), noMetrics{})
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	for _, loop := range append([]func(context.Context) error{s.node.weights.Run, s.node.caches.Run}, s.node.streams[0].Run, s.node.streams[1].Run) {
		loops.Go(func() { _ = loop(ctx) }) // ends with the context
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.front = "http://" + listener.Addr().String()
	go func() { _ = s.node.callers.Serve(listener) }() // ends with Close
	s.t.Cleanup(func() {
		cancel()
		_ = s.node.callers.Close()
		loops.Wait()
	})
}

// send sends one request and returns the answer and its body.
func (s *site) send(path, key, body string) (*http.Response, string) {
	s.t.Helper()
	response, text, err := platformtest.Send(s.front, path, key, body)
	if err != nil {
		s.t.Fatal(err)
	}
	return response, text
}

// await asks for a state of the running router until it is reached.
func (s *site) await(what string, is func() bool) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitFor)
	defer cancel()
	for !is() {
		if ctxtime.Sleep(ctx, askEvery) != nil {
			s.t.Fatal("not reached: " + what)
		}
	}
}

func (s *site) ready() bool {
	ok, _ := s.node.gateway.Ready()
	return ok && len(s.node.dir.All()) == 2
}

// Guards against a wired router that serves other than the pages say: status codes,
// headers that are the system's to set, keys that are taken away.
func TestGatewayEndToEnd(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 60_000)
	s.await("ready", s.ready)
	answer, text := s.send("/book/1?x=y", "k1", "order")
	is.Equal(answer.StatusCode, http.StatusOK)
	is.Equal(text, "ran POST /book/1?x=y order")
	is.Equal(platformtest.Stamp(answer), "stamp-d1")
	account, leaked := platformtest.LeakedHeaders(s.service.Runs()[0])
	is.Equal(account, platformtest.Account)
	is.Equal(len(leaked), 0)
	for _, c := range []struct {
		path, key, body string
		want            int
	}{{"/none/", "k1", "", 404}, {"/book/", "k2", "", 401}, {"/book/", "k1", strings.Repeat("x", platformtest.MaxBody+1), 413}} {
		answer, _ = s.send(c.path, c.key, c.body)
		is.Equal(answer.StatusCode, c.want)
	}
	s.service.QueueFaults(platformtest.Refuse, platformtest.Refuse, platformtest.Refuse, platformtest.Refuse, platformtest.Refuse)
	answer, _ = s.send("/book/", "k1", "")
	is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	is.True(answer.Header.Get("Retry-After") != "")
	s.service.QueueFaults(platformtest.LoseResponse)
	answer, _ = s.send("/book/", "k1", "")
	is.Equal(answer.StatusCode, http.StatusBadGateway)
	is.Equal(len(s.service.Runs()), 2)
	s.service.QueueFaults()
	s.log.Configure(2, `["k3"]`)
	s.await("the new keys", func() bool { a, _ := s.send("/book/", "k3", ""); return a.StatusCode == http.StatusOK })
	answer, _ = s.send("/book/", "k1", "")
	is.Equal(answer.StatusCode, http.StatusUnauthorized)
}

// Guards against a key that is served by a router that has lost the log, and one
// that is refused after the log is back.
func TestGatewayWithoutItsLog(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2500)
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

// Guards against named weights that do not reach the engines, and against targets
// that get requests after they began to leave.
func TestGatewayFollowsWeightsAndTargets(t *testing.T) {
	s := newSite(t, 60_000)
	s.await("ready", s.ready)
	s.log.SetDesiredWeights(2)
	s.await("new weights", func() bool { return s.engine.Version() == 2 })
	s.log.PutTarget(s.service, "desk", true, 1)
	s.await("no target", func() bool {
		a, _ := s.send("/book/", "k1", "")
		return a.StatusCode == http.StatusServiceUnavailable
	})
	s.log.PutTarget(s.service, "desk", false, 2)
	s.await("the next life", func() bool { a, _ := s.send("/book/", "k1", ""); return a.StatusCode == http.StatusOK })
}

// Guards against settings that are accepted although they cannot work.
func TestGatewaySettingsAreChecked(t *testing.T) {
	is := is.New(t)
	_, err := settings.ParseGateway("f", []byte(`{"vm": {"name": "r1"}, "callers": {"address": "x"}, "bounds": {"repeat_ratio": 2}, "other": 1}`))
	is.True(err != nil)
	for _, path := range []string{"/vm/availability_zone", "/callers/address", "/ready/address", "/log/address", "/bounds/repeat_ratio", "/other"} {
		is.True(strings.Contains(err.Error(), path))
	}
}

// Guards against a planned stop that cuts an open request or refuses one that came
// before the entry knew, and a stopped router that still takes connections.
func TestGatewayStopsWithoutCuttingRequests(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 60_000)
	s.await("ready", s.ready)
	s.service.QueueFaults(platformtest.Hold)
	open := make(chan int, 1)
	go func() {
		answer, _, err := platformtest.Send(s.front, "/book/", "k1", "")
		if err != nil {
			open <- 0
			return
		}
		open <- answer.StatusCode
	}()
	s.await("an open request", func() bool { return s.node.gateway.OpenRequests() == 1 })
	stopped := make(chan struct{})
	go func() {
		s.node.shutDown(t.Context(), syscall.SIGTERM)
		close(stopped)
	}()
	s.await("not ready", func() bool { ok, _ := s.node.gateway.Ready(); return !ok })
	answer, _ := s.send("/book/", "k1", "")
	is.Equal(answer.StatusCode, http.StatusOK)
	is.True(answer.Close)
	s.service.Release()
	is.Equal(<-open, http.StatusOK)
	<-stopped
	_, _, err := platformtest.Send(s.front, "/book/", "k1", "")
	is.True(err != nil)
}
