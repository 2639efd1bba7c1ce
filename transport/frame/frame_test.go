package frame

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/pkg/errors"
)

var testKey = DeriveKey([]byte("secret"), []byte("test"))

func TestFramesRoundTripInOrder(t *testing.T) {
	w, r := NewWriter(testKey), NewReader(testKey)
	buf := w.Append(nil, 3, 0, []byte("one"))
	buf = w.Append(buf, 4, 9, nil)
	first, n, err := r.Next(buf)
	if err != nil || first.Kind != 3 || string(first.Payload) != "one" {
		t.Fatalf("first frame %v, error %v, want kind 3 with payload \"one\"", first, err)
	}
	second, _, err := r.Next(buf[n:])
	if err != nil || second.Kind != 4 || second.ID != 9 {
		t.Fatalf("second frame %v, error %v, want kind 4 with id 9", second, err)
	}
}

func TestBadFramesAreRefused(t *testing.T) {
	good := NewWriter(testKey).Append(nil, 1, 0, []byte("payload"))
	change := func(f func(b []byte)) []byte {
		b := bytes.Clone(good)
		f(b)
		return b
	}
	for _, c := range []struct {
		name string
		buf  []byte
		want error
	}{
		{"empty", nil, ErrShort},
		{"half a header", good[:HeaderSize/2], ErrShort},
		{"half a payload", good[:HeaderSize+2], ErrShort},
		{"garbage", []byte("GET / HTTP/1.1\r\n\r\n"), ErrMagic},
		{"other version", change(func(b []byte) { b[2] = 9 }), ErrVersion},
		{"oversized", change(func(b []byte) { binary.BigEndian.PutUint32(b[20:], MaxPayload+1) }), ErrTooLarge},
		{"changed payload", change(func(b []byte) { b[HeaderSize] ^= 1 }), ErrTag},
		{"changed kind", change(func(b []byte) { b[3] ^= 1 }), ErrTag},
		{"other secret", NewWriter(DeriveKey([]byte("other"), []byte("test"))).Append(nil, 1, 0, nil), ErrTag},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, n, err := NewReader(testKey).Next(c.buf)
			if !errors.Is(err, c.want) || n != 0 {
				t.Fatalf("got %d bytes used and error %v, want 0 and %v", n, err, c.want)
			}
		})
	}
}

func TestReplayedFrameIsRefused(t *testing.T) {
	buf := NewWriter(testKey).Append(nil, 1, 0, nil)
	r := NewReader(testKey)
	if _, _, err := r.Next(buf); err != nil {
		t.Fatal(err)
	}
	if _, _, err := r.Next(buf); !errors.Is(err, ErrSequence) {
		t.Fatalf("got %v, want %v", err, ErrSequence)
	}
}

// FuzzReader checks that the reader neither panics on any input nor accepts a frame that a writer
// with the key would not make.
func FuzzReader(f *testing.F) {
	f.Add(NewWriter(testKey).Append(nil, 1, 2, []byte("payload")))
	f.Add([]byte{0x53, 0x52, Version})
	f.Add([]byte("GET / HTTP/1.1"))
	f.Fuzz(func(t *testing.T, buf []byte) {
		fr, n, err := NewReader(testKey).Next(buf)
		if err != nil {
			return
		}
		if want := NewWriter(testKey).Append(nil, fr.Kind, fr.ID, fr.Payload); !bytes.Equal(want, buf[:n]) {
			t.Fatalf("the reader accepted %x, which differs from what the writer makes", buf[:n])
		}
	})
}
