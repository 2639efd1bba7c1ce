package quarantine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"spanrill"
)

// Part identifies a part of a prompt for the engines of one service. It is the same on all daemons.
type Part uint64

// PartsOf returns the parts of a prompt for a service, each once.
func PartsOf(service string, parts []spanrill.PromptPart) []Part {
	if len(parts) == 0 {
		return nil
	}
	out := make([]Part, 0, len(parts))
	seen := make(map[Part]bool, len(parts))
	seed := xxhash.Sum64String(service)
	for _, part := range parts {
		var b [16]byte
		binary.LittleEndian.PutUint64(b[:8], seed)
		binary.LittleEndian.PutUint64(b[8:], uint64(part))
		key := Part(xxhash.Sum64(b[:]))
		if !seen[key] {
			seen[key] = true
			out = append(out, key)
		}
	}
	return out
}

// String returns the part as hexadecimal digits, as in logs and in the store.
func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// Account identifies a client account.
type Account uint32

// AccountOf returns the account with a name, which is "" for requests without a key.
func AccountOf(name string) Account { return Account(xxhash.Sum64String(name)) }

// String returns the account as hexadecimal digits, as in logs.
func (a Account) String() string { return fmt.Sprintf("%08x", uint32(a)) }
