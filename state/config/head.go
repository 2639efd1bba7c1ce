package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"spanrill"
)

// HeadKey is the object that orders the edits.
const HeadKey = "config/head"

// PartKey returns the object that holds the part with that hash.
func PartKey(hash string) string { return "config/part/" + hash }

// Head names one revision of the whole configuration.
type Head struct {
	Revision uint64            `json:"revision"`
	EditID   string            `json:"edit_id"`
	Parts    map[string]string `json:"parts"`  // part name to hash
	Recent   []Edit            `json:"recent"` // oldest first, this edit last
}

// Edit is an accepted edit as the history shows it.
type Edit struct {
	Revision  uint64          `json:"revision"`
	EditID    string          `json:"edit_id"`
	Author    string          `json:"author"`
	At        spanrill.Millis `json:"at"`
	Documents []Name          `json:"documents"`
}

// maxRecent bounds the edits kept in the head.
const maxRecent = 64

// Contains reports whether the edit is among the recent ones.
func (h *Head) Contains(editID string) bool {
	for _, e := range h.Recent {
		if e.EditID == editID {
			return true
		}
	}
	return false
}

// follow returns a head that comes after h with one more edit.
func (h *Head) follow(e Edit, parts map[string]string) *Head {
	recent := append(append([]Edit(nil), h.Recent...), e)
	if len(recent) > maxRecent {
		recent = recent[len(recent)-maxRecent:]
	}
	return &Head{Revision: e.Revision, EditID: e.EditID, Parts: parts, Recent: recent}
}

// Accounts are spread over buckets, so that an edit of one account moves one
// small part. The other kinds have few documents.
const (
	accountBuckets = 64
	otherBuckets   = 4
)

// partName returns the part that holds a document.
func partName(n Name) string {
	buckets := uint64(otherBuckets)
	if n.Kind == KindAccount {
		buckets = accountBuckets
	}
	return fmt.Sprintf("%s/%02d", n.Kind, xxhash.Sum64String(n.Name)%buckets)
}

// HashPart returns the hash under which a part is stored.
func HashPart(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

// split cuts documents into parts, and returns the values by part name.
func split(docs Documents) (map[string][]byte, error) {
	byPart := map[string]map[string]json.RawMessage{}
	for n, doc := range docs {
		part := partName(n)
		if byPart[part] == nil {
			byPart[part] = map[string]json.RawMessage{}
		}
		byPart[part][n.Name] = doc
	}
	values := make(map[string][]byte, len(byPart))
	for part, members := range byPart {
		value, err := json.Marshal(members)
		if err != nil {
			return nil, fmt.Errorf("encode part %s: %w", part, err)
		}
		values[part] = value
	}
	return values, nil
}

// join adds the documents of one part to docs.
func join(docs Documents, part string, value []byte) error {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(value, &members); err != nil {
		return fmt.Errorf("decode part %s: %w", part, err)
	}
	kind, err := ParseKind(part[:max(0, len(part)-3)])
	if err != nil {
		return fmt.Errorf("part %s: %w", part, err)
	}
	for name, doc := range members {
		docs[Name{Kind: kind, Name: name}] = doc
	}
	return nil
}

// PartSource gives the value of a part.
type PartSource interface {
	// Part returns the value whose hash is given.
	Part(ctx context.Context, hash string) ([]byte, error)
}

// ErrWrongHash means that a source gave a value with another hash.
var ErrWrongHash = errors.New("part has another hash")

// fetch returns a part from the first source that has it.
func fetch(ctx context.Context, hash string, sources ...PartSource) ([]byte, error) {
	var last error = spanrill.ErrNotFound
	for _, s := range sources {
		value, err := s.Part(ctx, hash)
		if err == nil && HashPart(value) != hash {
			err = ErrWrongHash
		}
		if err == nil {
			return value, nil
		}
		last = err
	}
	return nil, fmt.Errorf("fetch part %s: %w", hash, last)
}

// storeSource reads parts from the platform.
type storeSource struct{ store spanrill.ObjectStore }

// Part returns the value whose hash is given.
func (s storeSource) Part(ctx context.Context, hash string) ([]byte, error) {
	obj, err := s.store.Get(ctx, PartKey(hash))
	if err != nil {
		return nil, err
	}
	return obj.Value, nil
}

// ReadHead returns the platform's head and its version. A platform without
// configuration has the empty head.
func ReadHead(ctx context.Context, store spanrill.ObjectStore) (*Head, spanrill.Version, error) {
	obj, err := store.Get(ctx, HeadKey)
	if errors.Is(err, spanrill.ErrNotFound) {
		return &Head{}, "", nil
	}
	if err != nil {
		return nil, "", fmt.Errorf("read head: %w", err)
	}
	h, err := decodeHead(obj.Value)
	return h, obj.Version, err
}

func decodeHead(value []byte) (*Head, error) {
	h := &Head{}
	if err := json.Unmarshal(value, h); err != nil {
		return nil, fmt.Errorf("decode head: %w", err)
	}
	return h, nil
}

// ReadDocuments returns all documents that a head names.
func ReadDocuments(ctx context.Context, store spanrill.ObjectStore, h *Head) (Documents, error) {
	docs := Documents{}
	for part, hash := range h.Parts {
		value, err := fetch(ctx, hash, storeSource{store})
		if err != nil {
			return nil, err
		}
		if err := join(docs, part, value); err != nil {
			return nil, err
		}
	}
	return docs, nil
}
