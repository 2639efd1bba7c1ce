package exchange

import "context"

// pause waits for the next round. Wake ends the wait, but not before minRoundInterval.
func (e *Exchange) pause(ctx context.Context) {
	due, wake := e.clock.After(e.NextPause()), e.wake
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			return
		case <-wake:
			remaining := e.roundBegunAt + minRoundInterval - e.clock.Now()
			if remaining <= 0 {
				return
			}
			due, wake = e.clock.After(remaining), nil
		}
	}
}

// Wake makes Run begin the next round earlier. It is safe for concurrent use.
func (e *Exchange) Wake() {
	select {
	case e.wake <- struct{}{}:
	default: // it is already awake
	}
}
