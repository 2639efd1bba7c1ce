package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

// lostEdits reports whether the platform's head lacks edits that are in force
// here, as it does after an older head was restored.
func (f *Follower) lostEdits(head *Head) bool {
	ours := f.Head()
	if ours == nil || head.EditID == ours.EditID {
		return false
	}
	if head.Revision <= ours.Revision {
		return true
	}
	return head.Revision-ours.Revision < maxRecent && !head.Contains(ours.EditID)
}

// healAuthor is the author of edits that write lost edits back.
const healAuthor = "spanrill"

// heal writes an edit that holds what is in force here and, on top of it, what
// was accepted on the platform since the loss. The conditional update makes it
// harmless after a stale read, and lets one daemon win.
func (f *Follower) heal(ctx context.Context, head *Head, version spanrill.Version) (spanrill.Version, error) {
	ours := f.current.Load()
	events.ConfigDiverged.Log(f.log, logrus.Fields{
		"in_force": ours.head.Revision, "platform": head.Revision, "edit": head.EditID,
	})
	editor := NewEditor(f.store, WithEditorClock(f.clock))
	next, err := f.merge(ctx, editor, ours, head)
	if err == nil {
		err = editor.moveHead(ctx, next, version)
	}
	if errors.Is(err, errRaced) {
		return "", nil
	}
	if err != nil {
		events.ConfigHealFails.Log(f.log, logrus.Fields{"error": err})
		return "", fmt.Errorf("write edits back: %w", err)
	}
	events.ConfigHealed.Log(f.log, logrus.Fields{"revision": next.Revision})
	return "", f.Offer(ctx, next)
}

// merge returns a head that follows both ours and the platform's.
func (f *Follower) merge(ctx context.Context, editor *Editor, ours *state, head *Head) (*Head, error) {
	theirs, err := ReadDocuments(ctx, f.store, head)
	if err != nil {
		return nil, fmt.Errorf("read documents of platform: %w", err)
	}
	docs := Documents{}
	for n, doc := range ours.snapshot.docs {
		docs[n] = doc
	}
	c := Change{EditID: NewEditID(), Author: healAuthor, Documents: map[Name]json.RawMessage{}}
	base := &Head{Recent: append([]Edit(nil), ours.head.Recent...)}
	for _, e := range head.Recent {
		if !ours.head.Contains(e.EditID) {
			takeOver(docs, theirs, e.Documents, &c)
			base.Recent = append(base.Recent, e)
		}
	}
	edit := c.edit(max(ours.head.Revision, head.Revision)+1, f.clock.Unix())
	if _, err := Build(edit.Revision, edit.EditID, docs); err != nil {
		return nil, fmt.Errorf("merge edits: %w", err)
	}
	return editor.storeParts(ctx, base, edit, docs)
}

func takeOver(docs, theirs Documents, names []Name, c *Change) {
	for _, n := range names {
		c.Documents[n] = theirs[n]
		if theirs[n] == nil {
			delete(docs, n)
			continue
		}
		docs[n] = theirs[n]
	}
}
