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

// ErrSilent means that a call on a reused connection timed out although the connection stayed
// open.
var ErrSilent = errors.New("reused connection is silent")

type (
	newConnKey      struct{}
	promptAnswerKey struct{}
)

// WithNewConn returns a context whose calls each make a new connection.
func WithNewConn(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnKey{}, true)
}

// WithPromptAnswer returns a context for calls that a server answers at once however busy it is.
// One timeout of such a call on a reused connection shows that the connection is silent. For other
// calls, whose work may just take longer, two timeouts in a row are needed.
func WithPromptAnswer(ctx context.Context) context.Context {
	return context.WithValue(ctx, promptAnswerKey{}, true)
}

// mayReuse reports whether a call may use an idle connection.
func (r Reuse) mayReuse(ctx context.Context) bool {
	return r == ReuseAllowed && ctx.Value(newConnKey{}) == nil
}

// DoWithRetry is Do for a request that may run twice: if no byte of the answer arrives on a reused
// connection within firstByteTimeout, the request is sent once more on a new connection. The
// context bounds both attempts.
func (c *Client) DoWithRetry(ctx context.Context, addr string, req *fasthttp.Request, firstByteTimeout spanrill.Millis) (*Answer, error) {
	cn, err := c.connect(ctx, addr, ReuseAllowed)
	if err != nil {
		return nil, err
	}
	if cn.reused {
		interval := func() spanrill.Millis { return firstByteTimeout }
		cn.silence = &silenceHandler{interval: interval, handle: cn.requireFirstByte}
	}
	a, err := c.exchange(ctx, addr, cn, req)
	if errors.Is(err, ErrSilent) && ctx.Err() == nil {
		return c.Do(ctx, addr, req, ReuseNever)
	}
	return a, err
}

// requireFirstByte is a silence handler that ends a call if no byte of its answer has arrived.
func (cn *conn) requireFirstByte(spanrill.Millis) error {
	if cn.received {
		return nil
	}
	cn.firstByteTimedOut = true
	return ErrSilent
}

// handleSilence wraps the error of a failed call in ErrSilent if the call timed out on a reused
// connection. If that shows that the connections to addr have gone silent (see WithPromptAnswer), it
// also closes the idle ones, since a probe would find them open, as it found this one.
func (c *Client) handleSilence(ctx context.Context, addr string, cn *conn, err error) error {
	if !cn.reused || !cn.firstByteTimedOut && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return err
	}
	err = fmt.Errorf("%w: %w", ErrSilent, err)
	if !cn.firstByteTimedOut && ctx.Value(promptAnswerKey{}) == nil {
		if _, repeated := c.timedOutOnce.LoadOrStore(addr, true); !repeated {
			return err
		}
	}
	c.timedOutOnce.Delete(addr)
	dropped := c.idle.Drop(addr)
	c.meters.SilentConnections.Inc()
	events.ConnectionSilent.Log(c.log, logrus.Fields{
		"remote": addr, "kind": "call", "also_closed": dropped, "silent_ms": time.Since(cn.lastReceived).Milliseconds(),
	})
	return err
}
