package platformhttp_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/adapter/platformhttp"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/portfake"
	"mimosaseam.example/mimosaseam/internal/port/porttest"
	"mimosaseam.example/mimosaseam/internal/standin/platformlog"
)

// Runs the contract tests over HTTP, with faults injected through the control calls
// of the stand-in.
func TestLogContract(t *testing.T) {
	porttest.RunLog(t, func(t *testing.T) porttest.LogHarness {
		clock := portfake.NewClock(time.Unix(1_700_000_000, 0))
		server := httptest.NewServer(platformlog.New(portfake.NewLog(portfake.LogOptions{
			Clock:            clock,
			Retention:        porttest.LogRetention,
			AppendsPerSecond: porttest.LogAppendsPerSecond,
			AppendBurst:      porttest.LogAppendBurst,
		})))
		t.Cleanup(server.Close)
		return porttest.LogHarness{
			Log: platformhttp.NewLog(platformhttp.Options{BaseURL: server.URL, Client: server.Client()}),
			SetFaults: func(f portfake.Faults) {
				control(t, http.MethodPost, server.URL+"/control/faults", f)
			},
			Expire: func(stream string, oldest port.Offset) {
				control(t, http.MethodPost, server.URL+"/control/retain", map[string]any{"stream": stream, "oldest": oldest})
			},
			Advance: clock.Advance,
		}
	})
}

// Guards against a reader that large records block permanently.
func TestReadRequestsFewerRecordsWhenTheResponseIsTooLarge(t *testing.T) {
	is := is.New(t)
	fake := portfake.NewLog(portfake.LogOptions{})
	server := httptest.NewServer(platformlog.New(fake))
	defer server.Close()
	records := make([]port.Record, 8)
	for i := range records {
		records[i] = port.Record{ID: "r", Data: make([]byte, 1000)}
	}
	_, err := fake.Append(t.Context(), "s", records)
	is.NoErr(err)
	l := platformhttp.NewLog(platformhttp.Options{BaseURL: server.URL, MaxResponseBytes: 4000})
	b, err := l.Read(t.Context(), "s", 1, 8, 0)
	is.NoErr(err)
	is.Equal(len(b.Records), 2)
	is.Equal(b.Next, port.Offset(3))
}

func control(t *testing.T, method, url string, body any) {
	t.Helper()
	is := is.New(t)
	data, err := json.Marshal(body)
	is.NoErr(err)
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(data))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusNoContent)
}
