package events

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Writer passes log lines to another writer through a queue, so that a slow writer never blocks the
// caller. Lines that do not fit into the queue are dropped and counted.
type Writer struct {
	queue   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	closing chan struct{}
}

// maxQueuedLines bounds the memory of queued lines, which have about 400 bytes each.
const maxQueuedLines = 2048

// NewWriter returns a writer that passes lines to w. Its goroutine runs until Close.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{queue: make(chan []byte, maxQueuedLines), done: make(chan struct{}), closing: make(chan struct{})}
	go l.run(w)
	return l
}

// Write queues one line, or drops it if the queue is full. It never returns an error.
func (l *Writer) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (l *Writer) Dropped() uint64 { return l.dropped.Load() }

// ErrLinesPending means that Close stopped waiting while lines were still queued.
var ErrLinesPending = errors.New("log lines were not written in time")

// Close waits until the queued lines are written. If limit delivers or is closed before that, it
// returns ErrLinesPending.
func (l *Writer) Close(limit <-chan struct{}) error {
	close(l.closing)
	select {
	case <-l.done:
		return nil
	case <-limit:
		return ErrLinesPending
	}
}

func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	for {
		select {
		case line := <-l.queue:
			l.write(w, line)
		case <-l.closing:
			l.drain(w)
			return
		}
	}
}

func (l *Writer) drain(w io.Writer) {
	for {
		select {
		case line := <-l.queue:
			l.write(w, line)
		default:
			return
		}
	}
}

func (l *Writer) write(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		l.dropped.Add(1) // the error cannot be logged, since this is the log
	}
}
