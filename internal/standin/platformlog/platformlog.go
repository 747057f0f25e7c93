// Package platformlog simulates the platform's append-only log service. It
// serves an in-memory log over HTTP and accepts control calls that inject faults
// and expire records.
//
//	POST /v1/streams/{stream}/records  {"records":[{"id","data"}]} -> {"first_offset"}
//	GET  /v1/streams/{stream}/records?from=&limit=&wait_ms=
//	POST /control/faults               portfake.Faults, replaces all faults
//	POST /control/retain               {"stream","oldest"}, drops older records
//
// For faults that lose the response, the connection is closed without one.
package platformlog

import (
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/portfake"
	"mimosaseam.example/mimosaseam/internal/standin/httpreply"
)

const (
	defaultLimit = 1000
	maxWait      = time.Minute
)

type record struct {
	Offset     port.Offset `json:"offset"`
	ID         string      `json:"id"`
	AppendedAt time.Time   `json:"appended_at"`
	Data       []byte      `json:"data"`
}

type handler struct{ log *portfake.Log }

// New returns the handler of the log service over the given log.
func New(log *portfake.Log) http.Handler {
	h := &handler{log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", h.append)
	mux.HandleFunc("GET /v1/streams/{stream}/records", h.read)
	mux.HandleFunc("POST /control/faults", h.faults)
	mux.HandleFunc("POST /control/retain", h.retain)
	return mux
}

func (h *handler) append(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Records []record `json:"records"`
	}
	if !httpreply.Decode(w, r, &body) {
		return
	}
	records := make([]port.Record, len(body.Records))
	for i, b := range body.Records {
		records[i] = port.Record{ID: b.ID, Data: b.Data}
	}
	first, err := h.log.Append(r.Context(), r.PathValue("stream"), records)
	if err != nil {
		writeError(w, err)
		return
	}
	httpreply.JSON(w, http.StatusOK, map[string]port.Offset{"first_offset": first})
}

func (h *handler) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, okFrom := parseNumber(q, "from", 1)
	limit, okLimit := parseNumber(q, "limit", defaultLimit)
	wait, okWait := parseNumber(q, "wait_ms", 0)
	if !okFrom || !okLimit || !okWait {
		httpreply.Error(w, http.StatusBadRequest, "bad_request", "from, limit and wait_ms must be whole numbers")
		return
	}
	limit = min(limit, portfake.MaxReadRecords)
	waiting := time.Duration(min(wait, uint64(maxWait.Milliseconds()))) * time.Millisecond
	b, err := h.log.Read(r.Context(), r.PathValue("stream"), port.Offset(from), int(limit), waiting)
	if err != nil {
		writeError(w, err)
		return
	}
	records := make([]record, len(b.Records))
	for i, rec := range b.Records {
		records[i] = record{Offset: rec.Offset, ID: rec.ID, AppendedAt: rec.AppendedAt, Data: rec.Data}
	}
	httpreply.JSON(w, http.StatusOK, map[string]any{"records": records, "next": b.Next, "oldest": b.Oldest})
}

func (h *handler) faults(w http.ResponseWriter, r *http.Request) {
	var f portfake.Faults
	if httpreply.Decode(w, r, &f) {
		h.log.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (h *handler) retain(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Stream string      `json:"stream"`
		Oldest port.Offset `json:"oldest"`
	}
	if httpreply.Decode(w, r, &body) {
		h.log.Expire(body.Stream, body.Oldest)
		w.WriteHeader(http.StatusNoContent)
	}
}

func writeError(w http.ResponseWriter, err error) {
	var (
		unavailable *port.UnavailableError
		limited     *port.RateLimitedError
		expired     *port.ExpiredError
		bad         *port.BadRequestError
	)
	switch {
	case errors.As(err, &unavailable):
		httpreply.Error(w, http.StatusServiceUnavailable, "unavailable", err.Error())
	case errors.As(err, &limited):
		httpreply.RateLimited(w, limited.RetryAfter)
	case errors.As(err, &expired):
		httpreply.JSON(w, http.StatusGone, map[string]any{
			"error":  map[string]string{"type": "expired", "message": err.Error()},
			"oldest": expired.Oldest,
		})
	case errors.As(err, &bad):
		httpreply.Error(w, bad.Status, "bad_request", bad.Message)
	default:
		panic(http.ErrAbortHandler)
	}
}

func parseNumber(q url.Values, name string, fallback uint64) (uint64, bool) {
	s := q.Get(name)
	if s == "" {
		return fallback, true
	}
	n, err := strconv.ParseUint(s, 10, 63)
	return n, err == nil
}
