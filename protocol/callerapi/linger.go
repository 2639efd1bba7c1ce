package callerapi

import (
	"net"
	"time"
)

const (
	lingerIdle     = 100 * time.Millisecond // pause after which a caller counts as done sending
	maxLinger      = time.Second
	maxLingerBytes = 64 << 20
)

// linger reads and discards what a caller still sends of a request that is too large. Closing a
// connection with unread bytes resets it, and the caller could lose the answer.
func linger(conn net.Conn) {
	buf := make([]byte, 64<<10)
	deadline := time.Now().Add(maxLinger)
	for dropped := 0; dropped < maxLingerBytes && time.Now().Before(deadline); {
		_ = conn.SetReadDeadline(time.Now().Add(lingerIdle))
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		dropped += n
	}
}
