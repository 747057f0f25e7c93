package servicehttp

import (
	"context"
	"io"
	"net/http"
	"strings"

	"mimosaseam.example/mimosaseam/internal/port"
)

// replyBody limits the size of a reply's body and converts read errors to
// UnknownOutcomeError.
type replyBody struct {
	address   string
	body      io.ReadCloser
	remaining int64
	cancel    context.CancelFunc
}

func (b *replyBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, &port.UnknownOutcomeError{Peer: b.address, Cause: ErrTooLarge}
	}
	// io.EOF is returned unwrapped, because readers compare with it.
	if err != nil && err != io.EOF {
		return n, &port.UnknownOutcomeError{Peer: b.address, Cause: err}
	}
	return n, err
}

func (b *replyBody) Close() error {
	err := b.body.Close()
	b.cancel()
	return err
}

// connectionOptions returns the header names listed in Connection.
func connectionOptions(h http.Header) []string {
	var names []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}
