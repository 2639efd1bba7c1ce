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

// Change is a request to edit documents.
type Change struct {
	EditID string // generated if empty
	Author string
	// Documents maps each document to its new value. Nil removes the document.
	Documents map[Name]json.RawMessage
	// Base maps documents to the hash of the value that the operator edited, empty for a
	// document that did not exist. If the current value has another hash, Commit fails with a
	// Conflict.
	Base map[Name]string
}

// Conflict is the error of Commit if another edit has changed a document since the operator read
// it.
type Conflict struct {
	Document Name
	Mine     json.RawMessage // the value in the refused change
	Theirs   json.RawMessage // the current value
	Edit     Edit            // the last edit of the document, zero if no longer in Head.Recent
}

// Error names the document and the edit that changed it.
func (c *Conflict) Error() string {
	return fmt.Sprintf("conflict on %s: edit %s by %s (revision %d) was first",
		c.Document, c.Edit.EditID, c.Edit.Author, c.Edit.Revision)
}

// ErrUnknownOutcome means that the editor could not determine whether the edit was accepted. Once
// the platform answers again, Editor.Accepted reports whether it was.
var ErrUnknownOutcome = errors.New("the edit may or may not have been accepted")

// HashDocument returns the hash of a document in canonical form, or "" if doc is nil.
func HashDocument(doc json.RawMessage) string {
	if doc == nil {
		return ""
	}
	return HashPart(doc)
}

// Editor commits edits to the configuration in a store.
type Editor struct {
	store spanrill.ObjectStore
	clock spanrill.Clock
}

// EditorOption changes a default of NewEditor.
type EditorOption func(*Editor)

// WithEditorClock sets the clock for the time of edits and for the pauses between retries.
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

// NewEditID returns a random id for an edit.
func NewEditID() string { return rand.Text()[:16] }

const (
	maxCommitAttempts   = 16                       // attempts of Commit while other edits change the head
	uncertainRetryDelay = 100 * spanrill.Millis(1) // between attempts after a write of unknown effect
)

// Commit makes an edit and returns it once it is accepted. After any error other than
// ErrUnknownOutcome the edit was not accepted.
func (e *Editor) Commit(ctx context.Context, c Change) (Edit, error) {
	if c.EditID == "" {
		c.EditID = NewEditID()
	}
	for range maxCommitAttempts {
		head, version, err := ReadHead(ctx, e.store)
		if err != nil {
			return Edit{}, fmt.Errorf("start edit: %w", err)
		}
		edit, err := e.attempt(ctx, c, head, version)
		if errors.Is(err, errHeadChanged) {
			continue
		}
		return edit, err
	}
	return Edit{}, errors.Errorf("edit given up after %d attempts: other edits changed the head each time", maxCommitAttempts)
}

// errHeadChanged means that another edit changed the head and this one has to start again.
var errHeadChanged = errors.New("another edit changed the head")

// attempt makes the edit once, on top of the given head. It returns errHeadChanged if another edit
// was accepted first.
func (e *Editor) attempt(ctx context.Context, c Change, head *Head, version spanrill.Version) (Edit, error) {
	docs, err := ReadDocuments(ctx, e.store, head)
	if err != nil {
		return Edit{}, fmt.Errorf("read documents: %w", err)
	}
	if err := c.apply(docs, head); err != nil {
		return Edit{}, err
	}
	edit := c.newEdit(head.Revision+1, e.clock.Unix())
	if _, err := Build(edit.Revision, edit.EditID, docs); err != nil {
		return Edit{}, err
	}
	next, err := e.storeParts(ctx, head, edit, docs)
	if err != nil {
		return Edit{}, fmt.Errorf("store parts: %w", err)
	}
	return edit, e.updateHead(ctx, next, version)
}

func (c *Change) newEdit(revision uint64, unixTime spanrill.Millis) Edit {
	edit := Edit{Revision: revision, EditID: c.EditID, Author: c.Author, At: unixTime}
	for n := range c.Documents {
		edit.Documents = append(edit.Documents, n)
	}
	sort.Slice(edit.Documents, func(i, j int) bool {
		return edit.Documents[i].String() < edit.Documents[j].String()
	})
	return edit
}

// apply changes docs, or returns a Conflict if a document differs from the change's base.
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

// lastEdit returns the last of the recent edits of a document, or a zero Edit.
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

// storeParts splits docs into parts, stores those that are not in head, and returns the head that
// follows it.
func (e *Editor) storeParts(ctx context.Context, head *Head, edit Edit, docs Documents) (*Head, error) {
	values, err := splitParts(docs)
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
	return head.withEdit(edit, parts), nil
}

// storePart writes a part. A conflict means that the part is already stored, since its key is the
// hash of its value.
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

// updateHead writes the next head if the store still holds the given version. It repeats the
// write while its effect is unknown, which is safe because only one write can meet the condition.
func (e *Editor) updateHead(ctx context.Context, next *Head, version spanrill.Version) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	maybeApplied := false // an earlier write may have taken effect
	for {
		_, err := e.store.Put(ctx, HeadKey, value, version)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, spanrill.ErrConflict):
			return e.resolveConflict(ctx, next, version, maybeApplied)
		case errors.Is(err, spanrill.ErrUncertain):
			maybeApplied = true
		case !maybeApplied:
			return fmt.Errorf("update head: %w", err)
		}
		if err := e.pause(ctx); err != nil {
			return unknownOutcomeError(next, err)
		}
	}
}

func unknownOutcomeError(next *Head, err error) error {
	return fmt.Errorf("edit %s: %w: %v", next.EditID, ErrUnknownOutcome, err)
}

// resolveConflict determines after a conflict whether an earlier write of next took effect. It
// returns nil if so, and errHeadChanged if another edit was first.
func (e *Editor) resolveConflict(ctx context.Context, next *Head, version spanrill.Version, maybeApplied bool) error {
	if !maybeApplied {
		return errHeadChanged
	}
	for {
		head, latest, err := ReadHead(ctx, e.store)
		if err == nil && head.Contains(next.EditID) {
			return nil
		}
		// A read that returns the old version is stale: the conflict proves a newer one.
		if err == nil && latest != version && head.Revision >= next.Revision {
			return e.checkMissingEdit(head, next)
		}
		if err := e.pause(ctx); err != nil {
			return unknownOutcomeError(next, err)
		}
	}
}

// checkMissingEdit returns the error for an edit that is not among the recent ones of head:
// errHeadChanged, since it was not accepted, or ErrUnknownOutcome if so many edits followed that it
// may have been dropped from the list.
func (e *Editor) checkMissingEdit(head, next *Head) error {
	if head.Revision-next.Revision >= maxRecentEdits {
		return unknownOutcomeError(next, errors.New("too many edits followed to tell"))
	}
	return errHeadChanged
}

func (e *Editor) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait for platform: %w", ctx.Err())
	case <-e.clock.After(uncertainRetryDelay):
		return nil
	}
}

// Accepted reports whether an edit is among the recent accepted ones.
func (e *Editor) Accepted(ctx context.Context, editID string) (bool, error) {
	head, _, err := ReadHead(ctx, e.store)
	if err != nil {
		return false, fmt.Errorf("check edit %s: %w", editID, err)
	}
	return head.Contains(editID), nil
}
