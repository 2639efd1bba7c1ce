package httpcall

import (
	"bytes"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// Segments is a body in memory. It consists of segments, so that a body whose size is not known needs
// no more memory than it has bytes, but for the last segment.
type Segments struct {
	segments [][]byte
	size     int
}

const (
	// minSegment and maxSegment are the sizes of the first and the largest segments in bytes. Each
	// segment is as large as those before it together.
	minSegment = 4 << 10
	maxSegment = 256 << 10
)

// ReadSegments reads r to its end, but at most limit bytes. The length is that which the headers of the
// body state, or negative if they state none. Before the body takes more memory, reserve is called with
// the size that it will have there, and its error is returned.
func ReadSegments(r io.Reader, length, limit int, reserve func(size int) error) (*Segments, error) {
	s := &Segments{}
	for s.size <= limit {
		segment := s.nextSize(length, limit)
		if err := reserve(s.size + segment); err != nil {
			return nil, fmt.Errorf("reserve memory for %d bytes: %w", s.size+segment, err)
		}
		err := s.fill(r, make([]byte, segment))
		if errors.Is(err, io.EOF) && s.size <= limit {
			return s, nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	return nil, ErrTooLarge
}

// nextSize returns the size of the next segment. It has room for one byte more than may come, which would
// show that the body is larger.
func (s *Segments) nextSize(length, limit int) int {
	size := min(maxSegment, max(minSegment, s.size), limit+1-s.size)
	if length >= 0 {
		size = min(size, max(1, length-s.size))
	}
	return size
}

// fill reads until the segment is full, and adds it. It returns the error of r.
func (s *Segments) fill(r io.Reader, segment []byte) error {
	n := 0
	var err error
	for n < len(segment) && err == nil {
		var read int
		read, err = r.Read(segment[n:])
		n += read
	}
	if n > 0 {
		s.segments = append(s.segments, segment[:n])
		s.size += n
	}
	return err
}

// Len returns the number of bytes.
func (s *Segments) Len() int { return s.size }

// Bytes returns the body in one piece. It copies a body of several segments.
func (s *Segments) Bytes() []byte {
	switch len(s.segments) {
	case 0:
		return nil
	case 1:
		return s.segments[0]
	}
	return bytes.Join(s.segments, nil)
}

// Reader returns a reader of the body.
func (s *Segments) Reader() io.Reader {
	readers := make([]io.Reader, len(s.segments))
	for i, segment := range s.segments {
		readers[i] = bytes.NewReader(segment)
	}
	return io.MultiReader(readers...)
}
