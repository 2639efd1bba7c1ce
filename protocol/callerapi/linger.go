package callerapi

import (
	"net"
	"time"
)

const (
	lingerIdle  = 100 * time.Millisecond // silence after which a sender is done
	lingerTime  = time.Second
	lingerBytes = 64 << 20
)

// linger reads and drops what a caller still sends of a request that is too
// large. A connection that is closed with unread bytes is reset, and the caller
// would lose the answer.
func linger(conn net.Conn) {
	buf := make([]byte, 64<<10)
	end := time.Now().Add(lingerTime)
	for dropped := 0; dropped < lingerBytes && time.Now().Before(end); {
		_ = conn.SetReadDeadline(time.Now().Add(lingerIdle))
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		dropped += n
	}
}
