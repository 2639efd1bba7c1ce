package engine

import (
	"bufio"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/standin/model"
	"spanrill/standin/web"
)

// prefillChunk is the number of positions in one prefill step.
const prefillChunk = 64

// generation is a run whose first stage is this engine.
type generation struct {
	engine *Engine
	req    *spanrill.RunRequest
	spec   model.Spec
	words  []string // prompt and generated words
	prompt int      // words of the prompt alone
	cached int      // positions taken from caches
	pos    int
	out    model.Activation
	ran    []spanrill.StageRun
}

func (e *Engine) serveRun(ctx *fasthttp.RequestCtx) {
	req := &spanrill.RunRequest{}
	if err := json.Unmarshal(ctx.PostBody(), req); err != nil {
		e.refuseRun(ctx, e.refuse(spanrill.CodeBadRequest, "%v", err))
		return
	}
	g, refusal := e.newGeneration(req)
	if refusal != nil {
		e.refuseRun(ctx, refusal)
		return
	}
	ctx.SetContentType("application/x-ndjson")
	ctx.SetBodyStreamWriter(g.stream)
}

// refuseRun says that nothing ran.
func (e *Engine) refuseRun(ctx *fasthttp.RequestCtx, refusal *spanrill.RunError) {
	ctx.SetStatusCode(fasthttp.StatusConflict)
	web.WriteJSON(ctx, spanrill.RunEvent{Error: refusal})
}

func (e *Engine) newGeneration(req *spanrill.RunRequest) (*generation, *spanrill.RunError) {
	prompt, err := promptOf(req.Path, req.Body)
	if err != nil {
		return nil, e.refuse(spanrill.CodeBadRequest, "%v", err)
	}
	g := &generation{
		engine: e, req: req, words: model.Split(prompt),
		spec: model.Spec{Name: req.Model, Version: req.Version, Layers: req.LayerNum},
	}
	g.prompt = len(g.words)
	for _, t := range req.Generated {
		g.words = append(g.words, model.Word(t))
	}
	if g.prompt == 0 {
		return nil, e.refuse(spanrill.CodeBadRequest, "the prompt is empty")
	}
	return g, g.open()
}

// open opens the stream on all stages. A refusal means that no stage worked.
func (g *generation) open() *spanrill.RunError {
	keys := blockKeys(g.spec, g.words)
	reply := g.engine.stage(&stageOp{
		Op: opOpen, ID: g.req.ID, Spec: g.spec, Priority: g.req.Priority,
		Chain: g.req.Chain, Keys: keys,
	})
	if reply.Error != nil {
		g.close()
		return reply.Error
	}
	for b := len(keys); b > 0; b-- {
		if reply.Held&(1<<(b-1)) != 0 {
			g.cached = b * blockLen
			break
		}
	}
	return nil
}

func (g *generation) close() {
	g.engine.stage(&stageOp{Op: opClose, ID: g.req.ID})
}

// stream writes one line for each event.
func (g *generation) stream(w *bufio.Writer) {
	defer g.close()
	send := &sender{w: w, faults: g.engine.currentFaults()}
	if fault := g.prefill(); fault != nil {
		send.event(spanrill.RunEvent{Error: fault})
		return
	}
	for i := len(g.req.Generated); ; i++ {
		if i >= g.req.MaxTokens {
			send.end(spanrill.RunEvent{Index: i, Finish: spanrill.FinishLength})
			return
		}
		ev := g.token(i)
		if ev.Finish != spanrill.FinishNone {
			send.end(ev)
			return
		}
		if !send.token(ev, g.engine) {
			return
		}
		if fault := g.decode(model.Word(ev.Token)); fault != nil {
			send.event(spanrill.RunEvent{Error: fault})
			return
		}
	}
}

func (g *generation) token(i int) spanrill.RunEvent {
	t := model.Sample(g.out, g.req.Seed, i)
	ev := spanrill.RunEvent{
		Index: i, Token: t, Text: model.TokenText(t), StageRuns: g.ran,
		PromptTokens: g.prompt, CachedTokens: g.cached,
	}
	if t == model.EndToken {
		ev.Finish, ev.Text = spanrill.FinishStop, ""
	}
	return ev
}

func (g *generation) prefill() *spanrill.RunError {
	g.pos = g.cached
	restore := g.cached / blockLen
	for g.pos < len(g.words) {
		end := min(g.pos+prefillChunk, len(g.words))
		if fault := g.run(g.words[g.pos:end], restore, true); fault != nil {
			return fault
		}
		restore = 0
	}
	return nil
}

func (g *generation) decode(word string) *spanrill.RunError {
	return g.run([]string{word}, 0, false)
}

func (g *generation) run(words []string, restore int, prefill bool) *spanrill.RunError {
	acts := make([]model.Activation, len(words))
	for i, w := range words {
		acts[i] = model.Embed(g.spec, w)
	}
	reply := g.engine.stage(&stageOp{
		Op: opStep, ID: g.req.ID, Pos: g.pos, Restore: restore, Prefill: prefill, Acts: acts,
	})
	if reply.Error != nil {
		return reply.Error
	}
	g.pos += len(words)
	g.out, g.ran = reply.Act, reply.Ran
	return nil
}

// sender writes events and applies the faults of a stream.
type sender struct {
	w      *bufio.Writer
	faults Faults
	held   *spanrill.RunEvent
}

// event writes one event and reports whether the reader is still there.
func (s *sender) event(ev spanrill.RunEvent) bool {
	line, err := json.Marshal(ev)
	if err != nil {
		return false
	}
	_, _ = s.w.Write(append(line, '\n'))
	return s.w.Flush() == nil
}

func (s *sender) end(ev spanrill.RunEvent) {
	if s.held != nil {
		s.event(*s.held)
	}
	s.event(ev)
}

func (s *sender) token(ev spanrill.RunEvent, e *Engine) bool {
	if f := s.faults; f.DieAtToken > 0 && ev.Index == f.DieAtToken {
		go e.Kill()
		return false
	}
	if s.faults.EndEarly > 0 && ev.Index == s.faults.EndEarly {
		return false
	}
	if s.faults.StallAtToken > 0 && ev.Index >= s.faults.StallAtToken {
		<-e.stopped
		return false
	}
	if s.faults.DropToken > 0 && ev.Index == s.faults.DropToken {
		return true
	}
	if s.faults.SwapTokens {
		return s.swap(ev)
	}
	if s.faults.DoubleTokens && !s.event(ev) {
		return false
	}
	return s.event(ev)
}

// swap sends each pair of tokens in the wrong order.
func (s *sender) swap(ev spanrill.RunEvent) bool {
	if s.held == nil {
		s.held = &ev
		return true
	}
	first := *s.held
	s.held = nil
	return s.event(ev) && s.event(first)
}
