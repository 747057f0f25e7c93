package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// maxEventsPerRead bounds one read of the event stream.
const maxEventsPerRead = 1024

type cacheEvent struct {
	Seq     uint64   `json:"seq"`
	Op      string   `json:"op"`
	Scope   string   `json:"scope"`
	Blocks  []string `json:"blocks"`
	visible time.Time
}

type eventsResponse struct {
	Incarnation string       `json:"incarnation"`
	FirstSeq    uint64       `json:"first_seq"`
	Events      []cacheEvent `json:"events"`
}

// eventLog retains the latest cache events of one incarnation.
type eventLog struct {
	next     uint64
	retained []cacheEvent
	notify   chan struct{}
}

func newEventLog() *eventLog { return &eventLog{next: 1, notify: make(chan struct{})} }

func (e *Engine) emitEvent(op port.CacheOp, scope string, blocks []port.BlockHash) {
	if len(blocks) == 0 {
		return
	}
	log := e.events
	seq := log.next
	log.next++
	if every := e.config.EventGapEvery; every > 0 && seq%uint64(every) == 0 {
		return
	}
	log.retained = append(log.retained, cacheEvent{
		Seq: seq, Op: string(op), Scope: scope, Blocks: formatHashes(blocks),
		visible: e.config.Clock.Now().Add(e.config.EventLag),
	})
	// Trimmed only at twice the bound, so that the copy is rare.
	if limit := e.config.EventsRetained; len(log.retained) >= 2*limit {
		log.retained = append([]cacheEvent(nil), log.retained[len(log.retained)-limit:]...)
	}
	close(log.notify)
	log.notify = make(chan struct{})
}

// emitEvictions reports evicted blocks with one event for each run of
// consecutive blocks of the same scope.
func (e *Engine) emitEvictions(blocks []cachedBlock) {
	for start := 0; start < len(blocks); {
		end := start
		var hashes []port.BlockHash
		for end < len(blocks) && blocks[end].scope == blocks[start].scope {
			hashes = append(hashes, blocks[end].hash)
			end++
		}
		e.emitEvent(port.CacheEvict, blocks[start].scope, hashes)
		start = end
	}
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	until := e.config.Clock.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		response, notify, nextVisible := e.readEvents(after)
		now := e.config.Clock.Now()
		if len(response.Events) > 0 || !now.Before(until) {
			writeJSON(w, http.StatusOK, response)
			return
		}
		wake := until
		if !nextVisible.IsZero() && nextVisible.Before(until) {
			wake = nextVisible
		}
		due := make(chan struct{})
		stop := e.config.Clock.AfterFunc(wake.Sub(now), func() { close(due) })
		select {
		case <-notify:
		case <-due:
		case <-r.Context().Done():
			stop()
			return
		}
		stop()
	}
}

func (e *Engine) readEvents(after uint64) (response eventsResponse, notify <-chan struct{}, nextVisible time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	response = eventsResponse{Incarnation: e.incarnation, FirstSeq: e.events.next, Events: []cacheEvent{}}
	if len(e.events.retained) > 0 {
		response.FirstSeq = e.events.retained[0].Seq
	}
	for _, event := range e.events.retained {
		if event.Seq <= after {
			continue
		}
		if event.visible.After(now) {
			nextVisible = event.visible
			break
		}
		response.Events = append(response.Events, event)
		if len(response.Events) == maxEventsPerRead {
			break
		}
	}
	return response, e.events.notify, nextVisible
}

func formatHashes(blocks []port.BlockHash) []string {
	out := make([]string, len(blocks))
	for i, b := range blocks {
		out[i] = fmt.Sprintf("%016x", uint64(b))
	}
	return out
}

func parseHashes(blocks []string) ([]port.BlockHash, bool) {
	out := make([]port.BlockHash, len(blocks))
	for i, b := range blocks {
		h, err := strconv.ParseUint(b, 16, 64)
		if err != nil {
			return nil, false
		}
		out[i] = port.BlockHash(h)
	}
	return out, true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

type errorBody struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

func writeError(w http.ResponseWriter, status int, kind, message string) {
	var body errorBody
	body.Error.Type, body.Error.Message = kind, message
	writeJSON(w, status, body)
}
