package httpconn

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// attemptHeader names the attempt of a request. Targets may echo it.
const attemptHeader = "X-Attempt-Id"

// ErrAnotherAttempt means that a response belongs to another attempt: a target has sent a
// second copy of it on a connection that was in use again.
var ErrAnotherAttempt = eris.New("the response carries the id of another attempt")

// OfAnotherAttempt reports whether a response carries the id of another attempt than the
// one that the request carried.
func OfAnotherAttempt(r *http.Response, attempt string) bool {
	echo := r.Header.Get(attemptHeader)
	return echo != "" && echo != attempt
}
