// Package frame cuts a stream of bytes between two daemons into frames.
//
// A frame is a header, a payload and a tag. All numbers are big-endian.
//
//	offset  size  field
//	0       2     magic, 0x5352
//	2       1     version of the format
//	3       1     kind of the message
//	4       8     sequence number, which rises by one on a connection
//	12      8     id that a reply shares with its request, or 0
//	20      4     length of the payload
//	24      n     payload
//	24+n    16    tag: HMAC-SHA-256 of all before it, cut to 16 bytes
//
// The key of the tag belongs to one direction of one connection, so that a
// frame of another connection, and one that was seen before, are refused.
//
// # Usage
//
//	w := frame.NewWriter(key)
//	buf := w.Append(nil, kind, id, payload)
//
//	r := frame.NewReader(key)
//	f, n, err := r.Next(buf) // n bytes were used; ErrShort asks for more
package frame

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/pkg/errors"
)

// Sizes and numbers of the format.
const (
	Magic      = 0x5352
	Version    = 1
	HeaderSize = 24
	TagSize    = 16
	MaxPayload = 2 << 20
)

// Errors of a reader. All but ErrShort mean that the connection is of no use
// any more.
var (
	ErrShort    = errors.New("frame is not complete yet")
	ErrMagic    = errors.New("not a frame of spanrill")
	ErrVersion  = errors.New("frame of another version")
	ErrTooLarge = errors.New("frame is too large")
	ErrTag      = errors.New("frame has a wrong tag")
	ErrSequence = errors.New("frame is out of sequence")
)

// Key authenticates one direction of one connection.
type Key [sha256.Size]byte

// DeriveKey returns the key that belongs to the secret and the parts.
func DeriveKey(secret []byte, parts ...[]byte) Key {
	mac := hmac.New(sha256.New, secret)
	for _, p := range parts {
		var size [4]byte
		binary.BigEndian.PutUint32(size[:], uint32(len(p)))
		_, _ = mac.Write(size[:])
		_, _ = mac.Write(p)
	}
	var k Key
	mac.Sum(k[:0])
	return k
}

func tag(key Key, data []byte) [TagSize]byte {
	mac := hmac.New(sha256.New, key[:])
	_, _ = mac.Write(data)
	var t [TagSize]byte
	copy(t[:], mac.Sum(nil))
	return t
}

// Frame is one message between two daemons.
type Frame struct {
	Kind    uint8
	ID      uint64
	Payload []byte
}

// Writer makes the frames of one direction of a connection.
type Writer struct {
	key Key
	seq uint64
}

// NewWriter returns a writer whose first frame has sequence number 1.
func NewWriter(key Key) *Writer { return &Writer{key: key} }

// Append appends one frame to dst.
func (w *Writer) Append(dst []byte, kind uint8, id uint64, payload []byte) []byte {
	w.seq++
	start := len(dst)
	dst = binary.BigEndian.AppendUint16(dst, Magic)
	dst = append(dst, Version, kind)
	dst = binary.BigEndian.AppendUint64(dst, w.seq)
	dst = binary.BigEndian.AppendUint64(dst, id)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(payload)))
	dst = append(dst, payload...)
	t := tag(w.key, dst[start:])
	return append(dst, t[:]...)
}

// Reader reads the frames of one direction of a connection.
type Reader struct {
	key Key
	seq uint64
}

// NewReader returns a reader that expects sequence number 1 first.
func NewReader(key Key) *Reader { return &Reader{key: key} }

// Rekey makes the reader expect another key and sequence number 1.
func (r *Reader) Rekey(key Key) { r.key, r.seq = key, 0 }

// Next reads one frame from the start of buf and returns how many bytes it
// took. The payload is part of buf. The length is checked before anything else
// of the frame is waited for.
func (r *Reader) Next(buf []byte) (Frame, int, error) {
	if len(buf) < HeaderSize {
		return Frame{}, 0, checkStart(buf)
	}
	if err := checkStart(buf); !errors.Is(err, ErrShort) {
		return Frame{}, 0, err
	}
	length := binary.BigEndian.Uint32(buf[20:])
	if length > MaxPayload {
		return Frame{}, 0, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d are allowed", length, MaxPayload)
	}
	end := HeaderSize + int(length)
	if len(buf) < end+TagSize {
		return Frame{}, 0, ErrShort
	}
	if t := tag(r.key, buf[:end]); !hmac.Equal(t[:], buf[end:end+TagSize]) {
		return Frame{}, 0, ErrTag
	}
	if seq := binary.BigEndian.Uint64(buf[4:]); seq != r.seq+1 {
		return Frame{}, 0, errors.Wrapf(ErrSequence, "%d after %d", seq, r.seq)
	}
	r.seq++
	f := Frame{Kind: buf[3], ID: binary.BigEndian.Uint64(buf[12:]), Payload: buf[HeaderSize:end]}
	return f, end + TagSize, nil
}

// checkStart refuses what cannot become a frame, as early as it shows.
func checkStart(buf []byte) error {
	if len(buf) >= 2 && binary.BigEndian.Uint16(buf) != Magic {
		return ErrMagic
	}
	if len(buf) >= 3 && buf[2] != Version {
		return errors.Wrapf(ErrVersion, "%d, this daemon speaks %d", buf[2], Version)
	}
	return ErrShort
}
