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

// lacksLocalEdits reports whether the platform's head lacks edits that are in force on this
// daemon, as it does after the platform's store was restored from an older copy.
func (f *Follower) lacksLocalEdits(head *Head) bool {
	ours := f.Head()
	if ours == nil || head.EditID == ours.EditID {
		return false
	}
	if head.Revision <= ours.Revision {
		return true
	}
	return head.Revision-ours.Revision < maxRecentEdits && !head.Contains(ours.EditID)
}

// writeBackAuthor is the author of edits that write lost edits back to the platform.
const writeBackAuthor = "spanrill"

// writeBack restores edits that the platform has lost. It commits one edit: the configuration in
// force on this daemon, changed by the edits that the platform has accepted since the loss. The
// update of the head is conditional, so that it does no harm after a stale read and only one daemon
// succeeds. The returned version is always empty, so that the head is read again.
func (f *Follower) writeBack(ctx context.Context, head *Head, version spanrill.Version) (spanrill.Version, error) {
	ours := f.current.Load()
	events.ConfigDiverged.Log(f.log, logrus.Fields{
		"in_force": ours.head.Revision, "platform": head.Revision, "edit": head.EditID,
	})
	editor := NewEditor(f.store, WithEditorClock(f.clock))
	next, err := f.merge(ctx, editor, ours, head)
	if err == nil {
		err = editor.updateHead(ctx, next, version)
	}
	if errors.Is(err, errHeadChanged) {
		return "", nil
	}
	if err != nil {
		events.ConfigWriteBackFailed.Log(f.log, logrus.Fields{"error": err})
		return "", fmt.Errorf("write edits back: %w", err)
	}
	events.ConfigWrittenBack.Log(f.log, logrus.Fields{"revision": next.Revision})
	return "", f.Offer(ctx, next)
}

// merge stores a configuration with the edits of both ours and the platform's head, and returns its
// head.
func (f *Follower) merge(ctx context.Context, editor *Editor, ours *activeConfig, head *Head) (*Head, error) {
	theirs, err := ReadDocuments(ctx, f.store, head)
	if err != nil {
		return nil, fmt.Errorf("read documents of platform: %w", err)
	}
	docs := Documents{}
	for n, doc := range ours.snapshot.docs {
		docs[n] = doc
	}
	c := Change{EditID: NewEditID(), Author: writeBackAuthor, Documents: map[Name]json.RawMessage{}}
	// The base names no parts, so that storeParts stores all of them.
	base := &Head{Recent: append([]Edit(nil), ours.head.Recent...)}
	for _, e := range head.Recent {
		if !ours.head.Contains(e.EditID) {
			copyDocuments(docs, theirs, e.Documents, &c)
			base.Recent = append(base.Recent, e)
		}
	}
	edit := c.newEdit(max(ours.head.Revision, head.Revision)+1, f.clock.Unix())
	if _, err := Build(edit.Revision, edit.EditID, docs); err != nil {
		return nil, fmt.Errorf("merge edits: %w", err)
	}
	return editor.storeParts(ctx, base, edit, docs)
}

// copyDocuments sets the named documents in docs to their value in theirs, and records them in c.
func copyDocuments(docs, theirs Documents, names []Name, c *Change) {
	for _, n := range names {
		c.Documents[n] = theirs[n]
		if theirs[n] == nil {
			delete(docs, n)
			continue
		}
		docs[n] = theirs[n]
	}
}
