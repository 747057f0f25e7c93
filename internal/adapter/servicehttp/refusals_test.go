package servicehttp

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/standin/rawhttp"
)

// Guards against a second copy of an earlier refusal, with or without its attempt, that makes
// a call that runs count as not run.
func TestCopyOfARefusalIsNotTaken(t *testing.T) {
	for _, status := range []string{"400 Bad", "409 Conflict", "421 Other", "429 Slow", "503 Full", "599 Odd"} {
		for _, attempt := range []string{"", "X-Attempt-Id: 1\r\n"} {
			for _, body := range []string{"", "full"} {
				t.Run(fmt.Sprintf("%s, %q, %q", status, attempt, body), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					var runs atomic.Int64
					refusal := fmt.Sprintf("HTTP/1.1 %s\r\nX-Not-Run: true\r\n%sContent-Length: %d\r\n\r\n%s", status, attempt, len(body), body)
					c, s := serve(t, func(conn *rawhttp.Conn, r *http.Request) bool {
						if r.Header.Get("X-Attempt-Id") == "1" {
							conn.Requests++
							return conn.Send(refusal)
						}
						runs.Add(1)
						if conn.Requests > 0 { // it has carried the refusal
							conn.Send(refusal)
						}
						return conn.Send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
					})
					var notRun *port.NotRunError
					_, _, err := exchange(t, c, s.Address(), call("1"))
					is.True(errors.As(err, &notRun))
					for _, id := range []string{"2", "3"} {
						_, text, err := exchange(t, c, s.Address(), call(id))
						is.NoErr(err)
						is.Equal(text, "own")
					}
					is.Equal(runs.Load(), int64(2))
				})
			}
		}
	}
}
