package config

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/clock"
)

// Change is what an operator asks for.
type Change struct {
	EditID string // empty: a new one is made
	Author string
	// Documents maps each document to its new value, or to nil to remove it.
	Documents map[Name]json.RawMessage
	// Base maps documents to the hash of the value that the operator started
	// from. A document that has another value by now is a conflict. An empty
	// hash means that the document did not exist.
	Base map[Name]string
}

// Conflict means that another edit changed the same document first.
type Conflict struct {
	Document Name
	Mine     json.RawMessage
	Theirs   json.RawMessage
	Edit     Edit // the last edit of the document, if it is recent
}

// Error names the document and the edit that was first.
func (c *Conflict) Error() string {
	return fmt.Sprintf("conflict on %s: edit %s by %s (revision %d) was first",
		c.Document, c.Edit.EditID, c.Edit.Author, c.Edit.Revision)
}

// ErrUnsettled means that it could not be found out whether the edit was
// accepted. Its id tells, once the platform answers: see Editor.Settle.
var ErrUnsettled = errors.New("the edit may or may not have been accepted")

// HashDocument returns the hash of a document in canonical form, or "" for
// none.
func HashDocument(doc json.RawMessage) string {
	if doc == nil {
		return ""
	}
	return HashPart(doc)
}

// Editor makes edits.
type Editor struct {
	store spanrill.ObjectStore
	clock spanrill.Clock
}

// EditorOption changes a default of NewEditor.
type EditorOption func(*Editor)

// WithEditorClock sets the clock that edits are dated by.
func WithEditorClock(c spanrill.Clock) EditorOption {
	return func(e *Editor) { e.clock = c }
}

// NewEditor returns an editor of the configuration in store.
func NewEditor(store spanrill.ObjectStore, opts ...EditorOption) *Editor {
	e := &Editor{store: store, clock: clock.NewSystem()}
	for _, o := range opts {
		o(e)
	}
	return e
}

// NewEditID returns an id that no other edit has.
func NewEditID() string { return rand.Text()[:16] }

const (
	maxRaces  = 16                       // edits that may come first before Commit gives up
	settleGap = 100 * spanrill.Millis(1) // pause between tries to settle a write
)

// Commit makes an edit and returns it once it is accepted. An error other
// than ErrUnsettled means that the edit was not accepted.
func (e *Editor) Commit(ctx context.Context, c Change) (Edit, error) {
	if c.EditID == "" {
		c.EditID = NewEditID()
	}
	for range maxRaces {
		head, version, err := ReadHead(ctx, e.store)
		if err != nil {
			return Edit{}, fmt.Errorf("start edit: %w", err)
		}
		edit, err := e.attempt(ctx, c, head, version)
		if errors.Is(err, errRaced) {
			continue
		}
		return edit, err
	}
	return Edit{}, errors.Errorf("edit lost %d races in a row", maxRaces)
}

// errRaced means that the head moved and the edit has to start again.
var errRaced = errors.New("another edit was first")

func (e *Editor) attempt(ctx context.Context, c Change, head *Head, version spanrill.Version) (Edit, error) {
	docs, err := ReadDocuments(ctx, e.store, head)
	if err != nil {
		return Edit{}, fmt.Errorf("read documents: %w", err)
	}
	if err := c.apply(docs, head); err != nil {
		return Edit{}, err
	}
	edit := c.edit(head.Revision+1, e.clock.Unix())
	if _, err := Build(edit.Revision, edit.EditID, docs); err != nil {
		return Edit{}, err
	}
	next, err := e.storeParts(ctx, head, edit, docs)
	if err != nil {
		return Edit{}, fmt.Errorf("store parts: %w", err)
	}
	return edit, e.moveHead(ctx, next, version)
}

func (c *Change) edit(revision uint64, at spanrill.Millis) Edit {
	edit := Edit{Revision: revision, EditID: c.EditID, Author: c.Author, At: at}
	for n := range c.Documents {
		edit.Documents = append(edit.Documents, n)
	}
	sort.Slice(edit.Documents, func(i, k int) bool {
		return edit.Documents[i].String() < edit.Documents[k].String()
	})
	return edit
}

// apply changes docs, unless another edit was there first.
func (c *Change) apply(docs Documents, head *Head) error {
	for n, base := range c.Base {
		if HashDocument(docs[n]) != base {
			return &Conflict{Document: n, Mine: c.Documents[n], Theirs: docs[n], Edit: head.lastEdit(n)}
		}
	}
	for n, value := range c.Documents {
		if value == nil {
			delete(docs, n)
			continue
		}
		docs[n] = value
	}
	return nil
}

func (h *Head) lastEdit(n Name) Edit {
	for i := len(h.Recent) - 1; i >= 0; i-- {
		for _, d := range h.Recent[i].Documents {
			if d == n {
				return h.Recent[i]
			}
		}
	}
	return Edit{}
}

// storeParts stores what head does not have yet and returns the next head.
func (e *Editor) storeParts(ctx context.Context, head *Head, edit Edit, docs Documents) (*Head, error) {
	values, err := split(docs)
	if err != nil {
		return nil, err
	}
	parts := make(map[string]string, len(values))
	for part, value := range values {
		hash := HashPart(value)
		parts[part] = hash
		if head.Parts[part] == hash {
			continue
		}
		if err := e.storePart(ctx, hash, value); err != nil {
			return nil, err
		}
	}
	return head.follow(edit, parts), nil
}

// storePart writes a part. A part that is there already is the same one.
func (e *Editor) storePart(ctx context.Context, hash string, value []byte) error {
	for {
		_, err := e.store.Put(ctx, PartKey(hash), value, "")
		if err == nil || errors.Is(err, spanrill.ErrConflict) {
			return nil
		}
		if !errors.Is(err, spanrill.ErrUncertain) {
			return fmt.Errorf("write part: %w", err)
		}
		if err := e.pause(ctx); err != nil {
			return err
		}
	}
}

// moveHead writes the head. The write is repeated while its effect is
// unknown, which is safe because the condition allows it to take effect once.
func (e *Editor) moveHead(ctx context.Context, next *Head, version spanrill.Version) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	sent := false // whether an earlier write may have taken effect
	for {
		_, err := e.store.Put(ctx, HeadKey, value, version)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, spanrill.ErrConflict):
			return e.afterConflict(ctx, next, version, sent)
		case errors.Is(err, spanrill.ErrUncertain):
			sent = true
		case !sent:
			return fmt.Errorf("move head: %w", err)
		}
		if err := e.pause(ctx); err != nil {
			return unsettled(next, err)
		}
	}
}

func unsettled(next *Head, err error) error {
	return fmt.Errorf("edit %s: %w: %v", next.EditID, ErrUnsettled, err)
}

// afterConflict finds out whether the head has moved to next.
func (e *Editor) afterConflict(ctx context.Context, next *Head, version spanrill.Version, sent bool) error {
	if !sent {
		return errRaced
	}
	for {
		head, seen, err := ReadHead(ctx, e.store)
		if err == nil && head.Contains(next.EditID) {
			return nil
		}
		// An old version is a stale read: the conflict showed a newer one.
		if err == nil && seen != version && head.Revision >= next.Revision {
			return e.settleMissing(head, next)
		}
		if err := e.pause(ctx); err != nil {
			return unsettled(next, err)
		}
	}
}

// settleMissing decides on an edit that is not among the recent ones.
func (e *Editor) settleMissing(head, next *Head) error {
	if head.Revision-next.Revision >= maxRecent {
		return unsettled(next, errors.New("too many edits came after it"))
	}
	return errRaced
}

func (e *Editor) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait for platform: %w", ctx.Err())
	case <-e.clock.After(settleGap):
		return nil
	}
}

// Settle reports whether an edit is among the recent accepted ones.
func (e *Editor) Settle(ctx context.Context, editID string) (bool, error) {
	head, _, err := ReadHead(ctx, e.store)
	if err != nil {
		return false, fmt.Errorf("settle edit %s: %w", editID, err)
	}
	return head.Contains(editID), nil
}
