package follow

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
)

// source is a collection with scripted answers.
type source struct {
	clock    *clock.Manual
	calls    []string
	changes  []spanrill.Change
	revision uint64
	err      error
	callTime spanrill.Millis // duration of a call
	after    uint64          // revision of the last watch
}

func (s *source) List(context.Context) ([]spanrill.Item, uint64, error) {
	s.calls = append(s.calls, "list")
	s.clock.Advance(s.callTime)
	return nil, s.revision, s.err
}

func (s *source) Watch(_ context.Context, after uint64, _ spanrill.Millis) ([]spanrill.Change, uint64, error) {
	s.calls = append(s.calls, "watch")
	s.after = after
	s.clock.Advance(s.callTime)
	return s.changes, s.revision, s.err
}

// sink counts the calls of a follower and keeps the time of the last one.
type sink struct {
	listed, changed int
	sentAt          spanrill.Millis
}

func (s *sink) HandleList(_ []spanrill.Item, _ uint64, sentAt spanrill.Millis) {
	s.listed, s.sentAt = s.listed+1, sentAt
}

func (s *sink) HandleChanges(_ []spanrill.Change, _ uint64, sentAt spanrill.Millis) {
	s.changed, s.sentAt = s.changed+1, sentAt
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// The sink gets the time at which the call was sent, not the time of its answer.
func TestSentTimePrecedesTheCall(t *testing.T) {
	c := clock.NewManual()
	src, received := &source{clock: c, revision: 5, callTime: 800}, &sink{}
	f := New(src, c, received, WithLogger(discardLogger(), "test"))
	f.Step(context.Background())
	if received.listed != 1 || received.sentAt != 0 {
		t.Fatalf("listed %d times, sent at %d, want 1 and 0", received.listed, received.sentAt)
	}
	f.Step(context.Background())
	if received.changed != 1 || received.sentAt != 800 {
		t.Fatalf("changed %d times, sent at %d, want 1 and 800", received.changed, received.sentAt)
	}
}

// If the store no longer has the history, the follower lists again at once.
func TestHistoryGoneListsAgain(t *testing.T) {
	c := clock.NewManual()
	src, received := &source{clock: c, revision: 5}, &sink{}
	f := New(src, c, received, WithLogger(discardLogger(), "test"))
	f.Step(context.Background())
	src.err = spanrill.ErrHistoryGone
	if pause := f.Step(context.Background()); pause != 0 {
		t.Fatalf("pause of %d ms, want 0", pause)
	}
	src.err = nil
	f.Step(context.Background())
	if received.listed != 2 {
		t.Fatalf("listed %d times, want 2: %v", received.listed, src.calls)
	}
}

// Failed calls pass nothing to the sink, and the pause between them stays within MaxRetryDelay.
func TestRetryDelayIsBounded(t *testing.T) {
	c := clock.NewManual()
	src, received := &source{clock: c, revision: 5}, &sink{}
	f := New(src, c, received, WithLogger(discardLogger(), "test"), WithJitter(func() float64 { return 1 }))
	f.Step(context.Background())
	src.err = spanrill.ErrUnavailable
	for range 20 {
		if pause := f.Step(context.Background()); pause <= 0 || pause > MaxRetryDelay {
			t.Fatalf("pause of %d ms, want more than 0 and at most MaxRetryDelay", pause)
		}
	}
	if received.changed != 0 {
		t.Fatal("a failed call was passed to the sink")
	}
}

// With a poll delay no call is made before the delay has passed, and changes up to the known
// revision are not requested again.
func TestPollDelayAndKnownRevision(t *testing.T) {
	c := clock.NewManual()
	src, received := &source{clock: c, revision: 5}, &sink{}
	pollDelay, known := spanrill.Millis(70), uint64(0)
	f := New(src, c, received, WithLogger(discardLogger(), "test"), WithPollDelay(func() spanrill.Millis { return pollDelay }), WithKnownRevision(func() uint64 { return known }))
	f.Step(context.Background())
	if pause := f.Step(context.Background()); pause != 70 || len(src.calls) != 1 {
		t.Fatalf("pause of %d ms, calls %v, want 70 ms and only the list", pause, src.calls)
	}
	pollDelay, known = 0, 9
	f.Step(context.Background())
	if len(src.calls) != 2 || src.after != 9 {
		t.Fatalf("calls %v, the last one after revision %d, want 2 calls and revision 9", src.calls, src.after)
	}
}

// The time without an answer counts from when the first failed call was sent, and is 0 after an
// answer.
func TestUnresponsiveFor(t *testing.T) {
	c := clock.NewManual()
	src := &source{clock: c, revision: 5, callTime: 4}
	f := New(src, c, &sink{}, WithLogger(discardLogger(), "test"))
	f.Step(context.Background())
	if d := f.StoreSilentFor(); d != 0 {
		t.Fatalf("%d ms after an answer, want 0", d)
	}
	src.err, src.callTime = spanrill.ErrUnavailable, 1000
	f.Step(context.Background())
	f.Step(context.Background())
	if d := f.StoreSilentFor(); d != 2000 {
		t.Fatalf("%d ms after two failed calls of 1000 ms, want 2000", d)
	}
	src.err = nil
	f.Step(context.Background())
	if d := f.StoreSilentFor(); d != 0 {
		t.Fatalf("%d ms after the store has answered again, want 0", d)
	}
}

// hangingSource is a source that never answers a watch with a deadline.
type hangingSource struct {
	*source
	limited []bool // whether each watch had a deadline
}

func (h *hangingSource) Watch(ctx context.Context, after uint64, wait spanrill.Millis) ([]spanrill.Change, uint64, error) {
	_, limited := ctx.Deadline()
	h.limited = append(h.limited, limited)
	if !limited {
		return h.source.Watch(ctx, after, wait)
	}
	<-ctx.Done()
	return nil, 0, spanrill.ErrUnavailable
}

// A watch on a connection that has gone silent ends at the timeout. The next watch has no timeout,
// and the one after a successful call has it again.
func TestFirstCallTimeout(t *testing.T) {
	c := clock.NewManual()
	src := &hangingSource{source: &source{clock: c, revision: 5}}
	f := New(src, c, &sink{}, WithLogger(discardLogger(), "test"), WithFirstCallTimeout(func() spanrill.Millis { return 1 }))
	for range 4 {
		f.Step(context.Background())
	}
	want := []bool{true, false, true}
	for i := range want {
		if src.limited[i] != want[i] {
			t.Fatalf("watches with a timeout: %v, want %v", src.limited, want)
		}
	}
}

// The first list waits for the list delay, and is skipped if the revision is known from another
// source by then. If the history is gone, the collection is listed again at once.
func TestListDelay(t *testing.T) {
	for _, c := range []struct {
		name  string
		known uint64 // after the delay
		calls string
	}{
		{"revision not known", 0, "list watch list"},
		{"revision known from a peer", 7, "watch watch list"},
	} {
		t.Run(c.name, func(t *testing.T) {
			manual := clock.NewManual()
			src := &source{clock: manual, revision: 9}
			listDelay, known := spanrill.Millis(30), uint64(0)
			f := New(src, manual, &sink{}, WithLogger(discardLogger(), "test"),
				WithListDelay(func() spanrill.Millis { return listDelay }), WithKnownRevision(func() uint64 { return known }))
			if pause := f.Step(context.Background()); pause != listDelay || len(src.calls) != 0 {
				t.Fatalf("pause of %d ms, calls %v, want 30 ms and no call", pause, src.calls)
			}
			listDelay, known = 0, c.known
			f.Step(context.Background())
			src.err, listDelay = spanrill.ErrHistoryGone, 30
			f.Step(context.Background())
			src.err = nil
			f.Step(context.Background())
			if got := strings.Join(src.calls, " "); got != c.calls {
				t.Fatalf("calls %s, want %s", got, c.calls)
			}
		})
	}
}

// Guards against answers that are older than what was known when they were requested: they are not
// passed on, and the follower pauses as after a failed call.
func TestAnswersFromBehind(t *testing.T) {
	otherEra := spanrill.RevisionOf(1, 3)
	for _, c := range []struct {
		name     string
		known    uint64 // from another source, before each call
		revision uint64 // of the answers
		listed   bool
		wantPass bool
	}{
		{"a list from behind", 7, 6, false, false},
		{"a list of the known revision", 7, 7, false, true},
		{"a list of a restored store", 7, otherEra, false, true},
		{"a watch from behind", 7, 6, true, false},
		{"a watch of the known revision", 7, 7, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			src, received, known := &source{clock: clock.NewManual(), revision: c.revision}, &sink{}, c.known
			f := New(src, src.clock, received, WithLogger(discardLogger(), "test"), WithKnownRevision(func() uint64 { return known }))
			f.listed, f.relisting = c.listed, true
			pause := f.Step(context.Background())
			if passed := received.listed+received.changed == 1; passed != c.wantPass || (pause == 0) != c.wantPass {
				t.Fatalf("passed on: %t, pause of %d ms; want passed on: %t, and a pause otherwise", passed, pause, c.wantPass)
			}
		})
	}
}

// A sink that is not satisfied by an answer polls again after minPollInterval, however often it is
// woken, and Wake does not shorten the pause after a failed call.
func TestWake(t *testing.T) {
	manual := clock.NewManual()
	src := &source{clock: manual, revision: 5}
	f := New(src, manual, &sink{}, WithLogger(discardLogger(), "test"), WithPollDelay(func() spanrill.Millis { return 0 }))
	f.Step(context.Background())
	f.Step(context.Background())
	if pause := f.Step(context.Background()); pause != minPollInterval || len(src.calls) != 2 {
		t.Fatalf("pause of %d ms after %d calls, want %d ms after 2", pause, len(src.calls), minPollInterval)
	}
	f.Wake()
	f.Wake()
	f.pause(context.Background(), spanrill.Minute) // returns although the clock stands still
	f.failures = 1
	f.Wake()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.pause(ctx, spanrill.Minute)
	if len(f.wake) != 1 {
		t.Fatal("the pause after a failed call was ended by Wake")
	}
}
