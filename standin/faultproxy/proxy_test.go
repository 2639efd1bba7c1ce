package faultproxy

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// startEcho starts a server that echoes all bytes and returns its address.
func startEcho(t *testing.T) string {
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

// echoByte sends a byte and waits up to timeout for its echo. It returns the error of the read.
func echoByte(t *testing.T, c net.Conn, timeout time.Duration) error {
	t.Helper()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// Connections that are open when Silence is set must neither forward bytes nor be closed, even after
// the fault is removed. Connections made afterwards must work until Silence is set again.
func TestSilenceAffectsOnlyOpenConnections(t *testing.T) {
	p := New(startEcho(t))
	addr, err := p.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	var silenced []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if err := echoByte(t, c, 5*time.Second); err != nil {
			t.Fatalf("echo on a new connection: %v", err)
		}
		for _, old := range silenced {
			if err := echoByte(t, old, 50*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("echo on a silenced connection: %v, want a timeout", err)
			}
		}
		p.SetFaults(Faults{Silence: true})
		silenced = append(silenced, c)
	}
	p.SetFaults(Faults{})
	if err := echoByte(t, silenced[0], 50*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("echo on a silenced connection after the fault was removed: %v, want a timeout", err)
	}
}
