// Package frame encodes messages between two daemons as authenticated frames of a byte stream.
//
// A frame is a header, a payload and a tag. All numbers are big-endian.
//
//	offset  size  field
//	0       2     magic, 0x5352
//	2       1     version of the format
//	3       1     kind of the message
//	4       8     sequence number, which starts at 1 and rises by one with each frame
//	12      8     request id, the same in the reply, or 0 if no reply is expected
//	20      4     length of the payload
//	24      n     payload
//	24+n    16    tag: HMAC-SHA-256 of all bytes before it, truncated to 16 bytes
//
// The key of the tag belongs to one direction of one connection. The reader therefore refuses frames
// of other connections, and the sequence number lets it refuse replayed ones.
//
// # Usage
//
//	w := frame.NewWriter(key)
//	buf := w.Append(nil, kind, id, payload)
//
//	r := frame.NewReader(key)
//	f, n, err := r.Next(buf) // the frame takes n bytes; ErrShort means that more are needed
package frame

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/pkg/errors"
)

// Constants of the format. Sizes are in bytes.
const (
	Magic      = 0x5352
	Version    = 1
	HeaderSize = 24
	TagSize    = 16
	MaxPayload = 2 << 20
)

// Errors of a Reader. After any of them but ErrShort the connection cannot be used any more.
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

// DeriveKey derives a key from a secret and parts. Each part is hashed with its length, so that no
// two lists of parts give the same input.
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

// tag returns the authentication tag of data.
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

// Writer encodes the frames of one direction of a connection.
type Writer struct {
	key Key
	seq uint64
}

// NewWriter returns a Writer whose first frame has sequence number 1.
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

// Reader decodes and checks the frames of one direction of a connection.
type Reader struct {
	key Key
	seq uint64
}

// NewReader returns a Reader that expects sequence number 1 first.
func NewReader(key Key) *Reader { return &Reader{key: key} }

// Rekey makes the reader use another key and expect sequence number 1 next.
func (r *Reader) Rekey(key Key) { r.key, r.seq = key, 0 }

// Next decodes the frame at the start of buf and returns it with its size in bytes. The payload
// shares the memory of buf. Next refuses a length over MaxPayload as soon as it has the header, so
// that a caller never buffers a frame that is too large.
func (r *Reader) Next(buf []byte) (Frame, int, error) {
	if len(buf) < HeaderSize {
		return Frame{}, 0, checkPrefix(buf)
	}
	if err := checkPrefix(buf); !errors.Is(err, ErrShort) {
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

// checkPrefix checks the magic and the version as soon as their bytes are there. It returns
// ErrShort if the bytes so far are valid.
func checkPrefix(buf []byte) error {
	if len(buf) >= 2 && binary.BigEndian.Uint16(buf) != Magic {
		return ErrMagic
	}
	if len(buf) >= 3 && buf[2] != Version {
		return errors.Wrapf(ErrVersion, "%d, this daemon speaks %d", buf[2], Version)
	}
	return ErrShort
}
