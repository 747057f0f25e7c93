package harness

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
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
