package gateway

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// reportLoads makes the plain targets report loads, by address.
func (w *testGateway) reportLoads(loads map[string]port.LoadReport) {
	w.targets.react = func(address string, _ port.Forward) reply {
		l := loads[address]
		return reply{status: http.StatusOK, body: "ok", load: &l}
	}
}

// Guards against plain requests that go to targets that report to be full or slow while others
// are free, and against reports of one target that count for another.
func TestPlainRequestsFollowReports(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t)
	w.reportLoads(map[string]port.LoadReport{
		"desk-d1": {Running: 6, Waiting: 40, Slots: 6, SlownessPercent: 100},
		"desk-d2": {Running: 0, Slots: 6, SlownessPercent: 300},
		"desk-d3": {Running: 0, Slots: 6, SlownessPercent: 100},
	})
	const requests = 60
	for range requests {
		_, err := w.send(t.Context(), "look")
		is.NoErr(err)
	}
	counts := map[string]int{}
	for _, a := range w.targets.sent() {
		counts[a.ExpectTarget]++
	}
	is.Equal(len(counts), 3)
	is.True(counts["d3"] > 2*requests/3)
	for _, target := range w.Directory.All() {
		is.Equal(target.InFlight, 0)
		if target.work != nil {
			is.Equal(target.work.InFlight(), 0)
		}
	}
}

// Guards against decisions whose log line does not say why: the line "sent" names what was
// expected of the chosen target, plain or engine.
func TestSentLineNamesTheEstimate(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t)
	var out bytes.Buffer
	w.Log = slog.New(slog.NewJSONHandler(&out, nil))
	load := port.LoadReport{Running: 2, Slots: 6, SlownessPercent: 150}
	w.targets.react = func(string, port.Forward) reply {
		return reply{status: http.StatusOK, body: "id: 1\ndata: {}\n\n", load: &load}
	}
	for _, route := range []string{"look", "look", "brief", "brief"} {
		_, err := w.send(t.Context(), route)
		is.NoErr(err)
	}
	lines := 0
	for _, line := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
		var fields map[string]any
		is.NoErr(json.Unmarshal(line, &fields))
		if fields["msg"] != "sent" {
			continue
		}
		lines++
		for _, name := range []string{"speed", "slowness", "remaining_ms", "queue_ms", "link_ms"} {
			_, ok := fields[name].(float64)
			is.True(ok) // each figure is in the line
		}
	}
	is.Equal(lines, 4)
}

// slowSink is a client that reads its answer only when it is let.
type slowSink struct {
	recorder
	began, read chan struct{}
}

func (s *slowSink) Write(p []byte) error {
	close(s.began)
	<-s.read
	return s.recorder.Write(p)
}

// Guards against clients that read slowly and make a target count as slow or busy that has long
// answered.
func TestSlowClientsSayNothingOfTheTarget(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t)
	sink := &slowSink{began: make(chan struct{}), read: make(chan struct{})}
	done := make(chan error, 1)
	go func() {
		done <- w.Serve(t.Context(), &Request{ID: "r1", Method: http.MethodPost, URI: "/look/x", Path: "/look/x", Host: "h", Header: http.Header{},
			Key: "key", Received: w.Clock.Now()}, sink)
	}()
	<-sink.began
	busy := 0
	for _, target := range w.Directory.All() {
		if target.work != nil {
			busy += target.work.InFlight()
		}
	}
	is.Equal(busy, 0)
	close(sink.read)
	is.NoErr(<-done)
}

// Guards against rankings of plain requests that tell admission nothing, and against ones that
// count what a target did before it was replaced.
func TestRankingTellsAdmissionOfPlainTargets(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t)
	full := port.LoadReport{Running: 6, Waiting: 12, Slots: 6, SlownessPercent: 100}
	w.reportLoads(map[string]port.LoadReport{"desk-d1": full, "desk-d2": full, "desk-d3": full})
	for range 6 {
		_, err := w.send(t.Context(), "look")
		is.NoErr(err)
	}
	x, err := w.plan(&Request{ID: "r", Method: http.MethodGet, Path: "/look/x", Host: "h", Header: http.Header{}, Key: "key", Received: w.Clock.Now()}, &recorder{})
	is.NoErr(err)
	k := x.rank(w.Clock.Now(), false)
	is.True(k.queueMs > 0 && k.unloadedMs > 0 && k.occupancyMs > 0)
	is.True(k.best.Wait > 0 && k.best.Service > 0 && k.best.Deviation > 0)
	for _, id := range []string{"d1", "d2", "d3"} {
		w.Directory.Put(port.TargetEntry{ID: id, Service: "desk", Address: "desk-" + id, Slots: 6, StartedAt: w.Clock.Now()})
	}
	is.Equal(len(w.Directory.Service("desk")), 3)
	for _, target := range w.Directory.Service("desk") {
		is.True(target.work == nil)
	}
}
