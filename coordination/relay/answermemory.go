package relay

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"spanrill/transport/httpcall"
)

const (
	// maxAnswerBytes is the maximum size of an answer that is read completely into memory, in bytes.
	maxAnswerBytes = 32 << 20
	// freeAnswerBytes is the size up to which an answer, or an event of a stream, takes nothing of the
	// memory that large ones share.
	freeAnswerBytes = 64 << 10
	// defaultAnswerMemory is the memory for large answers of a daemon without a limit, in bytes.
	defaultAnswerMemory = 256 << 20
)

// answerMemory bounds the memory that large answers hold together. Half of it is shared by all. The other
// half is for one answer at a time that finds nothing left of the first: it is as large as an answer may
// be, so that this answer ends, and answers that wait for each other never hold all of the memory.
type answerMemory struct {
	shared    *semaphore.Weighted // bytes
	exclusive *semaphore.Weighted // of one
	maxAnswer int                 // maximum size of an answer
}

// newAnswerMemory returns an answerMemory of that many bytes, or of the default size if bytes is 0.
func newAnswerMemory(bytes int) *answerMemory {
	if bytes <= 0 {
		bytes = defaultAnswerMemory
	}
	half := max(freeAnswerBytes, bytes/2)
	return &answerMemory{shared: semaphore.NewWeighted(int64(half)), exclusive: semaphore.NewWeighted(1), maxAnswer: min(maxAnswerBytes, half)}
}

// errNoAnswerMemory means that this daemon had no memory for an answer in time, which says nothing about the
// upstream.
var errNoAnswerMemory = errors.New("no memory for the answer")

// memoryHold is what one answer holds of an answerMemory. It is not for concurrent use.
type memoryHold struct {
	memory      *answerMemory
	shared      int64
	isExclusive bool
}

// grow makes the hold cover an answer of that size, which is at most maxAnswer and not less than before.
// It may wait until the exclusive half is free.
func (h *memoryHold) grow(ctx context.Context, size int) error {
	more := int64(size-freeAnswerBytes) - h.shared
	if h.isExclusive || more <= 0 {
		return nil
	}
	if h.memory.shared.TryAcquire(more) {
		h.shared += more
		return nil
	}
	if err := h.memory.exclusive.Acquire(ctx, 1); err != nil {
		return fmt.Errorf("%w: %w", errNoAnswerMemory, err)
	}
	h.memory.shared.Release(h.shared)
	h.shared, h.isExclusive = 0, true
	return nil
}

// settle moves a hold from the exclusive half to the shared one, if that has room for an answer of that
// size, which grows no more.
func (h *memoryHold) settle(size int) {
	if needed := max(0, int64(size-freeAnswerBytes)); h.isExclusive && h.memory.shared.TryAcquire(needed) {
		h.release()
		h.shared = needed
	}
}

// release ends the hold. Further calls do nothing.
func (h *memoryHold) release() {
	if h.shared > 0 {
		h.memory.shared.Release(h.shared)
	}
	if h.isExclusive {
		h.memory.exclusive.Release(1)
	}
	h.shared, h.isExclusive = 0, false
}

// answerBody is the whole body of an upstream's answer. It holds its memory until it is closed.
type answerBody struct {
	*httpcall.Segments
	hold     memoryHold
	passedOn bool
}

// passOn makes the body that of the response, which closes it when it has been written.
func (b *answerBody) passOn(resp *fasthttp.Response) {
	if b.Len() <= freeAnswerBytes {
		resp.SetBodyRaw(b.Bytes())
		return
	}
	b.passedOn = true
	resp.SetBodyStream(answerBodyReader{Reader: b.Reader(), body: b}, b.Len())
}

// answerBodyReader reads an answerBody.
type answerBodyReader struct {
	io.Reader
	body *answerBody
}

// Close releases the memory of the body.
func (r answerBodyReader) Close() error {
	r.body.hold.release()
	return nil
}
