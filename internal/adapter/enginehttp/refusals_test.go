package enginehttp

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/rawhttp"
)

// Guards against a second copy of an earlier refusal, with or without its attempt, that makes
// an attempt, an order or a transfer that the engine carries out count as refused.
func TestCopyOfARefusalIsNotTaken(t *testing.T) {
	stream := chunkZero + lastChunk + done
	calls := map[string]func(t *testing.T, c *Client, address, id string) error{
		"attempt": func(t *testing.T, c *Client, address, id string) error {
			text, err := generate(t, c, address, id)
			if err == nil && text != "ab" {
				t.Error("another stream", text)
			}
			return err
		},
		"order": func(t *testing.T, c *Client, address, id string) error {
			return c.Order(t.Context(), address, port.Order{ID: id})
		},
		"import": func(t *testing.T, c *Client, address, id string) error {
			return c.ImportKV(t.Context(), address, port.KVTransfer{StoreKey: id})
		},
		"cancel": func(t *testing.T, c *Client, address, id string) error { return c.Cancel(t.Context(), address, id) },
		"load": func(t *testing.T, c *Client, address, _ string) error {
			_, err := c.Load(t.Context(), address)
			return err
		},
	}
	for _, status := range []string{"400 Bad", "409 Conflict", "412 Changed", "429 Slow", "500 Failed", "503 Full"} {
		for _, attempt := range []string{"", "X-Attempt-Id: 1\r\n"} {
			for _, body := range []string{"", `{"error":{"type":"overloaded"}}`} {
				for what, call := range calls {
					t.Run(fmt.Sprintf("%s, %s, %q, %q", what, status, attempt, body), func(t *testing.T) {
						t.Parallel()
						is := is.New(t)
						refusal := fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, attempt, len(body), body)
						refused := false
						c, s := serveRaw(t, func(conn *rawhttp.Conn, r *http.Request) bool {
							if !refused {
								refused = true
								conn.Requests++
								return conn.Send(refusal)
							}
							if conn.Requests > 0 { // it has carried the refusal
								conn.Send(refusal)
							}
							answer, contentType := "{}", "application/json"
							if strings.HasSuffix(r.URL.Path, "/completions") {
								answer, contentType = stream, "text/event-stream"
							}
							return conn.Send(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", contentType, len(answer), answer))
						})
						is.True(call(t, c, s.Address(), "1") != nil)
						is.NoErr(call(t, c, s.Address(), "2"))
						is.NoErr(call(t, c, s.Address(), "3"))
					})
				}
			}
		}
	}
}

// Guards against the text of an error that counts as a chunk of a resumed attempt, and against
// an attempt that counts as complete with it.
func TestErrorsAreNoChunks(t *testing.T) {
	whole := func(status, contentType, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, contentType, len(body), body)
	}
	head := "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull"
	for name, answer := range map[string]string{
		"refusal":                  whole("503 Full", "text/plain", "full"),
		"failure as a stream":      whole("500 Failed", "text/event-stream", lastChunk+done),
		"bad request as a stream":  whole("400 Bad", "text/event-stream", lastChunk+done),
		"partial content":          whole("206 Partial", "text/event-stream", lastChunk+done),
		"redirect":                 whole("302 Found", "text/event-stream", lastChunk+done),
		"page":                     whole("200 OK", "text/html", "<p>failed</p>\n\n"),
		"JSON":                     whole("200 OK", "application/json", `{"error":1}`),
		"text":                     whole("200 OK", "text/plain", lastChunk+done),
		"empty":                    whole("200 OK", "text/event-stream", ""),
		"page as a stream":         whole("200 OK", "text/event-stream", "<p>failed</p>\n\n"),
		"head in the stream":       whole("200 OK", "text/event-stream", head),
		"JSON error in the stream": whole("200 OK", "text/event-stream", "data: {\"error\":{\"type\":\"overloaded\"}}\n\n"),
		"error event":              whole("200 OK", "text/event-stream", "event: error\ndata: {\"index\":1,\"text\":\"overloaded\",\"finish_reason\":\"stop\"}\n\n"+done),
		"marker alone":             whole("200 OK", "text/event-stream", done),
		"head instead of a chunk":  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + head,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c, s := serveRaw(t, func(conn *rawhttp.Conn, _ *http.Request) bool {
				conn.Send(answer)
				return false
			})
			text, err := generate(t, c, s.Address(), "1")
			is.Equal(text, "")
			is.True(err != nil)
			var broken *port.BrokenStreamError
			is.True(!errors.As(err, &broken) || broken.Chunks == 0)
		})
	}
}
