package pipeline

import (
	"github.com/pkg/errors"

	"spanrill"
)

// Causes for which the events of a stream are rejected.
var (
	// ErrLayers means that the layers did not run exactly once and in order.
	ErrLayers = errors.New("layers did not run exactly once and in order")
	// ErrGap means that a token is missing.
	ErrGap = errors.New("a token is missing")
)

// verifier checks the tokens of one attempt against its chain.
type verifier struct {
	layers int
	chain  []spanrill.StageRef
	next   int // index of the next token to deliver
}

// check reports whether the event's token is the next one to deliver. For a token that was delivered
// before, it returns false without an error.
func (v *verifier) check(ev *spanrill.RunEvent) (isNext bool, err error) {
	if ev.Index < v.next {
		return false, nil
	}
	if ev.Index > v.next {
		return false, errors.Wrapf(ErrGap, "expected index %d, got %d", v.next, ev.Index)
	}
	if err := v.checkLayers(ev.StageRuns); err != nil {
		return false, err
	}
	v.next++
	return true, nil
}

// checkLayers returns an error unless the stages of the chain ran all layers of the model in order.
func (v *verifier) checkLayers(runs []spanrill.StageRun) error {
	if len(runs) != len(v.chain) {
		return errors.Wrapf(ErrLayers, "%d stages ran, the chain has %d", len(runs), len(v.chain))
	}
	layer := 0
	for i, r := range runs {
		if r.Engine != v.chain[i].Engine {
			return errors.Wrapf(ErrLayers, "stage %d ran on %s, the chain names %s", i, r.Engine, v.chain[i].Engine)
		}
		if r.Layers.From != layer || r.Layers.To <= layer {
			return errors.Wrapf(ErrLayers, "stage %d ran layers %d to %d after layer %d", i, r.Layers.From, r.Layers.To, layer)
		}
		layer = r.Layers.To
	}
	if layer != v.layers {
		return errors.Wrapf(ErrLayers, "layers up to %d ran, the model has %d", layer, v.layers)
	}
	return nil
}
