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
	var conn *Conn
	err := connect(ctx, helper, secret, func(s *session) (err error) {
		conn, err = open(s, helper, target)
		return err
	})
	return conn, err
}

// Ask returns what the helper at an address knows about helpers for a service.
func Ask(ctx context.Context, helper string, secret []byte, question Question) (Told, error) {
	var told Told
	err := connect(ctx, helper, secret, func(s *session) error {
		defer func() { _ = s.Close() }()
		return ask(s, question, &told)
	})
	return told, err
}

// connect connects to a helper and uses the connection until use returns or the context ends. It closes
// the connection in case of an error.
func connect(ctx context.Context, helper string, secret []byte, use func(*session) error) error {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", helper)
	if err != nil {
		return fmt.Errorf("connect to helper: %w", err)
	}
	setKeepAlive(nc)
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(expired) })
	s, err := handshake(nc, secret, true)
	if err == nil {
		err = use(s)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = nc.Close()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ctx.Err(), err)
		}
		return fmt.Errorf("tunnel through %s: %w", helper, err)
	}
	return nil
}

// ask sends a question and reads the answer.
func ask(s *session, question Question, told *Told) error {
	if err := s.writeMessage(kindAsk, &question); err != nil {
		return err
	}
	f, err := s.readFrame()
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if f.Kind != kindTold {
		return errProtocol
	}
	if err := msgpack.Unmarshal(f.Payload, told); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// open asks a helper for a connection to the target.
func open(s *session, helper string, target Target) (*Conn, error) {
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
