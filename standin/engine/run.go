package engine

import (
	"bufio"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/standin/model"
	"spanrill/standin/web"
)

// prefillChunk is the maximum number of positions in a prefill step.
const prefillChunk = 64

// chainRun generates one answer on a chain whose first stage is this engine.
type chainRun struct {
	engine     *Engine
	req        *spanrill.RunRequest
	spec       model.Spec
	words      []string            // words of the prompt, then of the tokens that an earlier run generated
	promptLen  int                 // number of words in the prompt
	cachedLen  int                 // number of positions restored from the caches
	pos        int                 // number of positions that the chain has run or restored
	activation model.Activation    // output of the last position
	stageRuns  []spanrill.StageRun // runs of the last step, in chain order
}

func (e *Engine) serveRun(ctx *fasthttp.RequestCtx) {
	req := &spanrill.RunRequest{}
	if err := json.Unmarshal(ctx.PostBody(), req); err != nil {
		e.writeConflict(ctx, e.newRunError(spanrill.CodeBadRequest, "%v", err))
		return
	}
	r, runErr := e.newChainRun(req)
	if runErr != nil {
		e.writeConflict(ctx, runErr)
		return
	}
	ctx.SetContentType("application/x-ndjson")
	ctx.SetBodyStreamWriter(r.writeEvents)
}

// writeConflict answers with status 409 and an error: the request was refused and had no effect.
func (e *Engine) writeConflict(ctx *fasthttp.RequestCtx, runErr *spanrill.RunError) {
	ctx.SetStatusCode(fasthttp.StatusConflict)
	web.WriteJSON(ctx, spanrill.RunEvent{Error: runErr})
}

// newChainRun reads the prompt, appends the tokens already generated, and opens the stream.
func (e *Engine) newChainRun(req *spanrill.RunRequest) (*chainRun, *spanrill.RunError) {
	prompt, err := promptText(req.Path, req.Body)
	if err != nil {
		return nil, e.newRunError(spanrill.CodeBadRequest, "%v", err)
	}
	r := &chainRun{
		engine: e, req: req, words: model.SplitWords(prompt),
		spec: model.Spec{Name: req.Model, Version: req.Version, Layers: req.LayerCount},
	}
	r.promptLen = len(r.words)
	for _, t := range req.Generated {
		r.words = append(r.words, model.TokenWord(t))
	}
	if r.promptLen == 0 {
		return nil, e.newRunError(spanrill.CodeBadRequest, "the prompt is empty")
	}
	return r, r.open()
}

// open opens the stream on all stages and finds the longest prefix that every stage has cached. If
// it fails, no stage has run anything.
func (r *chainRun) open() *spanrill.RunError {
	keys := blockKeys(r.spec, r.words)
	reply := r.engine.handleStage(&stageRequest{
		Op: opOpen, ID: r.req.ID, Spec: r.spec, Priority: r.req.Priority,
		Chain: r.req.Chain, BlockKeys: keys,
	})
	if reply.Error != nil {
		r.close()
		return reply.Error
	}
	for b := len(keys); b > 0; b-- {
		if reply.CachedBlocks&(1<<(b-1)) != 0 {
			r.cachedLen = b * blockLen
			break
		}
	}
	return nil
}

// close closes the stream on all stages.
func (r *chainRun) close() {
	r.engine.handleStage(&stageRequest{Op: opClose, ID: r.req.ID})
}

// writeEvents generates the answer and writes each event as one line.
func (r *chainRun) writeEvents(w *bufio.Writer) {
	defer r.close()
	out := &eventWriter{w: w, faults: r.engine.currentFaults()}
	if runErr := r.prefill(); runErr != nil {
		out.write(spanrill.RunEvent{Error: runErr})
		return
	}
	for i := len(r.req.Generated); ; i++ {
		if i >= r.req.MaxTokens {
			out.writeEnd(spanrill.RunEvent{Index: i, Finish: spanrill.FinishLength})
			return
		}
		ev := r.sampleToken(i)
		if ev.Finish != spanrill.FinishNone {
			out.writeEnd(ev)
			return
		}
		if !out.writeToken(ev, r.engine) {
			return
		}
		if runErr := r.decodeWord(model.TokenWord(ev.Token)); runErr != nil {
			out.write(spanrill.RunEvent{Error: runErr})
			return
		}
	}
}

// sampleToken returns the event of the i-th token.
func (r *chainRun) sampleToken(i int) spanrill.RunEvent {
	token := model.Sample(r.activation, r.req.Seed, i)
	ev := spanrill.RunEvent{
		Index: i, Token: token, Text: model.TokenText(token), StageRuns: r.stageRuns,
		PromptTokens: r.promptLen, CachedTokens: r.cachedLen,
	}
	if token == model.EndToken {
		ev.Finish, ev.Text = spanrill.FinishStop, ""
	}
	return ev
}

// prefill runs the words whose positions are not cached.
func (r *chainRun) prefill() *spanrill.RunError {
	r.pos = r.cachedLen
	restoreBlocks := r.cachedLen / blockLen
	for r.pos < len(r.words) {
		end := min(r.pos+prefillChunk, len(r.words))
		if runErr := r.runWords(r.words[r.pos:end], restoreBlocks, true); runErr != nil {
			return runErr
		}
		restoreBlocks = 0
	}
	return nil
}

// decodeWord runs one generated word through all stages.
func (r *chainRun) decodeWord(word string) *spanrill.RunError {
	return r.runWords([]string{word}, 0, false)
}

// runWords runs one step through all stages. restoreBlocks is the number of cached blocks that the
// stages restore first, 0 for none.
func (r *chainRun) runWords(words []string, restoreBlocks int, prefill bool) *spanrill.RunError {
	activations := make([]model.Activation, len(words))
	for i, w := range words {
		activations[i] = model.Embed(r.spec, w)
	}
	reply := r.engine.handleStage(&stageRequest{
		Op: opStep, ID: r.req.ID, Pos: r.pos, RestoreBlocks: restoreBlocks, Prefill: prefill, Activations: activations,
	})
	if reply.Error != nil {
		return reply.Error
	}
	r.pos += len(words)
	r.activation, r.stageRuns = reply.Activation, reply.StageRuns
	return nil
}

// eventWriter writes the events of a stream, with the faults of the engine applied.
type eventWriter struct {
	w       *bufio.Writer
	faults  Faults
	delayed *spanrill.RunEvent // first token of a pair, to be written after the second
}

// write writes one event and reports whether the client is still connected.
func (ew *eventWriter) write(ev spanrill.RunEvent) bool {
	line, err := json.Marshal(ev)
	if err != nil {
		return false
	}
	_, _ = ew.w.Write(append(line, '\n'))
	return ew.w.Flush() == nil
}

// writeEnd writes the last event, preceded by the delayed token if there is one.
func (ew *eventWriter) writeEnd(ev spanrill.RunEvent) {
	if ew.delayed != nil {
		ew.write(*ew.delayed)
	}
	ew.write(ev)
}

// writeToken writes a token. Depending on the faults, it writes it twice, out of order or not at all,
// or ends the stream. It reports whether the stream goes on.
func (ew *eventWriter) writeToken(ev spanrill.RunEvent, e *Engine) bool {
	if f := ew.faults; f.KillAtToken > 0 && ev.Index == f.KillAtToken {
		go e.Kill()
		return false
	}
	if ew.faults.EndEarly > 0 && ev.Index == ew.faults.EndEarly {
		return false
	}
	if ew.faults.StallAtToken > 0 && ev.Index >= ew.faults.StallAtToken {
		<-e.stopped
		return false
	}
	if ew.faults.DropToken > 0 && ev.Index == ew.faults.DropToken {
		return true
	}
	if ew.faults.SwapTokens {
		return ew.writeSwapped(ev)
	}
	if ew.faults.DoubleTokens && !ew.write(ev) {
		return false
	}
	return ew.write(ev)
}

// writeSwapped delays the first token of each pair until the second is written. It reports whether the
// client is still connected.
func (ew *eventWriter) writeSwapped(ev spanrill.RunEvent) bool {
	if ew.delayed == nil {
		ew.delayed = &ev
		return true
	}
	first := *ew.delayed
	ew.delayed = nil
	return ew.write(ev) && ew.write(first)
}
