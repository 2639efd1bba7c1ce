package httpcall

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/events"
)

// ErrSilent means that a call on a connection that was used before got no answer
// in its time, although the connection stayed open.
var ErrSilent = errors.New("nothing more came on a connection that was used before")

type (
	anewKey   struct{}
	promptKey struct{}
)

// Anew returns a context whose calls each make a new connection.
func Anew(ctx context.Context) context.Context { return context.WithValue(ctx, anewKey{}, true) }

// Prompt returns a context for calls that a server answers at once, whatever else
// it does. One that times out on a reused connection shows a silence by itself;
// of others, whose work may simply take longer, two in a row do.
func Prompt(ctx context.Context) context.Context { return context.WithValue(ctx, promptKey{}, true) }

// mayReuse reports whether a call may use an idle connection.
func (r Reuse) mayReuse(ctx context.Context) bool { return r == Reused && ctx.Value(anewKey{}) == nil }

// DoTwice is Do for a request that may run twice: if no byte of the answer has
// come on a reused connection within patience, the request goes once more on a
// new one. The context bounds both.
func (c *Client) DoTwice(ctx context.Context, addr string, req *fasthttp.Request, patience spanrill.Millis) (*Answer, error) {
	cn, err := c.connect(ctx, addr, Reused)
	if err != nil {
		return nil, err
	}
	if cn.reused {
		every := func() spanrill.Millis { return patience }
		cn.silence = &silence{every: every, do: cn.firstByte}
	}
	a, err := c.exchange(ctx, addr, cn, req)
	if errors.Is(err, ErrSilent) && ctx.Err() == nil {
		return c.Do(ctx, addr, req, Fresh)
	}
	return a, err
}

// firstByte ends a call that has got no byte.
func (cn *conn) firstByte(spanrill.Millis) error {
	if cn.received {
		return nil
	}
	cn.gaveUp = true
	return ErrSilent
}

// judge returns the error of a failed call. If reused connections of an address say
// nothing until the time of their calls is over, its idle ones are given up too: a
// look at them would find them open, as it found these.
func (c *Client) judge(ctx context.Context, addr string, cn *conn, err error) error {
	if !cn.reused || !cn.gaveUp && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return err
	}
	err = fmt.Errorf("%w: %w", ErrSilent, err)
	if !cn.gaveUp && ctx.Value(promptKey{}) == nil {
		if _, again := c.doubted.LoadOrStore(addr, true); !again {
			return err
		}
	}
	c.doubted.Delete(addr)
	dropped := c.idle.Drop(addr)
	c.meters.SilentConnections.Inc()
	events.ConnectionSilent.Log(c.log, logrus.Fields{
		"remote": addr, "kind": "call", "also_closed": dropped, "silent_ms": time.Since(cn.heard).Milliseconds(),
	})
	return err
}
