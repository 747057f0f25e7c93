package enginehttp

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Guards against a fast path that decodes a chunk differently from encoding/json.
func TestPlainChunksDecodeAsJSON(t *testing.T) {
	is.New(t).NoErr(flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.String(), rapid.StringMatching(`[ -~]*`), rapid.StringMatching(`(a|ö|\\["\\/bfnrtux]|\\u00e9|\\)*`), rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) })).Draw(t, "text")
		index := rapid.SampledFrom([]string{"0", "7", "07", "-1", "123456789", "1234567890", "1e2", "", "9999999999999999999999"}).Draw(t, "index")
		data := []byte(`{"index":` + index + `,"text":"` + text + `","finish_reason":null}`)
		var wire wireChunk
		err := json.Unmarshal(data, &wire)
		chunk, plain := parsePlain(data)
		if plain && (err != nil || chunk.Index != *wire.Index || chunk.Text != wire.Text) {
			t.Fatalf("%q: fast path read %+v, encoding/json %+v, %v", data, chunk, wire, err)
		}
	})
}

// Guards against prompts that are altered by the encoding.
func TestCompletionsEncodeAsJSON(t *testing.T) {
	is.New(t).NoErr(flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.String(), rapid.StringMatching(`[a-z"\\\n\t\x01<>&]*`), rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) }))
		g := port.Generation{
			Model: text.Draw(t, "model"), Prompt: text.Draw(t, "prompt"), MaxTokens: rapid.IntRange(0, 1<<30).Draw(t, "tokens"),
			Priority: rapid.Int().Draw(t, "priority"), ResumeFrom: rapid.IntRange(0, 2).Draw(t, "from"), ResumeText: text.Draw(t, "text"),
		}
		want := map[string]any{
			"model": g.Model, "prompt": g.Prompt, "priority": g.Priority, "stream": true,
		}
		if g.MaxTokens != 0 {
			want["max_tokens"] = g.MaxTokens
		}
		if g.ResumeFrom > 0 {
			want["resume"] = map[string]any{"from": g.ResumeFrom, "text": g.ResumeText}
		}
		wantJSON, _ := json.Marshal(want)
		var got any
		if err := json.Unmarshal(encodeCompletion(g), &got); err != nil {
			t.Fatal(err)
		}
		var decoded any
		_ = json.Unmarshal(wantJSON, &decoded)
		if !reflect.DeepEqual(got, decoded) {
			t.Fatalf("encoded %v, want %v", got, decoded)
		}
	})
}

func read(body string) ([]port.Chunk, error) {
	s := newStream("e", &http.Response{Body: io.NopCloser(strings.NewReader(body))}, func() {}, 4096)
	defer s.Close()
	var chunks []port.Chunk
	for {
		chunk, err := s.Next()
		if err != nil {
			return chunks, err
		}
		chunks = append(chunks, chunk)
	}
}

// Guards against streams that count as complete without a terminal marker, and
// against lines of unlimited size.
func TestStreamEnds(t *testing.T) {
	const last = `data: {"index":1,"text":"b","finish_reason":"stop","usage":{"prompt_tokens":3,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":1}}}` + "\n\n"
	const first = `data: {"index":0,"text":"a","finish_reason":null}` + "\n\n"
	cases := map[string]struct {
		body     string
		chunks   int
		complete bool
	}{
		"complete":                     {first + last + "data: [DONE]\n\n", 2, true},
		"CRLF, comments, no space":     {": hi\r\n\r\nid: 0\r\n" + strings.Replace(first, "data: ", "data:", 1) + last + "data:[DONE]\r\n\r\n", 2, true},
		"nothing":                      {"", 0, false},
		"no terminal marker":           {first + last, 2, false},
		"no finish reason":             {first + "data: [DONE]\n\n", 1, false},
		"cut inside the marker":        {first + last + "data: [DONE]", 2, false},
		"cut inside a chunk":           {first + last[:30], 1, false},
		"error event":                  {first + "event: error\ndata: {}\n\n", 1, false},
		"no index":                     {`data: {"text":"a"}` + "\n\n", 0, false},
		"not JSON":                     {"data: hello\n\n", 0, false},
		"long line":                    {`data: {"index":0,"text":"` + strings.Repeat("x", 4000) + `","finish_reason":null}` + "\n\n" + last + "data: [DONE]\n", 2, true},
		"line over the limit":          {`data: {"index":0,"text":"` + strings.Repeat("x", 5000) + `","finish_reason":null}` + "\n\n" + last, 0, false},
		"nothing is read past the end": {first + last + "data: [DONE]\n\n" + first, 2, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			chunks, err := read(c.body)
			is.Equal(len(chunks), c.chunks)
			is.Equal(err == io.EOF, c.complete)
			broken, ok := err.(*port.BrokenStreamError)
			is.True(c.complete || ok && broken.Chunks == c.chunks)
		})
	}
}

// waitingBody blocks reads until its context is cancelled.
type waitingBody struct {
	ctx     context.Context
	entered chan struct{}
}

func (b waitingBody) Read([]byte) (int, error) {
	close(b.entered)
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (waitingBody) Close() error { return nil }

// Guards against a stalled stream that cannot be closed.
func TestCloseEndsWaitingRead(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	body := waitingBody{ctx: ctx, entered: make(chan struct{})}
	s := newStream("e", &http.Response{Body: body}, cancel, 4096)
	failed := make(chan error)
	go func() {
		_, err := s.Next()
		failed <- err
	}()
	<-body.entered
	go func() { _ = s.Close() }()
	_, broken := (<-failed).(*port.BrokenStreamError)
	is.True(broken)
}
