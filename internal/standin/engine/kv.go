package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"mimosaseam.example/mimosaseam/internal/port"
)

type kvRequest struct {
	Scope       string   `json:"scope"`
	Blocks      []string `json:"blocks"`
	StoreKey    string   `json:"store_key"`
	Incarnation string   `json:"incarnation"`
}

// kvObject is the value that an export stores in the KV store.
type kvObject struct {
	Scope  string   `json:"scope"`
	Blocks []string `json:"blocks"`
}

func (e *Engine) decodeKV(w http.ResponseWriter, r *http.Request) (kvRequest, []port.BlockHash, bool) {
	var body kvRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body)
	blocks, valid := parseHashes(body.Blocks)
	if err != nil || !valid || body.StoreKey == "" {
		writeError(w, http.StatusBadRequest, "bad_request", "body is not a KV transfer")
		return body, nil, false
	}
	if e.config.KVStoreURL == "" {
		writeError(w, http.StatusBadRequest, "bad_request", "the engine has no KV store")
		return body, nil, false
	}
	return body, blocks, true
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	body, blocks, ok := e.decodeKV(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	n := e.cache.match(blocks)
	e.mu.Unlock()
	if n == 0 && len(blocks) > 0 {
		writeError(w, http.StatusNotFound, "not_found", "none of the blocks is cached")
		return
	}
	data, _ := json.Marshal(kvObject{Scope: body.Scope, Blocks: body.Blocks[:n]})
	if _, status := e.kvStore(r, http.MethodPut, body.StoreKey, data); status != http.StatusOK {
		writeError(w, http.StatusBadGateway, "kv_store", "the KV store did not take the blocks")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	body, requested, ok := e.decodeKV(w, r)
	if !ok {
		return
	}
	if body.Incarnation != "" && body.Incarnation != e.Incarnation() {
		writeError(w, http.StatusPreconditionFailed, "incarnation_changed", "this is incarnation "+e.Incarnation())
		return
	}
	data, status := e.kvStore(r, http.MethodGet, body.StoreKey, nil)
	if status != http.StatusOK {
		writeError(w, http.StatusNotFound, "not_found", "the KV store has no such key")
		return
	}
	var object kvObject
	if json.Unmarshal(data, &object) != nil || object.Scope != body.Scope {
		writeError(w, http.StatusNotFound, "not_found", "the key holds no blocks of this scope")
		return
	}
	present, _ := parseHashes(object.Blocks)
	if !e.insertImported(body, leadingPresent(requested, present)) {
		writeError(w, http.StatusPreconditionFailed, "incarnation_changed", "the engine restarted during the import")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) insertImported(body kvRequest, blocks []port.BlockHash) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if body.Incarnation != "" && body.Incarnation != e.incarnation {
		return false
	}
	stored, evicted := e.cache.insert(body.Scope, blocks)
	e.emitEvent(port.CacheStore, body.Scope, stored)
	e.emitEvictions(evicted)
	e.recordLoadLocked()
	return true
}

// leadingPresent returns the longest prefix of the requested blocks that is present.
func leadingPresent(requested, present []port.BlockHash) []port.BlockHash {
	set := make(map[port.BlockHash]bool, len(present))
	for _, h := range present {
		set[h] = true
	}
	n := 0
	for n < len(requested) && set[requested[n]] {
		n++
	}
	return requested[:n]
}

// kvStore calls the KV store and returns the body and status of its response;
// status 0 means that there was none.
func (e *Engine) kvStore(r *http.Request, method, key string, data []byte) ([]byte, int) {
	address := e.config.KVStoreURL + "/v1/kv/" + url.PathEscape(key)
	request, err := http.NewRequestWithContext(r.Context(), method, address, bytes.NewReader(data))
	if err != nil {
		return nil, 0
	}
	response, err := e.config.HTTPClient.Do(request)
	if err != nil {
		return nil, 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, 0
	}
	if response.StatusCode/100 == 2 {
		return body, http.StatusOK
	}
	return body, response.StatusCode
}
