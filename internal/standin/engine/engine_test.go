package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

type fixture struct {
	*Engine
	clock  *ManualClock
	server *httptest.Server
}

func newFixture(t *testing.T, c Config) fixture {
	clock := NewManualClock(time.Unix(1_700_000_000, 0))
	c.Clock = clock
	e := New(c)
	server := httptest.NewServer(e)
	t.Cleanup(func() {
		e.Close()
		server.Close()
	})
	return fixture{Engine: e, clock: clock, server: server}
}

// start sends a completion and returns the response once its header has arrived.
func (f fixture) start(t *testing.T, id, prompt string, priority, tokens int) *http.Response {
	t.Helper()
	body, _ := json.Marshal(completionRequest{Prompt: prompt, MaxTokens: tokens, Priority: priority, Stream: true})
	r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+"/v1/completions", strings.NewReader(string(body)))
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Cache-Scope", "acme/v1/")
	r.Header.Set("X-Deadline-Ms", "60000")
	response, err := f.server.Client().Do(r)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func (f fixture) get(t *testing.T, path string, out any) {
	t.Helper()
	response, err := f.server.Client().Get(f.server.URL + path)
	is.New(t).NoErr(err)
	defer response.Body.Close()
	is.New(t).NoErr(json.NewDecoder(response.Body).Decode(out))
}

func (f fixture) outcomes() string {
	var out []string
	for _, r := range f.Runs() {
		out = append(out, r.AttemptID+" "+string(r.Outcome))
	}
	return strings.Join(out, ", ")
}

// Guards against a queue that ignores priorities or its bound.
func TestQueueStartsByPriorityAndRefusesBeyondItsBound(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Config{Slots: 1, MaxWaiting: 2, DecodeInterval: time.Millisecond})
	f.start(t, "a", "p", 0, 3)
	f.start(t, "low", "p", 1, 3)
	f.start(t, "high", "p", 2, 3)
	is.Equal(f.start(t, "refused", "p", 9, 3).StatusCode, http.StatusTooManyRequests)
	is.Equal(f.outcomes(), "a running, low waiting, high waiting")
	f.clock.Advance(3 * time.Millisecond)
	is.Equal(f.outcomes(), "a completed, low waiting, high running")
	f.clock.Advance(time.Second)
	is.Equal(f.outcomes(), "a completed, low completed, high completed")
}

// Guards against prefill that takes no time, or as long for cached blocks.
func TestPrefillTakesTimeForMissedTokensOnly(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Config{PrefillTokensPerSecond: 128, DecodeInterval: time.Second})
	prompt := strings.Repeat("x", 512)
	f.start(t, "cold", prompt, 0, 1)
	f.clock.Advance(999 * time.Millisecond)
	is.Equal(f.outcomes(), "cold running")
	f.clock.Advance(time.Millisecond)
	is.Equal(f.outcomes(), "cold completed")
	f.start(t, "warm", prompt, 0, 1)
	is.Equal(f.outcomes(), "cold completed, warm completed")
	is.Equal(f.Runs()[1].CachedTokens, 128)
}

// Guards against attempts that occupy a slot after their deadline.
func TestDeadlineEndsAttempt(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Config{DecodeInterval: time.Hour})
	response := f.start(t, "a", "p", 0, 3)
	f.clock.Advance(time.Minute)
	_, err := io.ReadAll(response.Body)
	is.True(err != nil)
	is.Equal(f.outcomes(), "a expired")
}

// Guards against load reports and events that are served without their lag, and
// against dropped events that leave no gap in the sequence numbers.
func TestLoadAndEventsLagAndEventsHaveGaps(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Config{LoadLag: time.Second, EventLag: 2 * time.Second, EventGapEvery: 2, DecodeInterval: time.Hour})
	for i := range 4 {
		f.clock.Advance(time.Millisecond)
		f.start(t, strconv.Itoa(i), strings.Repeat(strconv.Itoa(i), 256), 0, 2)
	}
	var load port.LoadReport
	var events eventsResponse
	f.get(t, "/v1/load", &load)
	is.Equal(load.Running, 0)
	f.get(t, "/v1/cache/events", &events)
	is.Equal(len(events.Events), 0)
	f.clock.Advance(time.Second)
	f.get(t, "/v1/load", &load)
	is.Equal(load.Running, 4)
	f.clock.Advance(time.Second)
	f.get(t, "/v1/cache/events?after=0", &events)
	is.Equal(len(events.Events), 2)
	is.Equal([]uint64{events.Events[0].Seq, events.Events[1].Seq}, []uint64{1, 3})
}

// Guards against a long poll that misses events emitted while it waits.
func TestEventsWait(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Config{})
	done := make(chan eventsResponse)
	go func() {
		var events eventsResponse
		f.get(t, "/v1/cache/events?after=0&wait_ms=60000", &events)
		done <- events
	}()
	f.start(t, "a", strings.Repeat("x", 256), 0, 1)
	is.Equal(len((<-done).Events), 1)
}

// Guards against a cache that grows beyond its capacity or evicts the start of
// a chain before its end.
func TestCacheEvictsLeastRecentlyUsedFromTheEnd(t *testing.T) {
	is := is.New(t)
	c := newBlockCache(4)
	c.insert("s", []port.BlockHash{1, 2, 3})
	c.insert("s", []port.BlockHash{10})
	is.Equal(c.match([]port.BlockHash{1, 2, 3}), 3)
	stored, evicted := c.insert("s", []port.BlockHash{20, 21})
	is.Equal(stored, []port.BlockHash{20, 21})
	is.Equal(evicted, []cachedBlock{{10, "s"}, {3, "s"}})
	is.Equal(c.match([]port.BlockHash{1, 2, 3}), 2)
	is.Equal(c.len(), 4)
	_, evicted = c.insert("s", []port.BlockHash{5, 6, 7, 8, 9})
	is.Equal(len(evicted), 4)
	is.Equal(c.match([]port.BlockHash{5, 6, 7, 8, 9}), 4)
}

// Guards against an engine that handles fencing tokens in another way than
// configured: without CheckFencing it executes stale orders.
func TestOrdersTakeTimeAndFencingIsOptional(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Config{LoadTime: time.Second})
	order := func(id, version string, fencing port.Offset) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.acceptLocked(port.Order{ID: id, Kind: port.OrderLoadVersion, Version: version, FencingToken: fencing})
	}
	is.True(order("1", "v2", 9))
	is.True(order("2", "v3", 5))
	var state port.EngineState
	f.get(t, "/v1/state", &state)
	is.True(state.Loading)
	is.Equal(state.WeightsVersion, "v1")
	f.clock.Advance(time.Second)
	f.get(t, "/v1/state", &state)
	is.True(!state.Loading)
	is.Equal(state.WeightsVersion, "v3")
}
