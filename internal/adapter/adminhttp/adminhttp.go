// Package adminhttp is the HTTP server for operators: liveness, readiness,
// metrics, the status of the router, and explanations of placement decisions.
package adminhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"
	"time"

	"mimosaseam.example/mimosaseam/internal/adapter/clientconn"
	"mimosaseam.example/mimosaseam/internal/port"
)

// Readiness reports whether the load balancer should send requests to this router.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Peer is another router as this one sees it.
type Peer struct {
	Name             string      `json:"name"`
	Address          string      `json:"address"`
	Region           string      `json:"region,omitempty"`
	AvailabilityZone string      `json:"availability_zone,omitempty"`
	State            string      `json:"state"`
	ConfigOffset     port.Offset `json:"config_offset"`
}

// Target is a target as this router sees it.
type Target struct {
	Pool        string `json:"pool"`
	Name        string `json:"name"`
	Address     string `json:"address"`
	Region      string `json:"region"`
	Incarnation string `json:"incarnation,omitempty"`
	// Circuit is closed, open or half_open.
	Circuit string `json:"circuit"`
	Leaving bool   `json:"leaving"`
	// InFlight counts this router's open attempts.
	InFlight int `json:"in_flight"`
}

// Status is the state of one router.
type Status struct {
	VM               string      `json:"vm"`
	Region           string      `json:"region"`
	AvailabilityZone string      `json:"availability_zone"`
	Version          string      `json:"version"`
	StartedAt        time.Time   `json:"started_at"`
	Readiness        Readiness   `json:"readiness"`
	ConfigOffset     port.Offset `json:"config_offset"`
	// LogContact is the time of the last response of the platform log.
	LogContact time.Time `json:"log_contact"`
	Peers      []Peer    `json:"peers"`
	Targets    []Target  `json:"targets"`
	// BudgetTokens is the remaining retry budget of each route, in attempts.
	BudgetTokens map[string]float64 `json:"budget_tokens"`
	// Quarantined counts the fingerprints of requests that crashed targets.
	Quarantined int `json:"quarantined"`
}

// Applied lists the routers that have a configuration offset in force and those
// that lag behind it.
type Applied struct {
	Offset  port.Offset `json:"offset"`
	InForce []string    `json:"in_force"`
	Lagging []string    `json:"lagging"`
}

// ExplainRequest is a request to place without running it.
type ExplainRequest struct {
	// ClientAccount is "<team>/<name>".
	ClientAccount string `json:"client_account"`
	Model         string `json:"model"`
	Prompt        string `json:"prompt"`
	MaxTokens     int    `json:"max_tokens"`
}

// Backend provides the data that the admin server returns.
type Backend interface {
	Readiness() Readiness
	Status() Status
	Applied(ctx context.Context, offset port.Offset) Applied
	Explain(ctx context.Context, r ExplainRequest) (any, error)
}

// maxExplainBytes bounds the body of an explain request.
const maxExplainBytes = 4 << 20

// Handler returns the admin server's routes.
func Handler(b Backend) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, struct {
			Live bool `json:"live"`
		}{true})
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		readiness := b.Readiness()
		status := http.StatusOK
		if !readiness.Ready {
			status = http.StatusServiceUnavailable
		}
		writeJSON(w, status, readiness)
	})
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, b.Status())
	})
	mux.HandleFunc("GET /v1/config/applied", func(w http.ResponseWriter, r *http.Request) {
		offset, err := strconv.ParseUint(r.URL.Query().Get("offset"), 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, "invalid_offset", "offset must be a whole number of 0 or more")
			return
		}
		writeJSON(w, http.StatusOK, b.Applied(r.Context(), port.Offset(offset)))
	})
	mux.HandleFunc(explainPattern, explain(b))
	withoutBodies := clientconn.WithoutBodies(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pattern := mux.Handler(r); pattern == explainPattern {
			mux.ServeHTTP(w, r)
			return
		}
		withoutBodies.ServeHTTP(w, r)
	})
}

const (
	explainPattern = "POST /v1/explain"
	// explainTimeout bounds the time for the body of an explain request.
	explainTimeout = 20 * time.Second
)

func explain(b Backend) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request ExplainRequest
		body, err := clientconn.ReadBody(w, r, maxExplainBytes, explainTimeout)
		if err != nil {
			writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
			return
		}
		decoder := json.NewDecoder(bytes.NewReader(body))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&request); err != nil {
			writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
			return
		}
		explanation, err := b.Explain(r.Context(), request)
		if err != nil {
			writeError(w, http.StatusUnprocessableEntity, "cannot_explain", err.Error())
			return
		}
		writeJSON(w, http.StatusOK, explanation)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
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
