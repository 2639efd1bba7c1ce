package spanrill

import (
	"context"

	"github.com/pkg/errors"
)

// ErrHistoryGone means that a watch asked for changes that the store no longer keeps, or started
// from a revision of an earlier era. The collection has to be listed again.
var ErrHistoryGone = errors.New("store no longer has the requested changes")

// Item is one object of a collection.
type Item struct {
	Name     string
	Revision uint64
	Value    []byte
}

// Change is an object that was created, updated or deleted.
type Change struct {
	Item
	Deleted bool
}

// Collection holds all objects of one kind in the platform's store. A store has one revision
// counter, which increases with each change; see RevisionOf.
type Collection interface {
	// List returns all objects, and the revision of this snapshot.
	List(ctx context.Context) (items []Item, revision uint64, err error)
	// Watch returns the changes after a revision as soon as there are any, or none
	// once wait has passed, and the revision to continue from.
	Watch(ctx context.Context, after uint64, wait Millis) (changes []Change, revision uint64, err error)
}
