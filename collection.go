package spanrill

import (
	"context"

	"github.com/pkg/errors"
)

// ErrHistoryGone means that a watch asked for changes that the store has
// forgotten, or continued from a revision of an earlier era. The collection has
// to be listed again.
var ErrHistoryGone = errors.New("history of the store is gone")

// Item is one object of a collection.
type Item struct {
	Name     string
	Revision uint64
	Value    []byte
}

// Change is an object that was made, changed or removed.
type Change struct {
	Item
	Gone bool
}

// Collection is all objects of one kind in the platform's store. A store has
// one counter of revisions, which rises with each change; see RevisionOf.
type Collection interface {
	// List returns all objects, and the revision at which they stood so.
	List(ctx context.Context) (items []Item, at uint64, err error)
	// Watch returns the changes behind a revision as soon as there are any, or
	// none after wait, and the revision to go on from.
	Watch(ctx context.Context, after uint64, wait Millis) (changes []Change, at uint64, err error)
}
