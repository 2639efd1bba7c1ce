package events

import (
	"io"
	"os"
	"testing"

	"github.com/sirupsen/logrus"

	"spanrill/clock"
)

// A reader that stops reading standard output stops nothing: lines beyond the
// queue are dropped and counted. The pipe here is one that nobody reads.
func TestWriterNeverWaits(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	lines := NewWriter(w)
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(lines)
	const n = 20 * queuedLines // many times what the pipe and the queue hold
	for i := range n {
		RequestEnded.Log(log, logrus.Fields{"i": i})
	}
	if lines.Dropped() == 0 {
		t.Fatal("no line was dropped although nobody reads")
	}
	limit := make(chan struct{})
	close(limit)
	if err := lines.Close(limit); err != ErrLogsLeft {
		t.Fatalf("error %v, want %v", err, ErrLogsLeft)
	}
	_ = w.Close()
}

// Lines that are read arrive, in order, before the end.
func TestWriterWritesAll(t *testing.T) {
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
		t.Fatalf("read %q", got)
	}
}

// A limiter lets so many lines through in a second and says how many it left
// out.
func TestLimiter(t *testing.T) {
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
		t.Fatalf("%d lines written and %d said to be left out, of 500", written, skipped)
	}
}
