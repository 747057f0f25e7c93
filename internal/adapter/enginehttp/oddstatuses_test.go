package enginehttp_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/adapter/enginehttp"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/rawhttp"
)

// Guards against a status that HTTP does not have, or that is none of a final response, and that
// counts as the begin of a stream or as a refusal, which would mean that nothing ran.
func TestOddStatusBeginsNoStream(t *testing.T) {
	for _, status := range []string{"000", "099", "100", "101", "103", "199", "600", "999", "0200", "20", "2", "-20", "abc", "2x0"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			server, err := rawhttp.New(func(c *rawhttp.Conn, _ *http.Request) bool {
				c.Send("HTTP/1.1 " + status + " Odd\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\ndata: [DONE]\n\n")
				return false
			})
			is.NoErr(err)
			defer server.Close()
			client := enginehttp.New(enginehttp.Options{})
			_, err = client.Generate(context.Background(), server.Address(), port.Generation{RequestID: "r", AttemptID: "a", Model: "m", Prompt: "p", MaxTokens: 1, Deadline: time.Now().Add(10 * time.Second)})
			var unknown *port.UnknownOutcomeError
			is.True(errors.As(err, &unknown))
		})
	}
}
