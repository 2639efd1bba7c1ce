package tunnel

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/pkg/errors"

	"spanrill"
)

// Conn is a connection to an upstream through a helper. It implements net.Conn.
type Conn struct {
	*session
	helper  string
	answer  Answer
	pending []byte // bytes of the upstream that were received and not read yet
	ended   error  // result of further reads, or nil
}

// errBroken means that the helper or the path to it failed, or the helper lost the upstream.
var errBroken = errors.New("tunnel is broken")

// Helper returns the address of the helper.
func (c *Conn) Helper() string { return c.helper }

// Answer returns what the helper answered when it opened the tunnel.
func (c *Conn) Answer() Answer { return c.answer }

// SingleUse returns true: the helper decides for each connection whether the upstream may get it.
func (c *Conn) SingleUse() bool { return true }

// Buffered returns whether a read would return without waiting, as a number of bytes or 1.
func (c *Conn) Buffered() int {
	if c.ended != nil {
		return 1
	}
	return len(c.pending) + len(c.in)
}

// Read reads bytes that the upstream has sent. It returns io.EOF only if the upstream has closed the
// connection.
func (c *Conn) Read(b []byte) (int, error) {
	for len(c.pending) == 0 {
		if c.ended != nil {
			return 0, c.ended
		}
		if err := c.receive(); err != nil {
			return 0, err
		}
	}
	n := copy(b, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

// receive reads one frame. Its error is a timeout, after which it can be called again.
func (c *Conn) receive() error {
	f, err := c.readFrame()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	switch {
	case err != nil:
		c.ended = fmt.Errorf("%w by %s: %w", errBroken, c.helper, noEOF(err))
	case f.Kind == kindData:
		c.pending = f.Payload
	case f.Kind == kindEnd:
		c.ended = io.EOF
	case f.Kind == kindBroken:
		c.ended = fmt.Errorf("%w: upstream connection of %s: %w", errBroken, c.helper, syscall.ECONNRESET)
	default:
		c.ended = fmt.Errorf("%w by %s: %w", errBroken, c.helper, errProtocol)
	}
	return nil
}

// noEOF replaces io.EOF, which would mean that the upstream has sent everything.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Write sends bytes to the upstream. If it fails, all bytes of a frame count as written of which any
// byte was.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		chunk := b[:min(len(b), chunkSize)]
		n, err := c.writeCounted(kindData, chunk)
		if n > 0 {
			written += len(chunk)
		}
		if err != nil {
			return written, err
		}
		b = b[len(chunk):]
	}
	return written, nil
}

// SendNotice tells the helper what the upstream has told about itself in its answer.
func (c *Conn) SendNotice(n spanrill.Notice) error {
	return c.writeMessage(kindNotice, &Notice{Leaving: n.Leaving, Rest: n.Rest, UnreadableRest: n.UnreadableRest})
}

// SyscallConn returns the raw connection to the helper.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil, errors.New("not a TCP connection")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("raw connection to helper: %w", err)
	}
	return raw, nil
}
