package httpcall

import (
	"io"
	"net"
	"runtime"
	"testing"
	"time"
)

// ProbeConn detects that the other side has closed, even when unread bytes come first.
func TestProbeConn(t *testing.T) {
	sends := func(c *net.TCPConn) error {
		_, err := io.WriteString(c, "bytes")
		return err
	}
	resets := func(c *net.TCPConn) error {
		if err := c.SetLinger(0); err != nil {
			return err
		}
		return c.Close()
	}
	for _, c := range []struct {
		name  string
		steps []func(*net.TCPConn) error
		want  ConnState
	}{
		{"silent", nil, ConnIdle},
		{"sent", []func(*net.TCPConn) error{sends}, ConnReadable},
		{"closed", []func(*net.TCPConn) error{(*net.TCPConn).Close}, ConnClosed},
		{"closed behind bytes", []func(*net.TCPConn) error{sends, (*net.TCPConn).Close}, ConnClosed},
		{"half-closed", []func(*net.TCPConn) error{(*net.TCPConn).CloseWrite}, ConnClosed},
		{"half-closed behind bytes", []func(*net.TCPConn) error{sends, (*net.TCPConn).CloseWrite}, ConnClosed},
		{"reset", []func(*net.TCPConn) error{resets}, ConnClosed},
		{"reset behind bytes", []func(*net.TCPConn) error{sends, resets}, ConnClosed},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := tcpPair(t)
			for _, step := range c.steps {
				if err := step(far); err != nil {
					t.Fatal(err)
				}
			}
			deadline := time.Now().Add(10 * time.Second)
			for got := ProbeConn(near); got != c.want; got = ProbeConn(near) {
				if time.Now().After(deadline) {
					t.Fatalf("state %d, want %d", got, c.want)
				}
				runtime.Gosched() // the operating system may not have delivered it yet
			}
		})
	}
}

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	a, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	return b.(*net.TCPConn), a.(*net.TCPConn)
}
