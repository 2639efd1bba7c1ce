package httpcall

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
)

// Answer is the answer to a call, whose body may still be on its way.
type Answer struct {
	client *Client
	addr   string
	conn   *conn
	stop   func() bool
	ctx    context.Context // of the call
	resp   fasthttp.Response
	whole  bool
	closed bool
}

func (a *Answer) readHeader() error {
	a.resp.StreamBody = true
	if err := a.resp.ReadLimitBody(a.conn.r, 0); err != nil {
		return fmt.Errorf("read headers: %w", err)
	}
	return nil
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.resp.StatusCode() }

// Header returns the answer's headers.
func (a *Answer) Header() *fasthttp.ResponseHeader { return &a.resp.Header }

// Body returns the body as it arrives.
func (a *Answer) Body() io.Reader { return (*bodyReader)(a) }

// SetReadWait bounds how long the next reads of the body may wait.
func (a *Answer) SetReadWait(d spanrill.Millis) { a.conn.setReadWait(d) }

// bodyReader notes when the body was read to its end.
type bodyReader Answer

// Read reads from the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	stream := b.resp.BodyStream()
	if stream == nil {
		b.whole = true
		return 0, io.EOF
	}
	n, err := stream.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

// ErrTooLarge means that a body was over the limit given to ReadAll.
var ErrTooLarge = errors.New("body over the limit")

// ReadAll reads the whole body and closes the answer.
func (a *Answer) ReadAll(limit int) ([]byte, error) {
	defer a.Close()
	body, err := io.ReadAll(io.LimitReader(a.Body(), int64(limit)+1))
	if err == nil && len(body) > limit {
		err = ErrTooLarge
	}
	if err != nil {
		err = a.client.judge(a.ctx, a.addr, a.conn, err)
		return nil, &spanrill.CallError{
			Phase: spanrill.PhaseAnswer, Written: a.conn.written,
			Cause: fmt.Errorf("read body of %s: %w", a.addr, err),
		}
	}
	return body, nil
}

// Close ends the call. The connection is kept for the next call only if the
// body was read to its end; otherwise it is closed, which tells the upstream
// to cancel.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	interrupted := !a.stop()
	if !a.whole || interrupted || a.resp.ConnectionClose() {
		_ = a.conn.Close()
		return
	}
	_ = a.resp.CloseBodyStream()
	a.conn.silence = nil
	a.conn.watch(nil)
	_ = a.conn.SetReadDeadline(time.Time{})
	a.client.idle.Put(a.addr, a.conn)
}

func (a *Answer) drop() {
	a.closed = true
	a.stop()
	_ = a.conn.Close()
}
