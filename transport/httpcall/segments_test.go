package httpcall

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/pkg/errors"
)

// Guards against bodies that are cut, joined wrongly or taken for complete, whatever their size and
// whether it is known, and against reading more than the limit.
func TestReadSegments(t *testing.T) {
	const limit = 1 << 20
	errNoMemory := errors.New("no memory")
	for _, size := range []int{0, 1, minSegment - 1, minSegment, minSegment + 1, 100_000, 3*maxSegment + 7, limit, limit + 1, 2 * limit} {
		for _, known := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d bytes, length known %t", size, known), func(t *testing.T) {
				want := bytes.Repeat([]byte("0123456789abcdef!"), size/17+1)[:size]
				length := -1
				if known {
					length = size
				}
				largest := 0
				body, err := ReadSegments(io.MultiReader(bytes.NewReader(want[:size/3]), bytes.NewReader(want[size/3:])), length, limit, func(n int) error {
					largest = max(largest, n)
					return nil
				})
				if size > limit {
					if !errors.Is(err, ErrTooLarge) || largest > limit+1 {
						t.Fatalf("error %v with %d bytes reserved, want ErrTooLarge with at most %d", err, largest, limit+1)
					}
					return
				}
				if err != nil || body.Len() != size || !bytes.Equal(body.Bytes(), want) || largest > max(minSegment, 2*size+maxSegment) {
					t.Fatalf("error %v, %d bytes, %d reserved; want %d bytes", err, body.Len(), largest, size)
				}
				if read, _ := io.ReadAll(body.Reader()); !bytes.Equal(read, want) {
					t.Fatalf("the reader gives %d bytes, want %d", len(read), size)
				}
			})
		}
	}
	t.Run("cut", func(t *testing.T) {
		cut := io.MultiReader(bytes.NewReader(make([]byte, 10)), errorReader{io.ErrUnexpectedEOF})
		if _, err := ReadSegments(cut, -1, limit, func(int) error { return nil }); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("got %v, want ErrUnexpectedEOF", err)
		}
	})
	t.Run("no memory", func(t *testing.T) {
		if _, err := ReadSegments(zeros{}, -1, limit, func(n int) error {
			if n > 100_000 {
				return errNoMemory
			}
			return nil
		}); !errors.Is(err, errNoMemory) {
			t.Fatalf("got %v, want the error of reserve", err)
		}
	})
}

// errorReader fails.
type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against reading on and on in an answer without end.
func TestAnswerWithoutEnd(t *testing.T) {
	for _, framing := range []string{"", "Content-Length: 1000000000000\r\n", "Transfer-Encoding: chunked\r\n"} {
		t.Run(framing, func(t *testing.T) {
			closed := make(chan struct{})
			addr := serve(t, func(c net.Conn) {
				defer close(closed)
				_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n", framing)
				for block := fmt.Appendf(nil, "10000\r\n%s\r\n", make([]byte, 1<<16)); err == nil; {
					_, err = c.Write(block)
				}
			})
			client := New()
			defer client.Close()
			if _, err := do(client, addr, nil); !errors.Is(err, ErrTooLarge) {
				t.Fatalf("got %v, want ErrTooLarge", err)
			}
			<-closed
		})
	}
}
