package spanrill

import (
	"context"

	"github.com/pkg/errors"
)

// Version identifies one state of an object. The empty version means that
// the object does not exist.
type Version string

// Object is a value in the platform's store and its version.
type Object struct {
	Value   []byte
	Version Version
}

// Errors of an ObjectStore.
var (
	// ErrConflict means that the object's version was not the expected one.
	// The write did not take effect.
	ErrConflict = errors.New("object has another version")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable means that the platform did not accept the call. The write
	// did not take effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUncertain means that a write may or may not have taken effect.
	ErrUncertain = errors.New("write may or may not have taken effect")
)

// ObjectStore is the platform's object API. The platform counts every call, and a waiting
// watch counts as one.
type ObjectStore interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version is expect, and returns the new
	// version. An empty expect means that the object must not exist.
	Put(ctx context.Context, key string, value []byte, expect Version) (Version, error)
	// Watch waits until the object's version differs from known, or until wait
	// has passed, and then returns the object.
	Watch(ctx context.Context, key string, known Version, wait Millis) (Object, error)
}
