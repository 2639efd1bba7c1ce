package relay

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/transport/httpcall"
)

// Guards against large answers that together take all memory, and against answers that wait for each
// other for ever when together they have taken all that there is.
func TestAnswerMemoryIsBounded(t *testing.T) {
	const total, answers, step = 16 << 20, 40, 64 << 10
	memory := newAnswerMemory(total)
	var inUse, most atomic.Int64
	var running sync.WaitGroup
	for range answers {
		running.Go(func() {
			hold := memoryHold{memory: memory}
			size := 0
			for ; size < memory.maxAnswer; size += step {
				if err := hold.grow(t.Context(), size+step); err != nil {
					t.Error(err)
					break
				}
				if n := inUse.Add(step); n > most.Load() {
					most.Store(n)
				}
			}
			inUse.Add(int64(-size))
			hold.release()
			hold.release()
		})
	}
	running.Wait()
	if limit := int64(total + answers*freeAnswerBytes); most.Load() > limit {
		t.Fatalf("%d answers took up to %d bytes together, want at most %d", answers, most.Load(), limit)
	}
	if !memory.shared.TryAcquire(total/2) || !memory.exclusive.TryAcquire(1) {
		t.Fatal("memory is still held after all answers have ended")
	}
}

// Guards against an answer that waits for memory longer than its request lasts, against one that waits
// although it needs none, and against one that keeps others waiting when it grows no more.
func TestAnswerWaitsForMemory(t *testing.T) {
	memory := newAnswerMemory(2 << 20)
	first, second, third := memoryHold{memory: memory}, memoryHold{memory: memory}, memoryHold{memory: memory}
	for _, hold := range []*memoryHold{&first, &second} {
		if err := hold.grow(t.Context(), 1<<20); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := third.grow(ctx, freeAnswerBytes); err != nil {
		t.Errorf("a small answer gets %v, want no error", err)
	}
	if err := third.grow(ctx, 1<<20); !errors.Is(err, context.Canceled) {
		t.Errorf("a large answer of a request that has ended gets %v, want its error", err)
	}
	first.release()
	second.settle(1 << 20)
	if err := third.grow(t.Context(), 1<<20); err != nil || !third.isExclusive || second.isExclusive {
		t.Errorf("error %v; want the exclusive half after the second answer has moved to the shared one", err)
	}
}

// Guards against taking an upstream for failed because this daemon had no memory for its answer.
func TestLackOfAnswerMemoryIsNoFailureOfUpstream(t *testing.T) {
	for _, c := range []struct {
		name       string
		err        error
		wantFailed bool
	}{
		{"no memory", fmt.Errorf("%w: %w", errNoAnswerMemory, context.DeadlineExceeded), false},
		{"too large", httpcall.ErrTooLarge, true},
	} {
		q, manual := plainRequest()
		u := q.pickPlain(nil)
		a := attempt{upstream: u}
		a.recordFailure(manual.Now(), &spanrill.CallError{Phase: spanrill.PhaseAnswer, Written: 1, Cause: c.err})
		if failed := u.FailureRate(manual.Now()) > 0 || u.Avoided(manual.Now()); failed != c.wantFailed || a.outcome != spanrill.OutcomeUnknown {
			t.Errorf("%s: the upstream counts as failed %t and the outcome is %v; want %t and unknown", c.name, failed, a.outcome, c.wantFailed)
		}
	}
}

// Guards against memory that is held after an answer has been written or dropped.
func TestAnswerBodyReleasesMemory(t *testing.T) {
	memory := newAnswerMemory(2 << 20)
	segments, err := httpcall.ReadSegments(bytes.NewReader(make([]byte, 1<<20)), 1<<20, 1<<20, func(int) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	for name, end := range map[string]func(resp *fasthttp.Response){
		"dropped": (*fasthttp.Response).Reset,
		"closed":  func(resp *fasthttp.Response) { _ = resp.CloseBodyStream() },
	} {
		q := &request{relay: &Relay{answerMemory: memory}}
		body := &answerBody{Segments: segments, hold: memoryHold{memory: memory}}
		q.bodies = append(q.bodies, body)
		if err := body.hold.grow(t.Context(), 1<<20); err != nil {
			t.Fatal(err)
		}
		var resp fasthttp.Response
		body.passOn(&resp)
		q.releaseBodies()
		if memory.shared.TryAcquire(1 << 20) {
			t.Fatalf("%s: the memory was released before the answer was written", name)
		}
		end(&resp)
		if !memory.shared.TryAcquire(1 << 20) {
			t.Fatalf("%s: the memory is still held", name)
		}
		memory.shared.Release(1 << 20)
	}
}
