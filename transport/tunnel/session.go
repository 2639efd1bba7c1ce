package tunnel

import (
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"spanrill/transport/frame"
)

// session is a connection between two daemons that carries authenticated frames. One goroutine may
// read while others write.
type session struct {
	net.Conn
	reader *frame.Reader
	in     []byte // bytes that were read and not decoded yet

	mu     sync.Mutex // keeps the frames in sequence
	writer *frame.Writer
	out    []byte // buffer for the frame to be written
}

// protocol is the protocol of this package in the derivation of keys.
const protocol = "tunnel "

const (
	nonceSize = 16
	// chunkSize is the maximum number of bytes of the connection in one frame: several events of a
	// stream.
	chunkSize = 16 << 10
	// maxBuffered is the maximum size of a frame that a side accepts.
	maxBuffered = chunkSize + frame.HeaderSize + frame.TagSize
)

// errProtocol means that the other side sent a frame that is not allowed at this point.
var errProtocol = errors.New("unexpected frame")

// handshake exchanges nonces and returns a session whose frames have keys of their own.
func handshake(conn net.Conn, secret []byte, isDialer bool) (*session, error) {
	s := &session{Conn: conn, reader: frame.NewReader(frame.HelloKey(secret, protocol)), writer: frame.NewWriter(frame.HelloKey(secret, protocol))}
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	if isDialer {
		if err := s.writeFrame(kindHello, nonce); err != nil {
			return nil, fmt.Errorf("send hello: %w", err)
		}
	}
	f, err := s.readFrame()
	if err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	if f.Kind != kindHello || len(f.Payload) != nonceSize {
		return nil, fmt.Errorf("read hello: %w", errProtocol)
	}
	peerNonce := append([]byte(nil), f.Payload...)
	if isDialer {
		dialer, listener := frame.SessionKeys(secret, protocol, nonce, peerNonce)
		s.reader.Rekey(listener)
		s.writer = frame.NewWriter(dialer)
		return s, nil
	}
	if err := s.writeFrame(kindHello, nonce); err != nil {
		return nil, fmt.Errorf("send hello: %w", err)
	}
	dialer, listener := frame.SessionKeys(secret, protocol, peerNonce, nonce)
	s.reader.Rekey(dialer)
	s.writer = frame.NewWriter(listener)
	return s, nil
}

// keepAlive finds a daemon that is gone without closing its connections, within 5 s. No
// TCP_USER_TIMEOUT is set, since it would decide instead when the probes give up.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// setKeepAlive sets the keep-alive probes of a connection between daemons.
func setKeepAlive(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive) // without probes only sends reveal that the other side is gone
	}
}

// readFrame returns the next frame. Its payload is valid until the next call. After a timeout it can
// be called again.
func (s *session) readFrame() (frame.Frame, error) {
	for {
		f, used, err := s.reader.Next(s.in)
		if err == nil {
			s.in = s.in[used:]
			return f, nil
		}
		if !errors.Is(err, frame.ErrShort) {
			return frame.Frame{}, fmt.Errorf("decode frame: %w", err)
		}
		if len(s.in) >= maxBuffered {
			return frame.Frame{}, frame.ErrTooLarge
		}
		if err := s.fill(); err != nil {
			return frame.Frame{}, err
		}
	}
}

// fill reads more bytes.
func (s *session) fill() error {
	if cap(s.in)-len(s.in) < frame.HeaderSize {
		s.in = append(make([]byte, 0, 2*maxBuffered), s.in...)
	}
	n, err := s.Conn.Read(s.in[len(s.in):cap(s.in)])
	s.in = s.in[:len(s.in)+n]
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// writeFrame writes one frame.
func (s *session) writeFrame(kind uint8, payload []byte) error {
	_, err := s.writeCounted(kind, payload)
	return err
}

// writeCounted writes one frame and returns how many of its bytes the operating system accepted.
func (s *session) writeCounted(kind uint8, payload []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = s.writer.Append(s.out[:0], kind, 0, payload)
	n, err := s.Conn.Write(s.out)
	if err != nil {
		return n, fmt.Errorf("write frame: %w", err)
	}
	return n, nil
}

// writeMessage writes a message as one frame.
func (s *session) writeMessage(kind uint8, message any) error {
	payload, err := msgpack.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	return s.writeFrame(kind, payload)
}
