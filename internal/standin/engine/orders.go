package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// fetchRetryInterval is the delay before a failed weight fetch is retried if the weight
// store sends no Retry-After.
const fetchRetryInterval = time.Second

type orderState struct {
	highestFencing port.Offset
	seenIDs        map[string]bool
	executed       []port.Order
	pending        int
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order port.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "body is not an order: "+err.Error())
		return
	}
	if !isKnownOrder(order.Kind) {
		writeError(w, http.StatusBadRequest, "bad_request", "unknown order "+string(order.Kind))
		return
	}
	e.mu.Lock()
	accepted := e.acceptLocked(order)
	e.mu.Unlock()
	if !accepted {
		writeError(w, http.StatusConflict, "stale_fencing", "a newer fencing token was seen")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func isKnownOrder(kind port.OrderKind) bool {
	return slices.Contains([]port.OrderKind{
		port.OrderLoadModel, port.OrderLoadAdapter, port.OrderLoadVersion, port.OrderSetRole,
	}, kind)
}

// acceptLocked executes an order unless its id was seen before. It returns false
// if fencing tokens are checked and the order's token is stale.
func (e *Engine) acceptLocked(order port.Order) bool {
	if e.config.CheckFencing && order.FencingToken < e.orders.highestFencing {
		return false
	}
	e.orders.highestFencing = max(e.orders.highestFencing, order.FencingToken)
	if order.ID != "" && e.orders.seenIDs[order.ID] {
		return true
	}
	if e.orders.seenIDs == nil {
		e.orders.seenIDs = make(map[string]bool)
	}
	e.orders.seenIDs[order.ID] = true
	e.orders.executed = append(e.orders.executed, order)
	if order.Kind == port.OrderSetRole {
		e.role = order.Role
		return true
	}
	e.orders.pending++
	if e.config.WeightStoreURL != "" {
		go e.fetchWeights(order, e.incarnation)
		return true
	}
	e.loadAfterLocked(order, e.incarnation)
	return true
}

func (e *Engine) loadAfterLocked(order port.Order, incarnation string) {
	if e.config.LoadTime <= 0 {
		e.loadedLocked(order, incarnation)
		return
	}
	e.config.Clock.AfterFunc(e.config.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loadedLocked(order, incarnation)
	})
}

// loadedLocked applies a completed load, unless the engine restarted meanwhile.
// Running attempts continue with the version they started with.
func (e *Engine) loadedLocked(order port.Order, incarnation string) {
	e.orders.pending--
	if incarnation != e.incarnation {
		return
	}
	switch order.Kind {
	case port.OrderLoadAdapter:
		if !slices.Contains(e.adapters, order.Adapter) {
			e.adapters = append(e.adapters, order.Adapter)
		}
		return
	case port.OrderLoadModel:
		e.model = order.Model
	}
	if order.Version != "" {
		e.version = order.Version
	}
	e.emitEvictions(e.cache.clear())
	e.recordLoadLocked()
}

// fetchWeights requests the weights, with retries until the weight store allows
// the download, and then loads them.
func (e *Engine) fetchWeights(order port.Order, incarnation string) {
	body, _ := json.Marshal(map[string]string{"version": order.Version})
	response, err := e.config.HTTPClient.Post(
		e.config.WeightStoreURL+"/v1/weights/fetch", "application/json", bytes.NewReader(body))
	wait := fetchRetryInterval
	if err == nil {
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.loadAfterLocked(order, incarnation)
			return
		}
		if s, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
			wait = time.Duration(s) * time.Second
		}
	}
	e.config.Clock.AfterFunc(wait, func() {
		e.mu.Lock()
		closed := e.closed
		e.mu.Unlock()
		if !closed {
			e.fetchWeights(order, incarnation)
		}
	})
}

func (e *Engine) serveExecutedOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	orders := append([]port.Order{}, e.orders.executed...)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Orders []port.Order `json:"orders"`
	}{orders})
}
