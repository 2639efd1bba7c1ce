package layoutrun

import (
	"context"
	"fmt"
)

// maxConcurrentCalls bounds the orders and report requests that are in flight at a time, to a
// thirtieth of a daemon's usual descriptors. Without it, the first layout of 2,730 engines opened
// a connection to each, 573 orders of a daemon with 2,400 descriptors failed, and engines were
// considered dead because of it.
const maxConcurrentCalls = 128

// callSlots is a semaphore of maxConcurrentCalls slots. A call starts its timeout only once it
// has a slot.
type callSlots chan struct{}

func newCallSlots() callSlots { return make(callSlots, maxConcurrentCalls) }

// acquire waits for a free slot, or until the context ends.
func (c callSlots) acquire(ctx context.Context) error {
	select {
	case c <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for a free call slot: %w", ctx.Err())
	}
}

// release frees a slot.
func (c callSlots) release() { <-c }
