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

// stageRequest is a request to a stage: from the previous one or, at the first stage, its chainRun.
type stageRequest struct {
	Op            string              `json:"op"` // open, step or close
	ID            string              `json:"id"`
	Spec          model.Spec          `json:"spec"`
	Priority      int                 `json:"priority"`
	Chain         []spanrill.StageRef `json:"chain,omitempty"` // open: this stage and those behind it
	BlockKeys     []uint64            `json:"keys,omitempty"`  // open: keys of the prompt's prefix blocks
	Pos           int                 `json:"pos"`             // step: its first position
	RestoreBlocks int                 `json:"restore"`         // step: number of cached blocks to start from, 0 for none
	Prefill       bool                `json:"prefill"`
	Activations   []model.Activation  `json:"acts,omitempty"`
}

// stageReply is the answer to a stageRequest. It covers the stage and all behind it: the activation
// is that of the last stage, the runs are in chain order, and the blocks are those that every
// stage has cached.
type stageReply struct {
	Activation   model.Activation    `json:"act"`
	StageRuns    []spanrill.StageRun `json:"ran,omitempty"`
	CachedBlocks uint64              `json:"held"`
	Error        *spanrill.RunError  `json:"error,omitempty"`
}

// stream is this engine's state of one generation.
type stream struct {
	id         string
	layers     spanrill.LayerRange
	priority   int
	nextStages []spanrill.StageRef
	blockKeys  []uint64
	kv         []model.KV
	pos        int
	lastUsed   time.Time
}

const (
	opOpen  = "open"
	opStep  = "step"
	opClose = "close"
)

// newRunError returns an error of this stage.
func (e *Engine) newRunError(code, format string, args ...any) *spanrill.RunError {
	return &spanrill.RunError{Code: code, Engine: e.name, Detail: fmt.Sprintf(format, args...)}
}

// handleStage performs an operation on this stage and all stages behind it.
func (e *Engine) handleStage(op *stageRequest) *stageReply {
	switch op.Op {
	case opOpen:
		return e.openStream(op)
	case opStep:
		return e.runStep(op)
	case opClose:
		return e.closeStream(op)
	}
	return &stageReply{Error: e.newRunError(spanrill.CodeBadRequest, "unknown operation %q", op.Op)}
}

// openStream opens a stream and returns which of its blocks are cached on every stage.
func (e *Engine) openStream(op *stageRequest) *stageReply {
	cached, runErr := e.admit(op)
	if runErr != nil {
		return &stageReply{Error: runErr}
	}
	if len(op.Chain) == 1 {
		return &stageReply{CachedBlocks: cached}
	}
	next := *op
	next.Chain = op.Chain[1:]
	reply := e.callStage(op.Chain[1], &next)
	reply.CachedBlocks &= cached
	return reply
}

// admit opens a stream on this stage if the request matches the model, layers and generation that
// the engine holds. It returns a bit mask of the stream's blocks that the prefix cache holds.
func (e *Engine) admit(op *stageRequest) (uint64, *spanrill.RunError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(op.Chain) == 0 {
		return 0, e.newRunError(spanrill.CodeBadRequest, "the chain is empty")
	}
	ref := op.Chain[0]
	switch {
	case e.faults.Leaving:
		return 0, e.newRunError(spanrill.CodeLeaving, "the engine is leaving")
	case e.loading:
		return 0, e.newRunError(spanrill.CodeMismatch, "the engine is loading a model")
	case op.Spec != e.spec:
		return 0, e.newRunError(spanrill.CodeMismatch, "the engine holds model %v, the request is for %v", e.spec, op.Spec)
	case ref.Layers != e.layers:
		return 0, e.newRunError(spanrill.CodeMismatch, "the engine holds layers %v, the request is for %v", e.layers, ref.Layers)
	case ref.Generation != e.generation:
		return 0, e.newRunError(spanrill.CodeMismatch, "the engine is at generation %d, the request is for %d", e.generation, ref.Generation)
	}
	e.streams[op.ID] = &stream{
		id: op.ID, layers: e.layers, priority: op.Priority, nextStages: op.Chain[1:],
		blockKeys: op.BlockKeys, kv: make([]model.KV, e.layers.Len()), lastUsed: time.Now(),
	}
	return e.cache.cachedBlocks(op.BlockKeys), nil
}

// runStep runs some positions of a stream through this stage and all stages behind it.
func (e *Engine) runStep(op *stageRequest) *stageReply {
	s, runErr := e.beginStep(op)
	if runErr != nil {
		return &stageReply{Error: runErr}
	}
	started := time.Now()
	e.batcher.execute(stepWeight(op), s.priority)
	activations := e.runLayers(s, op)
	stageRun := spanrill.StageRun{Engine: e.name, Layers: e.reportedRange(s), Micros: time.Since(started).Microseconds()}
	reply := &stageReply{Activation: activations[len(activations)-1]}
	if len(s.nextStages) > 0 {
		next := *op
		next.Activations = activations
		reply = e.callStage(s.nextStages[0], &next)
	}
	reply.StageRuns = append([]spanrill.StageRun{stageRun}, reply.StageRuns...)
	return reply
}

// stepWeight returns the cost of a step, in decode positions.
func stepWeight(op *stageRequest) float64 {
	if op.Prefill {
		return prefillCost * float64(len(op.Activations))
	}
	return float64(len(op.Activations))
}

// beginStep returns the stream of a step. It restores the KV cache of the prefix if the step asks
// for it, and checks that the KV cache covers exactly the positions before the step.
func (e *Engine) beginStep(op *stageRequest) (*stream, *spanrill.RunError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[op.ID]
	if s == nil {
		return nil, e.newRunError(spanrill.CodeStageLost, "stream %s is not open", op.ID)
	}
	s.lastUsed = time.Now()
	if op.RestoreBlocks > 0 && s.pos == 0 {
		kv := e.cache.get(s.blockKeys[op.RestoreBlocks-1])
		if kv == nil {
			return nil, e.newRunError(spanrill.CodeBusy, "the cached prefix was evicted")
		}
		copy(s.kv, kv)
		s.pos = op.RestoreBlocks * blockLen
	}
	if op.Pos != s.pos {
		return nil, e.newRunError(spanrill.CodeBadRequest, "the stream is at position %d, the request is for position %d", s.pos, op.Pos)
	}
	return s, nil
}

// runLayers runs the positions of a step through the layers, and caches each complete prefix block.
func (e *Engine) runLayers(s *stream, op *stageRequest) []model.Activation {
	e.mu.Lock()
	defer e.mu.Unlock()
	layers := s.layers
	kv := s.kv
	if e.faults.SkipLayer {
		layers.To--
		kv = kv[:layers.Len()]
	}
	out := make([]model.Activation, len(op.Activations))
	for i, in := range op.Activations {
		out[i] = model.RunLayers(layers, kv, in)
		s.pos++
		if block := s.pos/blockLen - 1; s.pos%blockLen == 0 && block < len(s.blockKeys) {
			e.cache.put(s.blockKeys[block], s.kv)
		}
	}
	return out
}

// reportedRange returns the layers that this stage reports as run.
func (e *Engine) reportedRange(s *stream) spanrill.LayerRange {
	r := s.layers
	if e.currentFaults().MisreportRange {
		r.To--
	}
	return r
}

// closeStream closes a stream on this stage and all stages behind it.
func (e *Engine) closeStream(op *stageRequest) *stageReply {
	e.mu.Lock()
	s := e.streams[op.ID]
	delete(e.streams, op.ID)
	e.mu.Unlock()
	if s == nil || len(s.nextStages) == 0 {
		return &stageReply{}
	}
	return e.callStage(s.nextStages[0], op)
}

// stageTimeout bounds a call to the next stage, which includes its calls to the stages behind it.
const stageTimeout = 20 * time.Second

// callStage calls the next stage, after the delay of the link to it.
func (e *Engine) callStage(next spanrill.StageRef, op *stageRequest) *stageReply {
	started := time.Now()
	if us := e.currentFaults().LinkMicros[next.Engine]; us > 0 {
		<-time.After(time.Duration(us) * time.Microsecond)
	}
	reply, err := e.postStage(next.Addr, op)
	if err != nil {
		runErr := &spanrill.RunError{Code: spanrill.CodeStageLost, Engine: next.Engine, Detail: err.Error()}
		return &stageReply{Error: runErr}
	}
	setLinkTime(reply.StageRuns, time.Since(started))
	return reply
}

// setLinkTime sets the link time of the first of runs, the stage that was called: the total time of
// the call without the times that the stages report.
func setLinkTime(runs []spanrill.StageRun, total time.Duration) {
	if len(runs) == 0 {
		return
	}
	link := total.Microseconds()
	for _, r := range runs {
		link -= r.Micros + r.LinkMicros
	}
	runs[0].LinkMicros = max(0, link)
}

func (e *Engine) postStage(addr string, op *stageRequest) (*stageReply, error) {
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
		return nil, errors.Errorf("next stage returned status %d", resp.StatusCode())
	}
	reply := &stageReply{}
	if err := json.Unmarshal(resp.Body(), reply); err != nil {
		return nil, fmt.Errorf("decode reply of next stage: %w", err)
	}
	return reply, nil
}
