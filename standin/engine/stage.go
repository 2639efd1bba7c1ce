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

// stageRequest is a request to a stage. It comes from the previous stage or, at the first stage, from
// the chainRun on the same engine.
type stageRequest struct {
	Op            string              `json:"op"` // open, step or close
	ID            string              `json:"id"`
	Spec          model.Spec          `json:"spec"`
	Priority      int                 `json:"priority"`
	Chain         []spanrill.StageRef `json:"chain,omitempty"` // open: this stage and those behind it
	BlockKeys     []uint64            `json:"keys,omitempty"`  // open: keys of the prompt's prefix blocks
	Pos           int                 `json:"pos"`             // step: its first position
	RestoreBlocks int                 `json:"restore"`         // step: number of cached blocks to start from, 0 for none
	Prefill       bool                `json:"prefill"`         // step: whether its positions are prefilled, which costs less than decoding
	Activations   []model.Activation  `json:"acts,omitempty"`
}

// stageReply is the answer to a stageRequest. It covers the stage and all behind it: the activation
// is that of the last stage, the runs are in chain order, and the cached blocks are a bit mask of
// those that every stage has cached.
type stageReply struct {
	Activation   model.Activation    `json:"act"`
	StageRuns    []spanrill.StageRun `json:"ran,omitempty"`
	CachedBlocks uint64              `json:"held"`
	Error        *spanrill.RunError  `json:"error,omitempty"`
}

// stream is the state of one answer on this stage.
type stream struct {
	id         string
	layers     spanrill.LayerRange
	priority   int
	nextStages []spanrill.StageRef
	blockKeys  []uint64
	kv         []model.KV
	pos        int // number of positions that kv covers
	lastUsed   time.Time
}

const (
	opOpen  = "open"
	opStep  = "step"
	opClose = "close"
)

// newRunError returns an error that names this engine.
func (e *Engine) newRunError(code, format string, args ...any) *spanrill.RunError {
	return &spanrill.RunError{Code: code, Engine: e.name, Detail: fmt.Sprintf(format, args...)}
}

// handleStage performs an operation on this stage and all stages behind it.
func (e *Engine) handleStage(request *stageRequest) *stageReply {
	switch request.Op {
	case opOpen:
		return e.openStream(request)
	case opStep:
		return e.runStep(request)
	case opClose:
		return e.closeStream(request)
	}
	return &stageReply{Error: e.newRunError(spanrill.CodeBadRequest, "unknown operation %q", request.Op)}
}

// openStream opens a stream on this stage and all stages behind it, and returns which of its blocks
// are cached on every stage.
func (e *Engine) openStream(request *stageRequest) *stageReply {
	cached, runErr := e.admit(request)
	if runErr != nil {
		return &stageReply{Error: runErr}
	}
	if len(request.Chain) == 1 {
		return &stageReply{CachedBlocks: cached}
	}
	nextRequest := *request
	nextRequest.Chain = request.Chain[1:]
	reply := e.callStage(request.Chain[1], &nextRequest)
	reply.CachedBlocks &= cached
	return reply
}

// admit opens a stream on this stage if the request matches the model, layers and generation that
// the engine holds. It returns a bit mask of the stream's blocks that the prefix cache holds.
func (e *Engine) admit(request *stageRequest) (uint64, *spanrill.RunError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(request.Chain) == 0 {
		return 0, e.newRunError(spanrill.CodeBadRequest, "the chain is empty")
	}
	ref := request.Chain[0]
	switch {
	case e.faults.Leaving:
		return 0, e.newRunError(spanrill.CodeLeaving, "the engine is leaving")
	case e.loading:
		return 0, e.newRunError(spanrill.CodeMismatch, "the engine is loading a model")
	case request.Spec != e.spec:
		return 0, e.newRunError(spanrill.CodeMismatch, "the engine holds model %v, the request is for %v", e.spec, request.Spec)
	case ref.Layers != e.layers:
		return 0, e.newRunError(spanrill.CodeMismatch, "the engine holds layers %v, the request is for %v", e.layers, ref.Layers)
	case ref.Generation != e.generation:
		return 0, e.newRunError(spanrill.CodeMismatch, "the engine is at generation %d, the request is for %d", e.generation, ref.Generation)
	}
	e.streams[request.ID] = &stream{
		id: request.ID, layers: e.layers, priority: request.Priority, nextStages: request.Chain[1:],
		blockKeys: request.BlockKeys, kv: make([]model.KV, e.layers.Len()), lastUsed: time.Now(),
	}
	return e.cache.cachedBlocks(request.BlockKeys), nil
}

// runStep runs the positions of a step through this stage and all stages behind it.
func (e *Engine) runStep(request *stageRequest) *stageReply {
	s, runErr := e.beginStep(request)
	if runErr != nil {
		return &stageReply{Error: runErr}
	}
	started := time.Now()
	e.batcher.execute(stepWeight(request), s.priority)
	activations := e.runLayers(s, request)
	stageRun := spanrill.StageRun{Engine: e.name, Layers: e.reportedRange(s), Micros: time.Since(started).Microseconds()}
	reply := &stageReply{Activation: activations[len(activations)-1]}
	if len(s.nextStages) > 0 {
		nextRequest := *request
		nextRequest.Activations = activations
		reply = e.callStage(s.nextStages[0], &nextRequest)
	}
	reply.StageRuns = append([]spanrill.StageRun{stageRun}, reply.StageRuns...)
	return reply
}

// stepWeight returns the cost of a step, in decode positions.
func stepWeight(request *stageRequest) float64 {
	if request.Prefill {
		return prefillCost * float64(len(request.Activations))
	}
	return float64(len(request.Activations))
}

// beginStep returns the stream of a step. It restores the KV cache of the prefix if the step asks
// for it, and checks that the KV cache covers exactly the positions before the step.
func (e *Engine) beginStep(request *stageRequest) (*stream, *spanrill.RunError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[request.ID]
	if s == nil {
		return nil, e.newRunError(spanrill.CodeStageLost, "stream %s is not open", request.ID)
	}
	s.lastUsed = time.Now()
	if request.RestoreBlocks > 0 && s.pos == 0 {
		kv := e.cache.get(s.blockKeys[request.RestoreBlocks-1])
		if kv == nil {
			return nil, e.newRunError(spanrill.CodeBusy, "the cached prefix was evicted")
		}
		copy(s.kv, kv)
		s.pos = request.RestoreBlocks * blockLen
	}
	if request.Pos != s.pos {
		return nil, e.newRunError(spanrill.CodeBadRequest, "the stream is at position %d, the request is for position %d", s.pos, request.Pos)
	}
	return s, nil
}

// runLayers runs the positions of a step through the layers, and caches each complete prefix block.
func (e *Engine) runLayers(s *stream, request *stageRequest) []model.Activation {
	e.mu.Lock()
	defer e.mu.Unlock()
	layers := s.layers
	kv := s.kv
	if e.faults.SkipLayer {
		layers.To--
		kv = kv[:layers.Len()]
	}
	out := make([]model.Activation, len(request.Activations))
	for i, in := range request.Activations {
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
func (e *Engine) closeStream(request *stageRequest) *stageReply {
	e.mu.Lock()
	s := e.streams[request.ID]
	delete(e.streams, request.ID)
	e.mu.Unlock()
	if s == nil || len(s.nextStages) == 0 {
		return &stageReply{}
	}
	return e.callStage(s.nextStages[0], request)
}

// stageTimeout bounds a call to the next stage, which includes its calls to the stages behind it.
const stageTimeout = 20 * time.Second

// callStage calls the next stage, after the delay of the link to it.
func (e *Engine) callStage(next spanrill.StageRef, request *stageRequest) *stageReply {
	started := time.Now()
	if us := e.currentFaults().LinkMicros[next.Engine]; us > 0 {
		<-time.After(time.Duration(us) * time.Microsecond)
	}
	reply, err := e.postStage(next.Addr, request)
	if err != nil {
		runErr := &spanrill.RunError{Code: spanrill.CodeStageLost, Engine: next.Engine, Detail: err.Error()}
		return &stageReply{Error: runErr}
	}
	setLinkTime(reply.StageRuns, time.Since(started))
	return reply
}

// setLinkTime sets the link time of the stage that was called, runs[0]: the total time of the call
// minus the times that the stages report.
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

func (e *Engine) postStage(addr string, request *stageRequest) (*stageReply, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body, err := json.Marshal(request)
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
