// Package config holds the configuration: what operators edit and what
// daemons act on.
//
// All documents form one whole with one total order of edits. An object of the
// platform, the head, names the revision and the hash of each part. Parts hold
// the documents and are stored under their hash. An edit is checked against
// the whole, its parts are stored, and then the head is moved by a conditional
// update: from that moment the edit is accepted.
//
// A daemon keeps an immutable Snapshot and replaces it only by one with a
// higher revision, so that a request sees one revision from start to end.
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
