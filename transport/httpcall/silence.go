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

type anewKey struct{}

// Anew returns a context whose calls each make a new connection.
func Anew(ctx context.Context) context.Context { return context.WithValue(ctx, anewKey{}, true) }

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

// judge returns the error of a failed call. If a reused connection said nothing
// until the call's time was over, the idle ones of its address are given up too:
// a look at them would find them open, as it found this one.
func (c *Client) judge(ended error, addr string, cn *conn, err error) error {
	if !cn.reused || !cn.gaveUp && !errors.Is(ended, context.DeadlineExceeded) {
		return err
	}
	dropped := c.idle.Drop(addr)
	c.meters.SilentChannels.Inc()
	events.ChannelSilent.Log(c.log, logrus.Fields{
		"remote": addr, "kind": "call", "also_closed": dropped, "silent_ms": time.Since(cn.heard).Milliseconds(),
	})
	return fmt.Errorf("%w: %w", ErrSilent, err)
}
