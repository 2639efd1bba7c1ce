package exchange

import (
	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// orders is what engines are being ordered to hold, as the holder of the lease of placement
// has said it, with what has changed of it when. A first layout orders thousands of engines
// within seconds, and daemons that know the rest are told of the changes alone.
type orders struct {
	sequence uint64             // rises with each change
	since    uint64             // all that was dropped behind this sequence is known
	targets  map[uint32]ordered // by key of the engine
	dropped  map[uint32]uint64  // sequences, by key
}

// ordered is a target, and the sequence by which it was said.
type ordered struct {
	target   fleet.Target
	sequence uint64
}

// knownOrders is up to what a daemon knows the orders of which holder.
type knownOrders struct {
	holder   string
	sequence uint64
}

// droppedKept bounds what is remembered of targets that were dropped: a third more than the
// engines of the design size.
const droppedKept = 4800

// set makes the targets those given, and raises the sequence if that is a change.
func (o *orders) set(targets map[uint32]fleet.Target) {
	next := o.sequence + 1
	changed := o.sequence == 0
	for key := range o.targets {
		if _, still := targets[key]; !still {
			o.drop(key, next)
			changed = true
		}
	}
	for key, t := range targets {
		if old, ok := o.targets[key]; !ok || old.target != t {
			o.put(key, t, next)
			changed = true
		}
	}
	if changed {
		o.sequence = next
	}
}

func (o *orders) put(key uint32, t fleet.Target, sequence uint64) {
	if o.targets == nil {
		o.targets = map[uint32]ordered{}
	}
	o.targets[key] = ordered{target: t, sequence: sequence}
	delete(o.dropped, key)
}

func (o *orders) drop(key uint32, sequence uint64) {
	if o.dropped == nil {
		o.dropped = map[uint32]uint64{}
	}
	delete(o.targets, key)
	o.dropped[key] = sequence
	if len(o.dropped) > droppedKept {
		clear(o.dropped)
		o.since = sequence
	}
}

// tell writes what a daemon has to hear that knows the orders up to a sequence, or nothing
// if that is 0.
func (o *orders) tell(p *peermsg.Placement, known uint64) {
	p.Sequence = o.sequence
	if known >= o.since {
		p.After = min(known, o.sequence)
	}
	for key, t := range o.targets {
		if t.sequence > p.After {
			p.Targets = append(p.Targets, peermsg.Target{Upstream: key, From: t.target.Layers.From, To: t.target.Layers.To, Done: t.target.Done})
		}
	}
	for key, sequence := range o.dropped {
		if sequence > p.After && p.After > 0 {
			p.Dropped = append(p.Dropped, key)
		}
	}
}

// take takes what the holder has said, or another daemon has handed on, of the same holder
// if they are changes. It reports whether the changes follow what is known.
func (o *orders) take(p *peermsg.Placement) bool {
	switch {
	case p.After > o.sequence || p.Sequence < o.sequence:
		return false
	case p.After == 0:
		*o = orders{since: p.Sequence}
	}
	for _, t := range p.Targets {
		o.put(t.Upstream, fleet.Target{Layers: spanrill.LayerRange{From: t.From, To: t.To}, Done: t.Done}, p.Sequence)
	}
	for _, key := range p.Dropped {
		o.drop(key, p.Sequence)
	}
	o.sequence = max(o.sequence, p.Sequence)
	return true
}
