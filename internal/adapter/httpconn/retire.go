package httpconn

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// responseBody is the body of a response and the connection from which it is read.
type responseBody struct {
	io.ReadCloser
	use *connUse
	// endsWithConnection is set if nothing but the end of the connection ends the body.
	endsWithConnection bool
}

// ErrUploadBroken means that a connection, whose end would be the end of a response, ended before
// the request was written. Of a connection that the peer has reset, the write may be told and the
// read not, which then sees an ordinary end.
var ErrUploadBroken = eris.New("the connection ended before the request was written")

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.endsWithConnection && errors.Is(err, io.EOF) && b.use != nil && b.use.conn != nil && b.use.conn.uploadBroken() {
		err = ErrUploadBroken
	}
	return n, err
}

// Retire keeps further requests from the connection of a response that Send returned. A peer
// may send a second copy of a refusal late, which would be the answer to the next request.
func Retire(r *http.Response) {
	if b, ok := r.Body.(*responseBody); ok && b.use != nil && b.use.conn != nil {
		b.use.conn.retire(b.use.number)
	}
}
