package callerapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/pipeline"
	"spanrill/events"
)

// streamBuffer is how many tokens may wait for a slow reader before the
// engines are held back.
const streamBuffer = 64

// streamSink passes tokens from the runner to the writer of the body.
type streamSink struct {
	ctx    context.Context
	tokens chan spanrill.RunEvent
	done   chan struct{} // closed when the run has ended
	result *pipeline.Result
	failed *spanrill.Refusal
}

// Token takes the next token.
func (s *streamSink) Token(ev *spanrill.RunEvent) error {
	select {
	case s.tokens <- *ev:
		return nil
	case <-s.ctx.Done():
		return errors.New("stream has no reader")
	}
}

// stream answers with server-sent events. The status is decided once the first
// token is there or the run has ended without one.
func (in *inference) stream() {
	ctx, cancel := context.WithCancel(in.server.ctx)
	sink := &streamSink{ctx: ctx, tokens: make(chan spanrill.RunEvent, streamBuffer), done: make(chan struct{})}
	in.server.streams.Start(ctx, "stream", func(ctx context.Context) error {
		defer close(sink.done)
		sink.result, sink.failed = in.server.Runner.Run(ctx, in.request, sink)
		in.finished(sink.result, sink.failed)
		return nil
	})
	first, ok := sink.next()
	if !ok && sink.failed != nil {
		cancel()
		in.release(0)
		in.refuse(sink.failed)
		return
	}
	in.streamed = true
	in.setOutcome(spanrill.OutcomeRan)
	in.ctx.SetContentType("text/event-stream")
	in.ctx.Response.Header.Set("Cache-Control", "no-cache")
	in.ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer in.done()
		defer cancel()
		in.write(&eventWriter{w: w, in: in}, sink, first, ok)
	})
}

// next returns the next token, or false when the run has ended.
func (s *streamSink) next() (spanrill.RunEvent, bool) {
	select {
	case ev := <-s.tokens:
		return ev, true
	case <-s.done:
	}
	select {
	case ev := <-s.tokens:
		return ev, true
	default:
		return spanrill.RunEvent{}, false
	}
}

func (in *inference) write(w *eventWriter, sink *streamSink, ev spanrill.RunEvent, ok bool) {
	sent := 0
	for ; ok; ev, ok = sink.next() {
		if ev.Index < in.skip {
			continue
		}
		if err := w.token(&ev); err != nil {
			in.server.Meters.CallersLeft.Inc()
			in.release(sent)
			return
		}
		sent++
	}
	in.release(sent)
	if sink.failed != nil {
		in.count(sink.failed)
		events.StreamFailed.Log(in.server.Log, logrus.Fields{
			"request": in.id, "after_token": sent, "reason": sink.failed.Reason().Code(), "detail": sink.failed.Detail(),
		})
		w.fail(sink.failed)
		return
	}
	in.server.Meters.CountOutcome(spanrill.OutcomeRan)
	w.end(sink.result)
}

// eventWriter writes the chunks of one answer.
type eventWriter struct {
	w       *bufio.Writer
	in      *inference
	started bool
}

func (e *eventWriter) token(ev *spanrill.RunEvent) error {
	if _, err := fmt.Fprintf(e.w, "id: %s\n", e.in.eventID(ev.Index+1)); err != nil {
		return fmt.Errorf("write event id: %w", err)
	}
	return e.chunk(e.choice(ev.Text), nil)
}

func (e *eventWriter) choice(text string) []choice {
	c := choice{}
	if e.in.path == PathCompletions {
		c.Text = &text
		return []choice{c}
	}
	c.Delta = &message{Content: text}
	if !e.started {
		c.Delta.Role = "assistant"
	}
	e.started = true
	return []choice{c}
}

func (e *eventWriter) chunk(choices []choice, u *usage) error {
	return e.data(completion{
		ID: e.in.id, Object: e.in.object(true), Created: int64(e.in.server.Clock.Unix() / spanrill.Second),
		Model: *e.in.body.Model, Choices: choices, Usage: u,
	})
}

func (e *eventWriter) data(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode chunk: %w", err)
	}
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", line); err != nil {
		return fmt.Errorf("write chunk: %w", err)
	}
	if err := e.w.Flush(); err != nil {
		return fmt.Errorf("flush chunk: %w", err)
	}
	return nil
}

// end writes the reason for the end, the usage if asked for, and [DONE]. A
// reader that is gone by now has the whole text.
func (e *eventWriter) end(r *pipeline.Result) {
	last := e.choice("")
	finish := string(r.Finish())
	last[0].FinishReason = &finish
	err := e.chunk(last, nil)
	if o := e.in.body.StreamOptions; err == nil && o != nil && o.IncludeUsage {
		err = e.chunk([]choice{}, usageOf(r))
	}
	if err == nil {
		_, _ = e.w.WriteString("data: [DONE]\n\n")
		_ = e.w.Flush()
	}
}

// fail ends the stream with an explicit error, so that a cut answer never
// looks whole.
func (e *eventWriter) fail(r *spanrill.Refusal) {
	_ = e.data(r)
}
