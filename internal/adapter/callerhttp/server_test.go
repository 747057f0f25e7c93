package callerhttp

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/app/completions"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/port"
)

const secret = "key-of-planner"

type fixedSource struct{ snapshot *config.Snapshot }

func (s fixedSource) Current() *config.Snapshot { return s.snapshot }

func source() fixedSource {
	sum := sha256.Sum256([]byte(secret))
	return fixedSource{&config.Snapshot{Accounts: map[config.Ref]config.Account{
		{Team: "kabelgang", Name: "planner"}: {KeySHA256: []string{hex.EncodeToString(sum[:])}},
		{Team: "kabelgang", Name: "other"}:   {KeySHA256: []string{strings.Repeat("0", 64)}},
	}}}
}

// fakeRouter streams the words of the prompt and then returns err.
type fakeRouter struct {
	mu       sync.Mutex
	err      error
	requests []completions.CompletionRequest
	calls    []completions.ServiceRequest
	block    chan struct{}
	started  chan struct{}
}

func (f *fakeRouter) Completion(ctx context.Context, req completions.CompletionRequest, sink completions.Sink) (completions.Completion, error) {
	f.mu.Lock()
	f.requests = append(f.requests, req)
	f.mu.Unlock()
	if f.block != nil {
		f.started <- struct{}{}
		select {
		case <-f.block:
		case <-ctx.Done():
		}
		return completions.Completion{}, &completions.Failure{Kind: completions.KindCanceled, Outcome: completions.OutcomeMayHaveRun}
	}
	words := strings.Fields(req.Prompt)
	u := port.Usage{PromptTokens: 9, CompletionTokens: len(words), CachedTokens: 4}
	for i, w := range words {
		c := port.Chunk{Index: i, Text: w}
		if i == len(words)-1 && f.err == nil {
			c.FinishReason, c.Usage = port.FinishStop, &u
		}
		if err := sink.Chunk(ctx, c); err != nil {
			return completions.Completion{}, err
		}
	}
	return completions.Completion{FinishReason: port.FinishStop, Usage: u}, f.err
}

func (f *fakeRouter) ServiceCall(_ context.Context, req completions.ServiceRequest) (completions.ServiceReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, req)
	return completions.ServiceReply{Status: http.StatusCreated, Header: http.Header{"X-Booking": {"7"}, "Connection": {"close"}},
		Body: []byte("booked")}, f.err
}

func serve(t *testing.T, f *fakeRouter, l Limits, logs io.Writer) *httptest.Server {
	t.Helper()
	s := New(Deps{Router: f, Source: source(), Limits: l, Logger: slog.New(slog.NewTextHandler(logs, nil))})
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return srv
}

func request(t *testing.T, method, url, body string, headers ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req
}

// fetch returns the response, its body and the error from reading the body.
func fetch(t *testing.T, req *http.Request) (*http.Response, string, error) {
	t.Helper()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

// Guards against responses that deviate from the common completions format.
func TestCompletionShapes(t *testing.T) {
	const usage = `"usage":{"prompt_tokens":9,"completion_tokens":2,"total_tokens":11,"prompt_tokens_details":{"cached_tokens":4}}`
	cases := map[string]struct{ path, body, want string }{
		"whole": {"/v1/completions", `{"model":"m","prompt":"one \"two\""}`,
			`{"id":"r1","object":"text_completion","created":0,"model":"m","choices":[{"index":0,"text":"one\"two\"","finish_reason":"stop"}],` + usage + `}`},
		"streamed": {"/v1/completions", `{"model":"m","prompt":["one two\u00e9"],"stream":true}`,
			"id: 0\n" + `data: {"id":"r1","object":"text_completion","created":0,"model":"m","choices":[{"index":0,"text":"one","finish_reason":null}]}` + "\n\n" +
				"id: 1\n" + `data: {"id":"r1","object":"text_completion","created":0,"model":"m","choices":[{"index":0,"text":"twoé","finish_reason":"stop"}],` + usage + "}\n\ndata: [DONE]\n\n"},
		"chat": {"/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`,
			`{"id":"r1","object":"chat.completion","created":0,"model":"m","choices":[{"index":0,"message":{"role":"assistant","content":"userhi"},"finish_reason":"stop"}],` + usage + `}`},
		"chat streamed": {"/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`,
			"id: 0\n" + `data: {"id":"r1","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"user"},"finish_reason":null}]}` + "\n\n" +
				"id: 1\n" + `data: {"id":"r1","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"content":"hi"},"finish_reason":"stop"}],` + usage + "}\n\ndata: [DONE]\n\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(Deps{Router: &fakeRouter{}, Source: source(), Clock: epoch{}})
			srv := httptest.NewServer(s)
			defer srv.Close()
			res, body, err := fetch(t, request(t, "POST", srv.URL+c.path, c.body, "X-Request-Id", "r1"))
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusOK)
			is.Equal(res.Header.Get("X-Request-Id"), "r1")
			is.Equal(body, c.want)
		})
	}
}

type epoch struct{}

func (epoch) Now() time.Time { return time.Unix(0, 0) }

// Guards against a broken response that looks complete.
func TestBrokenStreamIsVisible(t *testing.T) {
	is := is.New(t)
	f := &fakeRouter{err: &completions.Failure{Kind: completions.KindBroken, Message: "broke off", Outcome: completions.OutcomeMayHaveRun}}
	srv := serve(t, f, Limits{}, io.Discard)
	_, body, err := fetch(t, request(t, "POST", srv.URL+"/v1/completions", `{"model":"m","prompt":"one two","stream":true}`))
	is.True(err != nil) // the connection was cut
	is.True(strings.HasSuffix(body, "event: error\ndata: {\"error\":{\"type\":\"stream_broken\",\"message\":\"broke off\"},\"outcome\":\"may_have_run\"}\n\n"))
	is.True(!strings.Contains(body, "[DONE]"))
	res, body, err := fetch(t, request(t, "POST", srv.URL+"/v1/completions", `{"model":"m","prompt":"one two"}`))
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusBadGateway)
	is.True(!strings.Contains(body, "one"))
}

// Guards against a router that rejects valid keys for good before it knows the configuration.
func TestKeysBeforeTheConfiguration(t *testing.T) {
	for name, snapshot := range map[string]*config.Snapshot{"none": nil, "without accounts": {Applied: 1}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(New(Deps{Router: &fakeRouter{}, Source: fixedSource{snapshot}}))
			defer srv.Close()
			res, body, err := fetch(t, request(t, http.MethodPost, srv.URL+"/v1/completions", `{}`))
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusServiceUnavailable)
			is.Equal(res.Header.Get("Retry-After"), "1")
			is.True(strings.Contains(body, `"outcome":"not_run"`))
		})
	}
}

// writeRecorder records each write to the connections that it accepts.
type writeRecorder struct {
	net.Listener
	mu     sync.Mutex
	writes []string
}

type recordedConn struct {
	net.Conn
	recorder *writeRecorder
}

func (l *writeRecorder) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return recordedConn{conn, l}, err
}

func (c recordedConn) Write(b []byte) (int, error) {
	c.recorder.mu.Lock()
	c.recorder.writes = append(c.recorder.writes, string(b))
	c.recorder.mu.Unlock()
	return c.Conn.Write(b)
}

// Guards against a router that dies after [DONE], before the end of the response.
func TestDoneMarkerAndEndOfResponseAreOneWrite(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewUnstartedServer(New(Deps{Router: &fakeRouter{}, Source: source()}))
	recorder := &writeRecorder{Listener: srv.Listener}
	srv.Listener = recorder
	srv.Start()
	_, body, err := fetch(t, request(t, "POST", srv.URL+"/v1/completions", `{"model":"m","prompt":"one two","stream":true}`))
	srv.Close()
	is.NoErr(err)
	is.True(strings.HasSuffix(body, "data: [DONE]\n\n"))
	last := recorder.writes[len(recorder.writes)-1]
	is.True(strings.Contains(last, "data: [DONE]\n\n")) // the end of the response comes with the marker
	is.True(strings.HasSuffix(last, "\r\n0\r\n\r\n"))
	is.Equal(len(recorder.writes), 3) // each chunk is written at once
}

// Guards against refusals without a type, a correct outcome or Retry-After, and
// against API keys and prompts in the log.
func TestRefusals(t *testing.T) {
	const completionsPath = "/v1/completions"
	drained := &completions.Failure{Kind: completions.KindDraining, Message: "stopping", Outcome: completions.OutcomeNotRun, RetryAfter: 1500 * time.Millisecond}
	old := uuid.Must(uuid.NewV7()).String()
	cases := map[string]struct {
		method, path, body string
		headers            []string
		err                error
		status             int
		want               string
	}{
		"no key":       {"POST", completionsPath, `{}`, []string{"Authorization", "Bearer wrong"}, nil, 401, `"type":"unauthorized"`},
		"other scheme": {"POST", completionsPath, `{}`, []string{"Authorization", "Basic " + secret}, nil, 401, `"outcome":"not_run"`},
		"method":       {"GET", completionsPath, ``, nil, nil, 405, `"type":"invalid_request"`},
		"path":         {"POST", "/v2", `{}`, nil, nil, 404, `"type":"not_found"`},
		"no JSON":      {"POST", completionsPath, `{"model":`, nil, nil, 400, `body is not valid`},
		"no model":     {"POST", completionsPath, `{"prompt":"secret words"}`, nil, nil, 400, `model is missing`},
		"no prompt":    {"POST", completionsPath, `{"model":"m"}`, nil, nil, 400, `prompt is missing`},
		"two prompts":  {"POST", completionsPath, `{"model":"m","prompt":["a","b"]}`, nil, nil, 400, `exactly one`},
		"no messages":  {"POST", "/v1/chat/completions", `{"model":"m"}`, nil, nil, 400, `messages is missing`},
		"no role":      {"POST", "/v1/chat/completions", `{"model":"m","messages":[{"content":"x"}]}`, nil, nil, 400, `messages[0].role is missing`},
		"image":        {"POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[{"type":"image"}]}]}`, nil, nil, 400, `type text`},
		"max_tokens":   {"POST", completionsPath, `{"model":"m","prompt":"x","max_tokens":0}`, nil, nil, 400, `max_tokens must be`},
		"n":            {"POST", completionsPath, `{"model":"m","prompt":"x","n":2}`, nil, nil, 400, `n must be 1`},
		"deadline":     {"POST", completionsPath, `{"model":"m","prompt":"x"}`, []string{"X-Deadline-Ms", "soon"}, nil, 400, `X-Deadline-Ms`},
		"too large":    {"POST", completionsPath, `{"prompt":"` + strings.Repeat("x", 2000) + `"}`, nil, nil, 413, `larger than 1000 bytes`},
		"draining":     {"POST", completionsPath, `{"model":"m","prompt":"secret words"}`, nil, drained, 503, `"outcome":"not_run"`},
		"long key":     {"POST", "/svc/reserve/x", ``, []string{"Idempotency-Key", strings.Repeat("k", 201)}, nil, 400, `"outcome":"may_have_run"`},
		"bad age":      {"POST", "/svc/reserve/x", ``, []string{"Idempotency-Key", "k", "Idempotency-Created", "now", "Idempotency-First", "true"}, nil, 400, `"outcome":"not_run"`},
		"repeated key": {"POST", "/svc/reserve/x", ``, []string{"Idempotency-Key", old, "Authorization", "Bearer x"}, nil, 401, `"outcome":"may_have_run"`},
	}
	var logs bytes.Buffer
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := serve(t, &fakeRouter{err: c.err}, Limits{BodyBytes: 1000}, &logs)
			res, body, err := fetch(t, request(t, c.method, srv.URL+c.path, c.body, c.headers...))
			srv.Close()
			is.NoErr(err)
			is.Equal(res.StatusCode, c.status)
			is.True(strings.Contains(body, c.want))
			if c.err == error(drained) {
				is.Equal(res.Header.Get("Retry-After"), "2")
			}
			is.True(!strings.Contains(logs.String(), secret))
			is.True(!strings.Contains(logs.String(), "secret words"))
		})
	}
}

// Guards against service calls that lose their idempotency key, its creation time,
// path or body, and against private headers that are forwarded.
func TestServiceCall(t *testing.T) {
	is := is.New(t)
	f := &fakeRouter{}
	srv := serve(t, f, Limits{}, io.Discard)
	key := uuid.Must(uuid.NewV7())
	res, body, err := fetch(t, request(t, "PUT", srv.URL+"/svc/reserve/duct%2F7/a?x=1", "b", "Idempotency-Key", key.String(),
		"Idempotency-First", "true", "X-Deadline-Ms", "1500", "X-Plan", "p"))
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusCreated)
	is.Equal(res.Header.Get("X-Booking"), "7")
	is.Equal(body, "booked")
	got := f.calls[0]
	is.Equal(got.Path, "/duct%2F7/a?x=1")
	is.Equal(got.Route+got.Method+string(got.Body)+got.IdempotencyKey, "reservePUTb"+key.String())
	is.True(got.First && !got.Deadline.IsZero())
	seconds, _ := key.Time().UnixTime()
	is.Equal(got.KeyCreated.Unix(), seconds)
	is.Equal(got.Header.Get("X-Plan"), "p")
	is.Equal(got.Header.Get("Authorization")+got.Header.Get("Idempotency-Key"), "")
}

// Guards against an account that opens unlimited requests, and against work that
// continues after the caller disconnected.
func TestOpenRequestsAndDisconnect(t *testing.T) {
	is := is.New(t)
	f := &fakeRouter{block: make(chan struct{}), started: make(chan struct{})}
	srv := serve(t, f, Limits{OpenRequestsPerAccount: 1}, io.Discard)
	ctx, disconnect := context.WithCancel(t.Context())
	gone := make(chan error)
	body := `{"model":"m","prompt":"x","stream":true}`
	go func() {
		_, err := http.DefaultClient.Do(request(t, "POST", srv.URL+"/v1/completions", body).WithContext(ctx))
		gone <- err
	}()
	<-f.started
	res, text, err := fetch(t, request(t, "POST", srv.URL+"/v1/completions", body))
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusTooManyRequests)
	is.True(strings.Contains(text, `"outcome":"not_run"`))
	disconnect()
	is.True(<-gone != nil)
	srv.Close() // waits for the handler, which ends because its context is cancelled
}

// endlessRouter streams until the sink returns an error.
type endlessRouter struct {
	fakeRouter
	end chan error
}

func (f *endlessRouter) Completion(ctx context.Context, _ completions.CompletionRequest, sink completions.Sink) (completions.Completion, error) {
	text := strings.Repeat("x", 64<<10)
	for i := 0; ; i++ {
		if err := sink.Chunk(ctx, port.Chunk{Index: i, Text: text}); err != nil {
			f.end <- err
			return completions.Completion{}, err
		}
	}
}

// Guards against a caller that stops reading and keeps its request open forever.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	is := is.New(t)
	f := &endlessRouter{end: make(chan error, 1)}
	srv := httptest.NewServer(New(Deps{Router: f, Source: source(), Limits: Limits{WriteTimeout: 20 * time.Millisecond}}))
	defer srv.Close()
	res, err := http.DefaultClient.Do(request(t, "POST", srv.URL+"/v1/completions", `{"model":"m","prompt":"x","stream":true}`))
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	is.True(errors.Is(<-f.end, os.ErrDeadlineExceeded))
}

// Guards against inputs that crash the decoder or bypass its checks.
func FuzzDecodeCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":["x"],"max_tokens":3}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`), true)
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		in, err := decodeCompletion(data, chat, DefaultLimits)
		if err == nil && (in.model == "" || in.prompt == "" || in.maxTokens < 1 || in.maxTokens > DefaultLimits.MaxTokens) {
			t.Fatalf("accepted %+v", in)
		}
	})
}

// Guards against text that breaks the framing of events.
func FuzzSSEText(f *testing.F) {
	f.Add("a\nb\"\\\u2028", 3)
	f.Fuzz(func(t *testing.T, text string, index int) {
		w := httptest.NewRecorder()
		x := &exchange{s: New(Deps{}), w: w, rc: http.NewResponseController(w), id: "r"}
		if err := newSSESink(x, text, true).Chunk(t.Context(), port.Chunk{Index: index, Text: text}); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(w.Body)
		lines.Buffer(nil, 1<<20)
		n := 0
		for lines.Scan() {
			n++
		}
		if n != 3 { // id, data and the empty line
			t.Fatalf("%d lines", n)
		}
	})
}

// Guards against headers that crash the parser or pass with an oversized key.
func FuzzIdempotencyKey(f *testing.F) {
	f.Add("k", "2026-01-01T00:00:00Z")
	f.Add("0190163d-8694-739b-aea5-966c26f8ad91", "")
	f.Fuzz(func(t *testing.T, key, created string) {
		var req completions.ServiceRequest
		h := http.Header{"Idempotency-Key": {key}, "Idempotency-Created": {created}}
		if readIdempotencyKey(&req, h) == nil && len(req.IdempotencyKey) > maxKeyBytes {
			t.Fatal("accepted a key of " + strconv.Itoa(len(key)) + " bytes")
		}
	})
}

// Guards against a caller that never finishes its body and holds its connection for good.
func TestUnfinishedBodyIsCutOff(t *testing.T) {
	for name, body := range map[string]string{
		"length": "Content-Length: 100\r\n\r\n{\"model\"",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n8\r\n{\"model\"\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := serve(t, &fakeRouter{}, Limits{BodyTimeout: 100 * time.Millisecond}, io.Discard)
			conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+secret+"\r\n"+body)
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second))) // it is closed long before
			text, err := io.ReadAll(conn)
			is.NoErr(err) // the router has closed the connection
			is.True(strings.HasPrefix(string(text), "HTTP/1.1 400 "))
		})
	}
}
