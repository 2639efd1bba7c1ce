package fleet

// removals records which entries were removed at which revision, so that a peer which knows all
// entries as of an earlier revision can be sent only the changes.
type removals struct {
	completeSince uint64            // all removals after this revision are recorded
	revisions     map[string]uint64 // by name, a revision at or before which the entry was removed
}

// maxKeptRemovals is the maximum number of recorded names: a third more than the engines of the
// largest fleet in the design.
const maxKeptRemovals = 4800

func newRemovals() *removals { return &removals{revisions: map[string]uint64{}} }

// add records that an entry was removed at or before a revision.
func (r *removals) add(name string, revision uint64) {
	r.revisions[name] = revision
	if len(r.revisions) > maxKeptRemovals {
		r.reset(revision)
	}
}

// cancel drops the removal of an entry that exists again.
func (r *removals) cancel(name string) { delete(r.revisions, name) }

// reset drops all records because removals up to a revision may be missing.
func (r *removals) reset(revision uint64) {
	clear(r.revisions)
	r.completeSince = revision
}

// since returns the names of the entries that were removed after a revision. It returns false if
// removals after that revision may be missing.
func (r *removals) since(after uint64) ([]string, bool) {
	if after < r.completeSince {
		return nil, false
	}
	var names []string
	for name, removedAt := range r.revisions {
		if removedAt > after {
			names = append(names, name)
		}
	}
	return names, true
}
