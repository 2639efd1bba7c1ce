package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
)

// sizedHead begins a head whose answer has a body of 4 bytes.
const sizedHead = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"

// malformedAnswers are bytes that are no answers although a connection stays open behind them.
var malformedAnswers = []string{
	"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 101 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 199 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1  200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 O\x7fK\r\nContent-Length: 4\r\n\r\nbody",
	"\r\n" + sizedHead + "\r\nbody",
	"body",
	"\x00",
	sizedHead + "X A: b\r\n\r\nbody",
	sizedHead + "X-A : b\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n X-A: b\r\nContent-Length: 4\r\n\r\nbody",
	sizedHead + "X-A: b\r\n \x01\r\n\r\nbody",
	sizedHead + "X-A\r\n\r\nbody",
	sizedHead + "\r\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
	"HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + sizedHead + "\r\nbody",
	"HTTP/1.1 103 Early Hints\r\nX-A: b\x00\r\n\r\n" + sizedHead + "\r\nbody",
	strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100) + sizedHead + "\r\nbody",
	"HTTP/1.1 200 " + strings.Repeat("x", 8<<10) + "\r\nContent-Length: 4\r\n\r\nbody",
	sizedHead + strings.Repeat("X-A: b\r\n", 1<<10) + "\r\nbody",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX A: b\r\n\r\n",
}

// Guards against answers whose status or fields are not valid, and against keeping their connections. The
// request may have run.
func TestMalformedAnswerIsAnError(t *testing.T) {
	for _, text := range malformedAnswers {
		t.Run("", func(t *testing.T) {
			closed := make(chan struct{})
			addr := serve(t, func(c net.Conn) {
				answerEach(text)(c)
				close(closed)
			})
			client := New()
			defer client.Close()
			_, err := do(client, addr, nil)
			var call *spanrill.CallError
			if !errors.As(err, &call) || call.Outcome() != spanrill.OutcomeUnknown || !errors.Is(err, ErrMalformed) {
				t.Fatalf("%.100q: got %v, want an unknown outcome of a malformed answer", text, err)
			}
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Errorf("%.100q: the connection was not closed", text)
			}
		})
	}
}

// Guards against taking a body for complete whose chunks are malformed.
func TestMalformedChunksAreErrors(t *testing.T) {
	for _, body := range []string{
		"+4\r\nbody\r\n0\r\n\r\n", "-4\r\nbody\r\n0\r\n\r\n", "0x4\r\nbody\r\n0\r\n\r\n", " 4\r\nbody\r\n0\r\n\r\n", "\r\nbody\r\n0\r\n\r\n",
		"4g\r\nbody\r\n0\r\n\r\n", "4\nbody\r\n0\r\n\r\n", "4\x00\r\nbody\r\n0\r\n\r\n", "10000000000000004\r\nbody\r\n0\r\n\r\n",
		"4\r\nbody0\r\n\r\n", "4\r\nbodyX\r\n0\r\n\r\n", "4\r\nbody\n0\r\n\r\n", "4\r\nbody\r\n-0\r\n\r\n", "4\r\nbody\r\n0\n\n",
	} {
		addr := serve(t, answerEach("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+body))
		client := New()
		if _, err := do(client, addr, nil); err == nil {
			t.Errorf("%q was read without an error", body)
		}
		client.Close()
	}
}

// FuzzHead checks that fasthttp takes a head that was found valid as ending at the same place and with the
// same status.
func FuzzHead(f *testing.F) {
	for _, text := range append(malformedAnswers, sizedHead+"X-A: b\r\n c\r\nX-B:\n\nbody", "HTTP/1.0 404\n\r\n", sizedHead+"X-A: \xff\r\n\r\n") {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		source := bytes.NewReader(text)
		r := bufio.NewReader(source)
		if awaitHead(r) != nil {
			return
		}
		head, err := peekHead(r)
		if err != nil {
			t.Fatal(err)
		}
		size := len(head)
		status, err := checkHead(string(head))
		if err != nil {
			t.Fatal(err)
		}
		unread := source.Len() + r.Buffered()
		var parsed fasthttp.ResponseHeader
		if parsed.Read(r) != nil {
			return
		}
		if read := unread - source.Len() - r.Buffered(); read != size || parsed.StatusCode() != status {
			t.Errorf("%q: fasthttp reads a head of %d bytes with status %d, want %d bytes with %d", text, read, parsed.StatusCode(), size, status)
		}
	})
}

// BenchmarkCall measures a call with a small answer, with its request.
func BenchmarkCall(b *testing.B) {
	near, far := net.Pipe()
	go answerEach("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Id: 9c41d07be2a35f68\r\nX-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Version: 3\r\nContent-Length: 0\r\n\r\n")(far)
	client := New(WithDial(func(DialFunc) DialFunc {
		return func(context.Context, string, string) (net.Conn, error) { return near, nil }
	}))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := do(client, "pipe", nil); err != nil {
			b.Fatal(err)
		}
	}
}
