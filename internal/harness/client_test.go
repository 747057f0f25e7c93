package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/standin/engine"
)

// Guards against reporting a stream whose connection breaks within a line as out of
// order, and against missing real gaps.
func TestStreamThatBreaksWithinALine(t *testing.T) {
	event := func(i int) string { return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n", i) }
	var chunks strings.Builder
	for i := range 12 {
		chunks.WriteString(event(i))
	}
	cases := map[string]struct {
		sent string
		gap  bool
	}{
		"truncated data line":    {event(0) + event(1) + "id: 2\ndata: {\"choi", false},
		"truncated id line":      {chunks.String() + "id: 1", false},
		"missing chunk":          {event(0) + event(2), true},
		"duplicate chunk":        {event(0) + event(0), true},
		"chunk that is not JSON": {event(0) + "id: 1\ndata: {\n\n", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(c.sent))
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			a := Stream(t.Context(), Completion{Address: strings.TrimPrefix(server.URL, "http://"), ID: "r1"})
			is.Equal(a.Gap, c.gap)
			is.True(a.Err != nil)
			is.True(!a.Done)
		})
	}
}

// Guards against taking a complete text for a short one because the connection broke
// after [DONE], and a short one for a complete one.
func TestStreamThatBreaksAfterTheTerminalMarker(t *testing.T) {
	const prompt, tokens = "a prompt", 5
	for sent, whole := range map[int]bool{tokens: true, tokens - 1: false} {
		t.Run(fmt.Sprint(sent, " chunks"), func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for i := range sent {
					text, _ := json.Marshal(engine.ChunkText(prompt, InitialWeightsVersion, i))
					fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"text\":%s}]}\n\n", i, text)
				}
				_, _ = io.WriteString(w, "data: [DONE]\n\n")
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			resp := Stream(t.Context(), Completion{Address: strings.TrimPrefix(server.URL, "http://"), ID: "r1"})
			is.True(resp.Done && resp.Interrupted())
			is.Equal(resp.HasAllText(prompt, tokens, InitialWeightsVersion), whole)
			is.True(!resp.IsComplete(prompt, tokens, InitialWeightsVersion))
		})
	}
}
