package layoutrun

import (
	"context"
	"fmt"
)

// callsAtOnce bounds the orders and questions of a layout that are under way at a time: a
// thirtieth of the descriptors of a daemon of today. When the first layout of 2,730 engines was
// ordered over a connection each, 573 orders of a daemon with 2,400 descriptors failed, and
// engines were taken for dead for it.
const callsAtOnce = 128

// calls lets that many calls be under way. The time in which a call must be answered counts
// from when it may begin.
type calls chan struct{}

func newCalls() calls { return make(calls, callsAtOnce) }

// enter waits until a call may begin, or the context ends.
func (c calls) enter(ctx context.Context) error {
	select {
	case c <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for other calls: %w", ctx.Err())
	}
}

// leave ends a call.
func (c calls) leave() { <-c }
