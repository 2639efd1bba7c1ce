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

// streamBufferTokens is how many tokens may wait for a slow caller before the engines are slowed
// down.
const streamBufferTokens = 64

// streamSink passes tokens from the pipeline to the goroutine that writes the body.
type streamSink struct {
	ctx     context.Context
	tokens  chan spanrill.RunEvent
	done    chan struct{} // closed when the generation has ended
	result  *pipeline.Result
	refusal *spanrill.Refusal
}

// Token queues the next token. It blocks while the queue is full.
func (s *streamSink) Token(ev *spanrill.RunEvent) error {
	select {
	case s.tokens <- *ev:
		return nil
	case <-s.ctx.Done():
		return errors.New("the stream was canceled")
	}
}

// respondStream answers with server-sent events. It waits for the first token before it sends a
// status, so that a generation that fails without one gets an ordinary refusal.
func (in *inference) respondStream() {
	ctx, cancel := context.WithCancel(in.server.ctx)
	sink := &streamSink{ctx: ctx, tokens: make(chan spanrill.RunEvent, streamBufferTokens), done: make(chan struct{})}
	in.server.streams.Start(ctx, "stream", func(ctx context.Context) error {
		defer close(sink.done)
		sink.result, sink.refusal = in.server.Runner.Run(ctx, in.request, sink)
		in.recordFinished(sink.result, sink.refusal)
		return nil
	})
	first, ok := sink.next()
	if !ok && sink.refusal != nil {
		cancel()
		in.endAdmission(0)
		in.refuse(sink.refusal)
		return
	}
	in.streaming = true
	in.setOutcome(spanrill.OutcomeRan)
	in.ctx.SetContentType("text/event-stream")
	in.ctx.Response.Header.Set("Cache-Control", "no-cache")
	in.ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer in.finish()
		defer cancel()
		in.writeStream(&eventWriter{w: w, in: in}, sink, first, ok)
	})
}

// next returns the next token, or false after the last one.
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

// writeStream writes the events of all tokens and the end of the stream. The first token is ev if
// ok is true; otherwise there are none. Tokens that the caller already has are skipped.
func (in *inference) writeStream(w *eventWriter, sink *streamSink, ev spanrill.RunEvent, ok bool) {
	sent := 0
	for ; ok; ev, ok = sink.next() {
		if ev.Index < in.skipTokens {
			continue
		}
		if err := w.writeToken(&ev); err != nil {
			in.server.Meters.CallersLeft.Inc()
			in.endAdmission(sent)
			return
		}
		sent++
	}
	in.endAdmission(sent)
	if sink.refusal != nil {
		in.recordRefusal(sink.refusal)
		events.StreamFailed.Log(in.server.Log, logrus.Fields{
			"request": in.id, "after_token": sent, "reason": sink.refusal.Reason().Code(), "detail": sink.refusal.Detail(),
		})
		w.writeError(sink.refusal)
		return
	}
	in.server.Meters.CountOutcome(spanrill.OutcomeRan)
	w.writeEnd(sink.result)
}

// eventWriter writes the events of one answer.
type eventWriter struct {
	w        *bufio.Writer
	in       *inference
	roleSent bool
}

// writeToken writes the event of a token, with an id from which the stream can be resumed.
func (e *eventWriter) writeToken(ev *spanrill.RunEvent) error {
	if _, err := fmt.Fprintf(e.w, "id: %s\n", e.in.eventID(ev.Index+1)); err != nil {
		return fmt.Errorf("write event id: %w", err)
	}
	return e.writeChunk(e.choices(ev.Text), nil)
}

// choices returns the choices of a chunk. The first chunk of a chat has the role.
func (e *eventWriter) choices(text string) []choice {
	c := choice{}
	if e.in.path == PathCompletions {
		c.Text = &text
		return []choice{c}
	}
	c.Delta = &message{Content: text}
	if !e.roleSent {
		c.Delta.Role = "assistant"
	}
	e.roleSent = true
	return []choice{c}
}

// writeChunk writes one chunk of the answer.
func (e *eventWriter) writeChunk(choices []choice, u *usage) error {
	return e.writeData(completion{
		ID: e.in.id, Object: e.in.object(true), Created: int64(e.in.server.Clock.Unix() / spanrill.Second),
		Model: *e.in.body.Model, Choices: choices, Usage: u,
	})
}

// writeData writes v as the data of an event and flushes it.
func (e *eventWriter) writeData(v any) error {
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

// writeEnd writes the finish reason, the usage if the caller wants it, and [DONE]. It ignores write
// errors, since the whole text has been written by then.
func (e *eventWriter) writeEnd(r *pipeline.Result) {
	last := e.choices("")
	finish := string(r.Finish())
	last[0].FinishReason = &finish
	err := e.writeChunk(last, nil)
	if o := e.in.body.StreamOptions; err == nil && o != nil && o.IncludeUsage {
		err = e.writeChunk([]choice{}, usageOf(r))
	}
	if err == nil {
		_, _ = e.w.WriteString("data: [DONE]\n\n")
		_ = e.w.Flush()
	}
}

// writeError ends the stream with an error event, so that an incomplete answer never looks
// complete.
func (e *eventWriter) writeError(r *spanrill.Refusal) {
	_ = e.writeData(r)
}
