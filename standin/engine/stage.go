package engine

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/standin/model"
)

// stageOp is what one stage asks of the next.
type stageOp struct {
	Op       string              `json:"op"` // open, step or close
	ID       string              `json:"id"`
	Spec     model.Spec          `json:"spec"`
	Priority int                 `json:"priority"`
	Chain    []spanrill.StageRef `json:"chain,omitempty"` // open: this stage and those behind it
	Keys     []uint64            `json:"keys,omitempty"`  // open: prefix blocks
	Pos      int                 `json:"pos"`             // step: first position
	Restore  int                 `json:"restore"`         // step: start from this many cached blocks
	Prefill  bool                `json:"prefill"`
	Acts     []model.Activation  `json:"acts,omitempty"`
}

// stageReply answers a stageOp.
type stageReply struct {
	Act   model.Activation    `json:"act"`
	Ran   []spanrill.StageRun `json:"ran,omitempty"`
	Held  uint64              `json:"held"`
	Error *spanrill.RunError  `json:"error,omitempty"`
}

// stream is one generation that crosses this engine.
type stream struct {
	id       string
	layers   spanrill.LayerRange
	priority int
	rest     []spanrill.StageRef
	keys     []uint64
	kv       []model.KV
	pos      int
	used     time.Time
}

const (
	opOpen  = "open"
	opStep  = "step"
	opClose = "close"
)

func (e *Engine) refuse(code, format string, args ...any) *spanrill.RunError {
	return &spanrill.RunError{Code: code, Engine: e.name, Detail: fmt.Sprintf(format, args...)}
}

// stage does one operation here and on all stages behind.
func (e *Engine) stage(op *stageOp) *stageReply {
	switch op.Op {
	case opOpen:
		return e.open(op)
	case opStep:
		return e.step(op)
	case opClose:
		return e.closeStream(op)
	}
	return &stageReply{Error: e.refuse(spanrill.CodeBadRequest, "unknown operation %q", op.Op)}
}

func (e *Engine) open(op *stageOp) *stageReply {
	held, refusal := e.admit(op)
	if refusal != nil {
		return &stageReply{Error: refusal}
	}
	if len(op.Chain) == 1 {
		return &stageReply{Held: held}
	}
	next := *op
	next.Chain = op.Chain[1:]
	reply := e.call(op.Chain[1], &next)
	reply.Held &= held
	return reply
}

// admit checks the route against what the engine holds, before any work.
func (e *Engine) admit(op *stageOp) (uint64, *spanrill.RunError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(op.Chain) == 0 {
		return 0, e.refuse(spanrill.CodeBadRequest, "the chain is empty")
	}
	ref := op.Chain[0]
	switch {
	case e.faults.Leaving:
		return 0, e.refuse(spanrill.CodeLeaving, "this engine is leaving")
	case e.loading:
		return 0, e.refuse(spanrill.CodeMismatch, "this engine is loading")
	case op.Spec != e.spec:
		return 0, e.refuse(spanrill.CodeMismatch, "holds %v, asked for %v", e.spec, op.Spec)
	case ref.Layers != e.layers:
		return 0, e.refuse(spanrill.CodeMismatch, "holds layers %v, asked for %v", e.layers, ref.Layers)
	case ref.Generation != e.generation:
		return 0, e.refuse(spanrill.CodeMismatch, "is of generation %d, asked for %d", e.generation, ref.Generation)
	}
	e.streams[op.ID] = &stream{
		id: op.ID, layers: e.layers, priority: op.Priority, rest: op.Chain[1:],
		keys: op.Keys, kv: make([]model.KV, e.layers.Len()), used: time.Now(),
	}
	return e.cache.held(op.Keys), nil
}

func (e *Engine) step(op *stageOp) *stageReply {
	s, refusal := e.begin(op)
	if refusal != nil {
		return &stageReply{Error: refusal}
	}
	started := time.Now()
	e.batch.run(weight(op), s.priority)
	acts := e.fold(s, op)
	proof := spanrill.StageRun{Engine: e.name, Layers: e.proofRange(s), Micros: time.Since(started).Microseconds()}
	reply := &stageReply{Act: acts[len(acts)-1]}
	if len(s.rest) > 0 {
		next := *op
		next.Acts = acts
		reply = e.call(s.rest[0], &next)
	}
	reply.Ran = append([]spanrill.StageRun{proof}, reply.Ran...)
	return reply
}

func weight(op *stageOp) float64 {
	if op.Prefill {
		return prefillWeight * float64(len(op.Acts))
	}
	return float64(len(op.Acts))
}

// begin checks that the KV is that of all positions before this one.
func (e *Engine) begin(op *stageOp) (*stream, *spanrill.RunError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[op.ID]
	if s == nil {
		return nil, e.refuse(spanrill.CodeStageLost, "stream %s is not open", op.ID)
	}
	s.used = time.Now()
	if op.Restore > 0 && s.pos == 0 {
		kv := e.cache.get(s.keys[op.Restore-1])
		if kv == nil {
			return nil, e.refuse(spanrill.CodeBusy, "cached prefix was evicted")
		}
		copy(s.kv, kv)
		s.pos = op.Restore * blockLen
	}
	if op.Pos != s.pos {
		return nil, e.refuse(spanrill.CodeBadRequest, "has %d positions, asked for position %d", s.pos, op.Pos)
	}
	return s, nil
}

// fold runs the positions through the layers and caches whole blocks.
func (e *Engine) fold(s *stream, op *stageOp) []model.Activation {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := s.layers
	kv := s.kv
	if e.faults.SkipLayer {
		run.To--
		kv = kv[:run.Len()]
	}
	out := make([]model.Activation, len(op.Acts))
	for i, a := range op.Acts {
		out[i] = model.Fold(run, kv, a)
		s.pos++
		if block := s.pos/blockLen - 1; s.pos%blockLen == 0 && block < len(s.keys) {
			e.cache.put(s.keys[block], s.kv)
		}
	}
	return out
}

func (e *Engine) proofRange(s *stream) spanrill.LayerRange {
	r := s.layers
	if e.currentFaults().MisreportRange {
		r.To--
	}
	return r
}

func (e *Engine) closeStream(op *stageOp) *stageReply {
	e.mu.Lock()
	s := e.streams[op.ID]
	delete(e.streams, op.ID)
	e.mu.Unlock()
	if s == nil || len(s.rest) == 0 {
		return &stageReply{}
	}
	return e.call(s.rest[0], op)
}

// stageTimeout bounds one call to the next stage.
const stageTimeout = 20 * time.Second

// call asks the next stage, which asks those behind it.
func (e *Engine) call(next spanrill.StageRef, op *stageOp) *stageReply {
	started := time.Now()
	if us := e.currentFaults().LinkMicros[next.Engine]; us > 0 {
		<-time.After(time.Duration(us) * time.Microsecond)
	}
	reply, err := e.post(next.Addr, op)
	if err != nil {
		lost := &spanrill.RunError{Code: spanrill.CodeStageLost, Engine: next.Engine, Detail: err.Error()}
		return &stageReply{Error: lost}
	}
	noteLink(reply.Ran, time.Since(started))
	return reply
}

// noteLink writes down what of a call's time was spent on the link.
func noteLink(ran []spanrill.StageRun, whole time.Duration) {
	if len(ran) == 0 {
		return
	}
	link := whole.Microseconds()
	for _, r := range ran {
		link -= r.Micros + r.LinkMicros
	}
	ran[0].LinkMicros = max(0, link)
}

func (e *Engine) post(addr string, op *stageOp) (*stageReply, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body, err := json.Marshal(op)
	if err != nil {
		return nil, fmt.Errorf("encode stage call: %w", err)
	}
	req.SetRequestURI("http://" + addr + "/v1/stage")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	if err := e.client.DoTimeout(req, resp, stageTimeout); err != nil {
		return nil, fmt.Errorf("call next stage: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Errorf("next stage answered %d", resp.StatusCode())
	}
	reply := &stageReply{}
	if err := json.Unmarshal(resp.Body(), reply); err != nil {
		return nil, fmt.Errorf("decode answer of next stage: %w", err)
	}
	return reply, nil
}
