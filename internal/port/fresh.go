package port

import "context"

type freshConnectionKey struct{}

// WithFreshConnection makes adapters run the calls made under ctx on a new
// connection, because a pooled one may no longer respond.
func WithFreshConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshConnectionKey{}, true)
}

// FreshConnectionRequested reports whether calls under ctx need a new connection.
func FreshConnectionRequested(ctx context.Context) bool {
	fresh, _ := ctx.Value(freshConnectionKey{}).(bool)
	return fresh
}
