package suspect

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Content is a hash that identifies what a caller asks for. A repeated request has the same content on
// any daemon, also under another request id.
type Content uint64

// ContentOf returns the content of a request: the client account or "", the host, the path with
// its query, and the body.
func ContentOf(account, host, path string, body []byte) Content {
	d := xxhash.New()
	for _, part := range []string{account, host, path} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = d.Write(size[:]) // never fails
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(body)
	return Content(d.Sum64())
}

// String returns the content as hexadecimal digits, as in logs and in the store.
func (c Content) String() string { return fmt.Sprintf("%016x", uint64(c)) }
