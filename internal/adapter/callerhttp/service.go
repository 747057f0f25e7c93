package callerhttp

import (
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"mimosaseam.example/mimosaseam/internal/adapter/clientconn"
	"mimosaseam.example/mimosaseam/internal/app/completions"
)

const (
	servicePrefix = "/svc/"
	// maxKeyBytes bounds idempotency keys that are not UUIDs.
	maxKeyBytes = 200
)

// service forwards a call to a plain service; rest is {route}/... as sent.
func (x *exchange) service(rest string) {
	route, path, _ := strings.Cut(rest, "/")
	req := completions.ServiceRequest{RequestID: x.id, Account: x.account, Route: route, Method: x.r.Method,
		Path: "/" + path, Header: forwardableHeaders(x.r.Header)}
	if x.r.URL.RawQuery != "" {
		req.Path += "?" + x.r.URL.RawQuery
	}
	var err error
	if req.Deadline, err = x.deadline(); err == nil {
		err = readIdempotencyKey(&req, x.r.Header)
	}
	if err != nil {
		x.refuse(http.StatusBadRequest, string(completions.KindInvalid), err.Error(), 0)
		return
	}
	var ok bool
	if req.Body, ok = x.readBody(); !ok {
		return
	}
	if h := clientconn.HolderOf(x.r.Context()); h != nil {
		req.Memory = h.Replies()
	}
	reply, err := x.s.Router.ServiceCall(x.r.Context(), req)
	if err != nil {
		x.fail(err)
		return
	}
	for name, values := range forwardableHeaders(reply.Header) {
		x.w.Header()[name] = values
	}
	x.w.Header().Set("X-Request-Id", x.id)
	x.writeBody(reply.Status, "", reply.Body)
	x.logRequest("ok", slog.String("route", route))
}

// isFirst reports whether the caller asserts that it never sent the key before.
func isFirst(h http.Header) bool { return strings.EqualFold(h.Get("Idempotency-First"), "true") }

// readIdempotencyKey reads the idempotency key and its creation time.
func readIdempotencyKey(req *completions.ServiceRequest, h http.Header) error {
	key := h.Get("Idempotency-Key")
	if key == "" {
		return nil
	}
	if len(key) > maxKeyBytes {
		return &InvalidError{Field: "Idempotency-Key", Problem: "is longer than 200 bytes"}
	}
	req.IdempotencyKey = key
	req.First = isFirst(h)
	if id, err := uuid.Parse(key); err == nil && id.Version() == 7 {
		seconds, nanos := id.Time().UnixTime()
		req.KeyCreated = time.Unix(seconds, nanos).UTC()
		return nil
	}
	created := h.Get("Idempotency-Created")
	if created == "" {
		return nil // routes whose calls may be retried need no creation time
	}
	at, err := time.Parse(time.RFC3339, created)
	if err != nil {
		return &InvalidError{Field: "Idempotency-Created", Problem: "is not a time in RFC 3339 form"}
	}
	req.KeyCreated = at.UTC()
	return nil
}

// privateHeaders are hop-by-hop headers and those that the router sets itself.
var privateHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Proxy-Authorization": true,
	"Proxy-Authenticate": true, "Content-Length": true, "Expect": true,
	"Idempotency-Key": true, "Idempotency-Created": true, "Idempotency-First": true,
	"X-Request-Id": true, "X-Attempt-Id": true, "X-Deadline-Ms": true,
}

// forwardableHeaders returns the headers that pass through the router.
func forwardableHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !privateHeaders[name] {
			out[name] = values
		}
	}
	for _, named := range h.Values("Connection") {
		for _, name := range strings.Split(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}
