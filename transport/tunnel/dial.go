package tunnel

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// expired is a deadline in the past. Setting it makes pending reads and writes return at once.
var expired = time.Unix(1, 0)

// Dial connects to the helper at an address and returns a connection to the target. The error is an
// *OpenError if the helper answered that it could not connect. In any case of an error the upstream
// has received no byte.
func Dial(ctx context.Context, helper string, secret []byte, target Target) (*Conn, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", helper)
	if err != nil {
		return nil, fmt.Errorf("connect to helper: %w", err)
	}
	setKeepAlive(nc)
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(expired) })
	conn, err := open(nc, helper, secret, target)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = nc.Close()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ctx.Err(), err)
		}
		return nil, fmt.Errorf("tunnel through %s: %w", helper, err)
	}
	return conn, nil
}

// open asks the helper at the other end of nc for a connection to the target.
func open(nc net.Conn, helper string, secret []byte, target Target) (*Conn, error) {
	s, err := handshake(nc, secret, true)
	if err != nil {
		return nil, err
	}
	if err := s.writeMessage(kindOpen, &target); err != nil {
		return nil, err
	}
	f, err := s.readFrame()
	if err != nil {
		return nil, fmt.Errorf("read reply: %w", err)
	}
	switch f.Kind {
	case kindOpened:
		conn := &Conn{session: s, helper: helper}
		if err := msgpack.Unmarshal(f.Payload, &conn.answer); err != nil {
			return nil, fmt.Errorf("decode reply: %w", err)
		}
		return conn, nil
	case kindFailed:
		failure := &OpenError{}
		if err := msgpack.Unmarshal(f.Payload, failure); err != nil {
			return nil, fmt.Errorf("decode reply: %w", err)
		}
		return nil, failure
	}
	return nil, errProtocol
}
