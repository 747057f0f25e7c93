package httpconn

import (
	"io"
	"net/http"
)

// responseBody is the body of a response and the connection from which it is read.
type responseBody struct {
	io.ReadCloser
	use *connUse
}

// Retire keeps further requests from the connection of a response that Send returned. A peer
// may send a second copy of a refusal late, which would be the answer to the next request.
func Retire(r *http.Response) {
	if b, ok := r.Body.(*responseBody); ok && b.use != nil && b.use.conn != nil {
		b.use.conn.retire(b.use.number)
	}
}
