package exchange

import (
	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// orders is what the holder of the placement lease is ordering engines to hold, with the
// sequence of each change. Daemons that know earlier orders receive only the changes since, because
// a first layout orders thousands of engines within seconds.
type orders struct {
	sequence     uint64                   // increases with each change
	droppedSince uint64                   // all drops after this sequence are in dropped
	targets      map[uint32]orderedTarget // by key of the engine
	dropped      map[uint32]uint64        // sequence of each drop, by key of the engine
}

// orderedTarget is a target and the sequence of the change that set it.
type orderedTarget struct {
	target   fleet.Target
	sequence uint64
}

// knownOrders is the sequence up to which a daemon knows the orders of a lease holder.
type knownOrders struct {
	holder   string
	sequence uint64
}

// maxDropped bounds the recorded drops: a third more than the engines of the largest planned fleet.
const maxDropped = 4800

// set replaces the targets, and increases the sequence if any of them changes.
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
		o.targets = map[uint32]orderedTarget{}
	}
	o.targets[key] = orderedTarget{target: t, sequence: sequence}
	delete(o.dropped, key)
}

func (o *orders) drop(key uint32, sequence uint64) {
	if o.dropped == nil {
		o.dropped = map[uint32]uint64{}
	}
	delete(o.targets, key)
	o.dropped[key] = sequence
	if len(o.dropped) > maxDropped {
		clear(o.dropped)
		o.droppedSince = sequence
	}
}

// writeChanges writes the orders into a message for a daemon that knows them up to the sequence
// known: the changes since, or all orders if known is 0 or older than the recorded drops.
func (o *orders) writeChanges(msg *peermsg.Placement, known uint64) {
	msg.Sequence = o.sequence
	if known >= o.droppedSince {
		msg.Since = min(known, o.sequence)
	}
	for key, t := range o.targets {
		if t.sequence > msg.Since {
			msg.Targets = append(msg.Targets, peermsg.Target{Upstream: key, From: t.target.Layers.From, To: t.target.Layers.To, Reached: t.target.Done})
		}
	}
	for key, sequence := range o.dropped {
		if sequence > msg.Since && msg.Since > 0 {
			msg.Dropped = append(msg.Dropped, key)
		}
	}
}

// applyChanges applies a message with all orders or with changes, from the holder or passed on
// by another daemon. It returns false if the message is older than the known orders, or lacks
// changes between them and its own.
func (o *orders) applyChanges(msg *peermsg.Placement) bool {
	switch {
	case msg.Since > o.sequence || msg.Sequence < o.sequence:
		return false
	case msg.Since == 0:
		*o = orders{droppedSince: msg.Sequence}
	}
	for _, t := range msg.Targets {
		o.put(t.Upstream, fleet.Target{Layers: spanrill.LayerRange{From: t.From, To: t.To}, Done: t.Reached}, msg.Sequence)
	}
	for _, key := range msg.Dropped {
		o.drop(key, msg.Sequence)
	}
	o.sequence = max(o.sequence, msg.Sequence)
	return true
}
