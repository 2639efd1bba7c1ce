package faultproxy

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// echo returns what each connection sends.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return ln.Addr().String()
}

// answers sends a byte and returns the error of reading it back within a wait.
func answers(t *testing.T, c net.Conn, wait time.Duration) error {
	t.Helper()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// Connections that are open when silence is set say nothing more, not even that
// they end; those made after it work, until it is set again.
func TestSilence(t *testing.T) {
	p := New(echo(t))
	addr, err := p.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	var open []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if err := answers(t, c, 5*time.Second); err != nil {
			t.Fatalf("a new connection: %v", err)
		}
		for _, old := range open {
			if err := answers(t, old, 50*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("a silent connection: %v", err)
			}
		}
		p.Set(Faults{Silence: true})
		open = append(open, c)
	}
	p.Set(Faults{})
	if err := answers(t, open[0], 50*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("after the fault: %v", err)
	}
}
