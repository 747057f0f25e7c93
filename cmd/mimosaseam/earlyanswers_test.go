package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

func newEarlyTarget(t *testing.T, id, model string, answer func(r *http.Request) string) *platformtest.RawTarget {
	t.Helper()
	target, stop, err := platformtest.NewEarlyTarget(id, model, answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return target
}

// Guards against a part of an answer that reaches the caller as a whole one: the target answers
// without a length while the upload is still being written, and resets the connection.
func TestEarlyAnswerOfUnfinishedUploadIsNotComplete(t *testing.T) {
	const (
		tries  = 12
		upload = 12 << 20
	)
	answer := func(r *http.Request) string {
		if strings.HasPrefix(r.URL.Path, "/brief/") || strings.HasPrefix(r.URL.Path, "/check/") {
			return platformtest.Head(r, "200 OK", "Content-Type: text/event-stream", "Connection: close") + "id: 1\ndata: part\n\n"
		}
		return platformtest.Head(r, "200 OK", "Connection: close") + "part"
	}
	is := is.New(t)
	s := newFaultGateway(t, []*platformtest.RawTarget{newEarlyTarget(t, "d9", "", answer)}, []*platformtest.RawTarget{newEarlyTarget(t, "e9", platformtest.Model, answer)})
	s.log.ConfigureKindsWithin(10, faultTimeoutMs, "k1", platformtest.ClientLimits{MaxBodyBytes: upload, IdleTimeoutMs: 5000})
	s.await("the larger limit", func() bool { return s.node.gateway.Configuration().Version == 10 })
	text := strings.Repeat("x", upload)
	answered := 0
	for _, path := range []string{"/book/", "/look/", "/brief/", "/check/"} {
		whole := 0
		for i := range tries {
			r, err := http.NewRequest(http.MethodPost, s.baseURL+path, strings.NewReader(text))
			is.NoErr(err)
			r.Host = platformtest.Host
			r.Header.Set("X-Request-Id", fmt.Sprint(path, i))
			r.Header.Set("X-Key", "k1")
			for j := 0; j+1 < len(engineFields); j += 2 {
				r.Header.Set(engineFields[j], engineFields[j+1])
			}
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				continue
			}
			answered++
			if _, err := io.Copy(io.Discard, response.Body); err == nil && response.StatusCode == http.StatusOK {
				whole++
			}
			_ = response.Body.Close()
		}
		t.Logf("%s: %d whole", path, whole)
		is.Equal(whole, 0)
	}
	is.True(answered > 0)
}

// Guards against a status that HTTP does not have, or that is none of a final response, and that
// reaches the caller.
func TestOddStatusesReachNobody(t *testing.T) {
	statuses := []string{"000", "099", "100", "101", "103", "199", "600", "999", "0200", "20", "2", "-20", "abc", "2x0", "1e2"}
	is := is.New(t)
	answer := func(c *platformtest.RawConn, r *http.Request, _ int) bool {
		_, status, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		fields := []string{"Content-Length: 2", "Connection: close"}
		if strings.HasPrefix(r.URL.Path, "/brief/") || strings.HasPrefix(r.URL.Path, "/check/") {
			fields = []string{"Content-Type: text/event-stream", "Connection: close"}
		}
		c.Send(platformtest.Head(r, status+" Odd", fields...) + "ok")
		return false
	}
	s := newFaultGateway(t, []*platformtest.RawTarget{newRawTarget(t, "d9", "", answer)}, []*platformtest.RawTarget{newRawTarget(t, "e9", platformtest.Model, answer)})
	for _, status := range statuses {
		for _, path := range []string{"/book/", "/look/", "/brief/", "/check/"} {
			got, body, _ := s.call(status+path, path+status, engineFields...)
			is.True(got == http.StatusBadGateway || got == http.StatusServiceUnavailable || got == http.StatusGatewayTimeout)
			is.True(body != "ok")
		}
	}
}
