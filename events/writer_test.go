package events

import (
	"io"
	"os"
	"testing"

	"github.com/sirupsen/logrus"

	"spanrill/clock"
)

// If nobody reads standard output, here a pipe, the writer does not block: lines that do not fit
// into the queue are dropped and counted.
func TestWriterNeverBlocks(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	lines := NewWriter(w)
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(lines)
	const n = 20 * maxQueuedLines // many times the capacity of the pipe and the queue
	for i := range n {
		RequestEnded.Log(log, logrus.Fields{"i": i})
	}
	if lines.Dropped() == 0 {
		t.Fatal("no line was dropped although nobody reads the pipe")
	}
	limit := make(chan struct{})
	close(limit)
	if err := lines.Close(limit); err != ErrLinesPending {
		t.Fatalf("error %v, want %v", err, ErrLinesPending)
	}
	_ = w.Close()
}

// Close waits until all queued lines are written, in order.
func TestCloseWritesQueuedLines(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan string, 1)
	go func() {
		data, _ := io.ReadAll(r)
		read <- string(data)
	}()
	lines := NewWriter(w)
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		if _, err := lines.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	if err := lines.Close(make(chan struct{})); err != nil {
		t.Fatal(err)
	}
	_ = w.Close()
	if got := <-read; got != "one\ntwo\nthree\n" {
		t.Fatalf("read %q, want the lines one, two and three", got)
	}
}

// A limiter allows a number of lines per second and reports how many it skipped.
func TestLimiterBoundsRate(t *testing.T) {
	c := clock.NewManual()
	l := NewLimiter(c, 10)
	written, skipped := 0, 0
	log := logrus.New()
	log.SetOutput(io.Discard)
	for range 5 {
		for range 100 {
			l.Log(RequestEnded, log, func() logrus.Fields { written++; return logrus.Fields{} })
		}
		c.Advance(1000)
		if s, ok := l.take(); ok {
			skipped += s
		}
	}
	if written > 60 || written < 40 || skipped < 400 {
		t.Fatalf("of 500 lines %d written and %d reported as skipped, want 40 to 60 and at least 400", written, skipped)
	}
}
