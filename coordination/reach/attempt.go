package reach

import (
	"context"
	"fmt"
	"net"

	"spanrill"
)

// attempt is a connection attempt. It goes on when its caller gives up, because its result tells
// whether a path works.
type attempt struct {
	begunAt spanrill.Millis
	done    chan struct{} // closed once conn or err is set
	conn    net.Conn
	err     error
}

// isDone reports whether the attempt has ended.
func (a *attempt) isDone() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// errNow returns the error of the attempt if it has ended.
func (a *attempt) errNow() error {
	if a.isDone() {
		return a.err
	}
	return nil
}

// start runs an attempt on a goroutine of its own.
func (d *Dialer) start(ctx context.Context, name string, dial func(context.Context) (net.Conn, error)) *attempt {
	a := &attempt{begunAt: d.clock.Now(), done: make(chan struct{})}
	d.tasks.Start(context.WithoutCancel(ctx), name, func(ctx context.Context) error {
		defer close(a.done)
		a.conn, a.err = dial(ctx)
		return nil
	})
	return a
}

// discard closes the connection of an attempt that is not used.
func (d *Dialer) discard(a *attempt) {
	d.tasks.Start(context.Background(), "discard connection", func(context.Context) error {
		<-a.done
		if a.conn != nil {
			_ = a.conn.Close()
		}
		return nil
	})
}

// startDirect starts to connect over this daemon's own path and records a success. A failure alone
// does not tell whether the path or the upstream is the cause.
func (d *Dialer) startDirect(ctx context.Context, service, addr string) *attempt {
	startedAt := d.clock.Now()
	return d.start(ctx, "connect to upstream", func(ctx context.Context) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, d.timeout.Duration())
		defer cancel()
		conn, err := d.direct(ctx, "tcp", addr)
		if err != nil {
			if !spanrill.IsLocalResourceError(err) {
				d.meters.CountConnectFailure(spanrill.IsConnectionRefused(err))
				d.paths.recordNotConnected(service)
			}
			return nil, fmt.Errorf("dial: %w", err)
		}
		d.directTime.record(d.clock.Now() - startedAt)
		d.compareBudget.add(compareTokensPerConnection)
		d.paths.recordConnected(service, addr)
		return conn, nil
	})
}

// startHelp starts to connect through a helper.
func (d *Dialer) startHelp(ctx context.Context, service, addr string) *attempt {
	return d.start(ctx, "connect through helper", func(ctx context.Context) (net.Conn, error) {
		return d.dialThroughHelper(ctx, service, addr)
	})
}
