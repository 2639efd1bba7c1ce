package callerhttp

import (
	"fmt"
	"io"
	"net"

	"github.com/valyala/fasthttp"
)

// StreamUntilClose answers with the headers of the response and a body that ends with the connection, for
// a caller of HTTP/1.0, which does not know chunks. If the body fails, the connection is reset, so that
// the caller does not take the answer for complete. The body is closed after the request's handler has
// returned.
func StreamUntilClose(ctx *fasthttp.RequestCtx, body io.ReadCloser) {
	ctx.Response.Header.SetContentLength(untilClose)
	ctx.Response.Header.SetConnectionClose()
	header := append([]byte(nil), ctx.Response.Header.Header()...)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		defer func() { _ = body.Close() }()
		if err := copyAll(c, header, body); err != nil {
			reset(c)
		}
	})
}

// untilClose is fasthttp's content length of a body that ends with its connection.
const untilClose = -2

func copyAll(w io.Writer, header []byte, body io.Reader) error {
	if _, err := w.Write(header); err != nil {
		return fmt.Errorf("write headers: %w", err)
	}
	if _, err := io.Copy(w, body); err != nil {
		return fmt.Errorf("forward body: %w", err)
	}
	return nil
}

// reset makes the following Close of a connection reset it.
func reset(c net.Conn) {
	if wrapped, ok := c.(interface{ UnsafeConn() net.Conn }); ok {
		c = wrapped.UnsafeConn()
	}
	if tcp, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}
