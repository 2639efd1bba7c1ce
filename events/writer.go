package events

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Writer hands log lines to a slow writer without ever waiting for it. Lines
// that do not fit into its queue are dropped and counted.
type Writer struct {
	queue   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	closing chan struct{}
}

// queuedLines bounds the memory of lines that wait: about 400 bytes each.
const queuedLines = 2048

// NewWriter returns a writer in front of w. It owns one goroutine until Close.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{queue: make(chan []byte, queuedLines), done: make(chan struct{}), closing: make(chan struct{})}
	go l.run(w)
	return l
}

// Write queues one line, or drops it.
func (l *Writer) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (l *Writer) Dropped() uint64 { return l.dropped.Load() }

// ErrLogsLeft means that lines were still queued when waiting for them ended.
var ErrLogsLeft = errors.New("log lines were not written in time")

// Close lets the queued lines be written, for as long as the channel given does
// not fire.
func (l *Writer) Close(limit <-chan struct{}) error {
	close(l.closing)
	select {
	case <-l.done:
		return nil
	case <-limit:
		return ErrLogsLeft
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
		l.dropped.Add(1) // there is nowhere else to say so
	}
}
