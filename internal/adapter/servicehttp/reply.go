package servicehttp

import (
	"context"
	"io"
	"net/http"
	"strings"

	"mimosaseam.example/mimosaseam/internal/port"
)

// replyBody types the failures of a reply's body and bounds its size.
type replyBody struct {
	address string
	body    io.ReadCloser
	left    int64
	cancel  context.CancelFunc
}

func (b *replyBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, &port.UnknownOutcomeError{Peer: b.address, Cause: ErrTooLarge}
	}
	// Readers compare with io.EOF, so it is passed as it is.
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

// connectionOptions returns the header names that Connection lists.
func connectionOptions(h http.Header) []string {
	var names []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}
