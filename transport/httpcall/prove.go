package httpcall

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// proveOpen reports whether an idle connection is open and silent.
func (cn *conn) proveOpen() bool {
	return cn.r.Buffered() == 0 && PeerOpen(cn.Conn) == PeerSilent
}

// PeerState is what a look at a connection's receive side shows.
type PeerState uint8

// What PeerOpen can find.
const (
	// PeerSilent means that the peer is there and has sent nothing.
	PeerSilent PeerState = iota
	// PeerSent means that unread bytes are waiting and the peer is there.
	PeerSent
	// PeerGone means that the peer has closed the connection, or its half of
	// it, also behind bytes that nobody has read.
	PeerGone
)

// PeerOpen looks at a connection without reading from it and without waiting.
func PeerOpen(c net.Conn) PeerState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return PeerSilent
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return PeerGone
	}
	state := PeerGone
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return PeerGone
	}
	return state
}

func peek(fd int) PeerState {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return PeerSilent
	case err != nil || n == 0:
		return PeerGone
	}
	if hasClosed(fd) {
		return PeerGone
	}
	return PeerSent
}

// The states of a connection whose peer has sent a reset or its end, as the
// TCP of Linux numbers them (include/net/tcp_states.h).
const (
	stateClose     = 7
	stateCloseWait = 8
	stateLastAck   = 9
	stateClosing   = 11
)

// hasClosed asks the operating system whether the peer has closed, since bytes
// that wait are read before the end behind them.
func hasClosed(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false // no TCP: bytes that wait are all that is known
	}
	switch info.State {
	case stateClose, stateCloseWait, stateLastAck, stateClosing:
		return true
	}
	return false
}
