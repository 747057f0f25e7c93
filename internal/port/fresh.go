package port

import "context"

type freshConnectionKey struct{}

// WithFreshConnection asks adapters to run the calls made under ctx on a new
// connection, because a pooled one may have gone silent.
func WithFreshConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshConnectionKey{}, true)
}

// FreshConnectionRequested reports whether ctx asks for a new connection.
func FreshConnectionRequested(ctx context.Context) bool {
	fresh, _ := ctx.Value(freshConnectionKey{}).(bool)
	return fresh
}
