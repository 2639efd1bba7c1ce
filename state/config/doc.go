// Package config stores the configuration of a fleet. Operators edit it, daemons follow it.
//
// The configuration consists of documents, which are edited together: all edits have one total
// order. An object in the platform's store, the head, contains the revision and the hash of each
// part. Parts contain the documents and are stored under their hash. An edit is validated against
// the whole configuration, its parts are stored, and then a conditional update of the head accepts
// it.
//
// A daemon holds an immutable Snapshot, which it replaces only by one with a higher revision, so
// that a request sees one revision from start to end.
//
// # Usage
//
//	editor := config.NewEditor(store, config.WithEditorClock(clock))
//	accepted, err := editor.Commit(ctx, config.Change{Author: "ops", Documents: docs})
//
//	follower := config.NewFollower(store, config.WithLogger(log))
//	err := follower.Run(ctx)
//	snapshot := follower.Current()
package config
