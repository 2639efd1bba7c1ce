package httpcall

import "context"

type beforeKey struct{}

// Before has a call ask check when its connection stands, just before the first byte is
// sent. An error ends the call with nothing written, and the connection is kept for the
// next one.
func Before(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, beforeKey{}, check)
}

func checkBefore(ctx context.Context) error {
	if check, ok := ctx.Value(beforeKey{}).(func() error); ok {
		return check()
	}
	return nil
}
