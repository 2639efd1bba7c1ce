package httpcall

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isOpenAndIdle reports whether a connection is open and has no unread bytes.
func (cn *conn) isOpenAndIdle() bool {
	return cn.r.Buffered() == 0 && ProbeConn(cn.Conn) == ConnIdle
}

// isSingleUse reports whether the connection serves one call only.
func (cn *conn) isSingleUse() bool {
	c, ok := cn.Conn.(interface{ SingleUse() bool })
	return ok && c.SingleUse()
}

// ConnState is the state of a connection's receive side.
type ConnState uint8

// The states that ProbeConn reports.
const (
	// ConnIdle means that the connection is open and no bytes wait to be read.
	ConnIdle ConnState = iota
	// ConnReadable means that the connection is open and bytes wait to be read.
	ConnReadable
	// ConnClosed means that the other side has closed the connection or its half of it. Bytes may
	// still wait to be read.
	ConnClosed
)

// ProbeConn returns the state of a connection without reading from it and without blocking.
func ProbeConn(c net.Conn) ConnState {
	if b, ok := c.(interface{ Buffered() int }); ok && b.Buffered() > 0 {
		return ConnReadable
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return ConnIdle
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return ConnClosed
	}
	state := ConnClosed
	err = raw.Control(func(fd uintptr) { state = peekState(int(fd)) })
	if err != nil {
		return ConnClosed
	}
	return state
}

// peekState peeks at the receive buffer of a socket.
func peekState(fd int) ConnState {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return ConnIdle
	case err != nil || n == 0:
		return ConnClosed
	}
	if remoteHasClosed(fd) {
		return ConnClosed
	}
	return ConnReadable
}

// The TCP states of Linux (include/net/tcp_states.h) in which the other side has sent a reset or
// a FIN.
const (
	stateClose     = 7
	stateCloseWait = 8
	stateLastAck   = 9
	stateClosing   = 11
)

// remoteHasClosed asks the operating system whether the other side has closed. A peek cannot tell,
// because unread bytes come before the end of the stream.
func remoteHasClosed(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false // not a TCP socket: all that is known is that bytes wait
	}
	switch info.State {
	case stateClose, stateCloseWait, stateLastAck, stateClosing:
		return true
	}
	return false
}
