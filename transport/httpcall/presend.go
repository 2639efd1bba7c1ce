package httpcall

import "context"

type presendKey struct{}

// WithPresendCheck returns a context whose calls run check once they have a connection, just
// before the first byte is sent. If check fails, the call fails with nothing written, and the
// connection is kept for the next call.
func WithPresendCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, presendKey{}, check)
}

// hasPresendCheck reports whether a call has a pre-send check, as callers' requests have. Only such
// a call fails with errClosedAtOnce if the upstream closes a new connection at once. Any other call,
// such as a status query, then counts as unanswered.
func hasPresendCheck(ctx context.Context) bool { return ctx.Value(presendKey{}) != nil }

// runPresendCheck runs the check of WithPresendCheck, if the context has one.
func runPresendCheck(ctx context.Context) error {
	if check, ok := ctx.Value(presendKey{}).(func() error); ok {
		return check()
	}
	return nil
}
