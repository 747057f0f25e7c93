package port

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

// Guards against errors that lose their cause or name the wrong peer.
func TestErrorsNamePeerAndCause(t *testing.T) {
	cause := eris.New("connection reset")
	cases := map[string]struct {
		err  error
		want string
	}{
		"unavailable":  {&UnavailableError{Peer: "log", Cause: cause}, "log is unavailable: connection reset"},
		"unknown":      {&UnknownOutcomeError{Peer: "log"}, "no answer from log, the outcome is unknown"},
		"rate limited": {&RateLimitedError{Peer: "weight store", RetryAfter: time.Second}, "weight store is over its rate limit, retry after 1s"},
		"expired":      {&ExpiredError{Stream: "config", From: 2, Oldest: 9}, `offset 2 of stream "config" has expired, the oldest is 9`},
		"not run":      {&NotRunError{Target: "e1", Reason: NotRunLoading}, "target e1 did not run the attempt: loading"},
		"broken":       {&BrokenStreamError{Target: "e1", Chunks: 3}, "stream from e1 broke after 3 chunks"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(c.err.Error(), c.want)
		})
	}
}
