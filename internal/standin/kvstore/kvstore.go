// Package kvstore simulates the platform's KV cache store.
//
//	PUT  /v1/kv/{key}     stores the body
//	GET  /v1/kv/{key}     returns it, or 404
//	POST /control/faults  {"outage":bool}
package kvstore

import (
	"io"
	"net/http"
	"sync"

	"mimosaseam.example/mimosaseam/internal/standin/httpreply"
)

type store struct {
	maxValueBytes int64

	mu     sync.Mutex
	values map[string][]byte
}

// New returns the handler of an empty store that rejects values larger than
// maxValueBytes.
func New(maxValueBytes int64) http.Handler {
	s := &store{maxValueBytes: maxValueBytes, values: map[string][]byte{}}
	var outage httpreply.Outage
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/kv/{key}", outage.Guard(s.put))
	mux.HandleFunc("GET /v1/kv/{key}", outage.Guard(s.get))
	mux.HandleFunc("POST /control/faults", outage.Control)
	return mux
}

func (s *store) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.maxValueBytes))
	if err != nil {
		httpreply.Error(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
		return
	}
	s.mu.Lock()
	s.values[r.PathValue("key")] = value
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	value, ok := s.values[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		httpreply.Error(w, http.StatusNotFound, "not_found", "no such key")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(value)
}
