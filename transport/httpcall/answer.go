package httpcall

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"

	"spanrill"
)

// Answer is the answer to a call. Its headers have been read; its body may still be arriving.
type Answer struct {
	client        *Client
	addr          string
	conn          *conn
	stopInterrupt func() bool
	ctx           context.Context // of the call, also while the body is read
	resp          fasthttp.Response
	complete      bool // the body was read to its end
	closed        bool
}

// readHeader reads the status line and the headers, and leaves the body to be streamed.
func (a *Answer) readHeader() error {
	if err := awaitHead(a.conn.r); err != nil {
		return fmt.Errorf("read headers: %w", err)
	}
	a.resp.StreamBody = true
	a.resp.Header.SetNoDefaultContentType(true)
	if err := a.resp.ReadLimitBody(a.conn.r, 0); err != nil {
		return fmt.Errorf("read headers: %w", err)
	}
	return nil
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.resp.StatusCode() }

// Header returns the answer's headers.
func (a *Answer) Header() *fasthttp.ResponseHeader { return &a.resp.Header }

// EndsWithConnection reports whether the body has neither a length nor chunks, so that the end of the
// connection is the only sign of its end. A process that crashes may end its connections in the same way.
func (a *Answer) EndsWithConnection() bool {
	switch a.Status() {
	case fasthttp.StatusNoContent, fasthttp.StatusNotModified:
		return false
	}
	return a.resp.Header.ContentLength() == identityBody
}

// identityBody is fasthttp's content length of a body that ends with its connection.
const identityBody = -2

// CheckEnd returns an error if an answer whose body has been read to its end may be incomplete
// nevertheless: it ended with its connection, and its upstream refuses a new one.
func (a *Answer) CheckEnd(ctx context.Context) error {
	if !a.EndsWithConnection() {
		return nil
	}
	cn, err := a.client.connect(ctx, a.addr, ReuseNever)
	if err == nil {
		_ = cn.Close()
		return nil
	}
	if spanrill.IsConnectionRefused(err) {
		return &spanrill.CallError{Phase: spanrill.PhaseAnswer, Written: a.conn.written, Cause: fmt.Errorf("%s has ended: %w", a.addr, ErrUpstreamEnded)}
	}
	return nil // nothing tells that the upstream has ended
}

// ErrUpstreamEnded means that an answer with neither a length nor chunks ended with its upstream.
var ErrUpstreamEnded = errors.New("the answer has no length and ended with its upstream")

// Body returns the body as it arrives.
func (a *Answer) Body() io.Reader { return (*bodyReader)(a) }

// SetReadWait sets how long the next reads of the body may wait for bytes.
func (a *Answer) SetReadWait(d spanrill.Millis) { a.conn.setReadWait(d) }

// bodyReader reads the body and records when its end is reached.
type bodyReader Answer

// Read reads from the body. At its end it checks the trailers, which fasthttp does only in part, and marks
// the answer as complete.
func (b *bodyReader) Read(p []byte) (int, error) {
	stream := b.resp.BodyStream()
	if stream == nil {
		b.complete = true
		return 0, io.EOF
	}
	n, err := stream.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for name := range b.resp.Header.Trailers() {
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return n, malformedLine("trailer", string(name))
		}
	}
	b.complete = true
	return n, err
}

// ErrTooLarge means that a body is larger than the limit given to ReadAll or ReadSegments.
var ErrTooLarge = errors.New("body is larger than the limit")

// ReadAll reads the whole body, of at most limit bytes, and closes the answer.
func (a *Answer) ReadAll(limit int) ([]byte, error) {
	body, err := a.ReadSegments(limit, func(int) error { return nil })
	if err != nil {
		return nil, err
	}
	return body.Bytes(), nil
}

// ReadSegments reads the whole body, of at most limit bytes, and closes the answer. Before the body takes
// more memory, reserve is called with the size that it will have there. An error of reserve ends the call.
func (a *Answer) ReadSegments(limit int, reserve func(size int) error) (*Segments, error) {
	defer a.Close()
	body, err := ReadSegments(a.Body(), a.resp.Header.ContentLength(), limit, reserve)
	if err != nil {
		return nil, a.bodyError(err)
	}
	return body, nil
}

// bodyError returns the error of a call whose body could not be read.
func (a *Answer) bodyError(err error) error {
	err = a.client.handleSilence(a.ctx, a.addr, a.conn, err)
	return &spanrill.CallError{
		Phase: spanrill.PhaseAnswer, Written: a.conn.written,
		Cause: fmt.Errorf("read body of %s: %w", a.addr, err),
	}
}

// Close ends the call. The connection becomes idle for later calls only if the body was read to
// its end. Otherwise it is closed, which tells the upstream to cancel.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	interrupted := !a.stopInterrupt()
	if !a.complete || interrupted || a.resp.ConnectionClose() || a.conn.isSingleUse() {
		a.closeConn()
		return
	}
	_ = a.resp.CloseBodyStream()
	a.conn.silence = nil
	a.conn.setWakeable(nil)
	_ = a.conn.SetReadDeadline(time.Time{})
	a.client.idle.Put(a.addr, a.conn)
}

// abort ends the call and closes its connection.
func (a *Answer) abort() {
	a.closed = true
	a.stopInterrupt()
	a.closeConn()
}

// closeConn closes the connection, with a reset if the call was given up on a lost path.
func (a *Answer) closeConn() {
	if tcp, ok := a.conn.Conn.(*net.TCPConn); ok && !a.complete && a.client.resetOnClose(a.addr) {
		_ = tcp.SetLinger(0) // otherwise Close goes on delivering what was written
	}
	_ = a.conn.Close()
}
