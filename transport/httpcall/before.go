package httpcall

import "context"

type beforeKey struct{}

// Before has a call ask check when its connection stands, just before the first byte is
// sent. An error ends the call with nothing written, and the connection is kept for the
// next one.
func Before(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, beforeKey{}, check)
}

// isRequest reports whether a call is one that must not reach an upstream at any time, as
// callers' requests are. For a question a connection that is closed at once is one that did
// not answer, and not one that nobody takes.
func isRequest(ctx context.Context) bool { return ctx.Value(beforeKey{}) != nil }

func checkBefore(ctx context.Context) error {
	if check, ok := ctx.Value(beforeKey{}).(func() error); ok {
		return check()
	}
	return nil
}
