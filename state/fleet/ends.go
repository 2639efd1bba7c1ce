package fleet

// ends is which entries have gone, and when, so that a peer which knows all entries as they
// stood at a revision can be told what has changed since.
type ends struct {
	from uint64            // all that have gone behind this revision are here
	gone map[string]uint64 // by name, the revision by which it had gone
}

// endsKept bounds the names: a third more than the engines of the design size.
const endsKept = 4800

func newEnds() *ends { return &ends{gone: map[string]uint64{}} }

// note notes that an entry had gone by a revision.
func (e *ends) note(name string, at uint64) {
	e.gone[name] = at
	if len(e.gone) > endsKept {
		e.restart(at)
	}
}

// undo notes that an entry is there again.
func (e *ends) undo(name string) { delete(e.gone, name) }

// restart forgets all, when it is not known what has gone before a revision.
func (e *ends) restart(at uint64) {
	clear(e.gone)
	e.from = at
}

// after returns the entries that have gone behind a revision, and whether all of them are
// known.
func (e *ends) after(at uint64) ([]string, bool) {
	if at < e.from {
		return nil, false
	}
	var names []string
	for name, gone := range e.gone {
		if gone > at {
			names = append(names, name)
		}
	}
	return names, true
}
