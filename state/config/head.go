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

// HeadKey is the key of the head. Its conditional updates put all edits in one order.
const HeadKey = "config/head"

// PartKey returns the key of the part with that hash.
func PartKey(hash string) string { return "config/part/" + hash }

// Head describes one revision of the whole configuration: the hash of each part, and the most
// recent edits.
type Head struct {
	Revision uint64            `json:"revision"`
	EditID   string            `json:"edit_id"`
	Parts    map[string]string `json:"parts"`  // part name to hash
	Recent   []Edit            `json:"recent"` // oldest first, this edit last
}

// Edit describes an accepted edit: who changed which documents, and when.
type Edit struct {
	Revision  uint64          `json:"revision"`
	EditID    string          `json:"edit_id"`
	Author    string          `json:"author"`
	At        spanrill.Millis `json:"at"`
	Documents []Name          `json:"documents"`
}

// maxRecentEdits bounds Head.Recent.
const maxRecentEdits = 64

// Contains reports whether the edit is among the recent ones.
func (h *Head) Contains(editID string) bool {
	for _, e := range h.Recent {
		if e.EditID == editID {
			return true
		}
	}
	return false
}

// withEdit returns the head that follows h by one edit.
func (h *Head) withEdit(e Edit, parts map[string]string) *Head {
	recent := append(append([]Edit(nil), h.Recent...), e)
	if len(recent) > maxRecentEdits {
		recent = recent[len(recent)-maxRecentEdits:]
	}
	return &Head{Revision: e.Revision, EditID: e.EditID, Parts: parts, Recent: recent}
}

// The documents of a kind are spread over buckets by the hash of their name. Each bucket is one
// part. There may be many accounts, so they have more buckets: an edit of one account rewrites a
// small part only.
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

// splitParts returns the encoded parts of the documents by part name.
func splitParts(docs Documents) (map[string][]byte, error) {
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

// addPart adds the documents of one part to docs.
func addPart(docs Documents, part string, value []byte) error {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(value, &members); err != nil {
		return fmt.Errorf("decode part %s: %w", part, err)
	}
	kind, err := ParseKind(part[:max(0, len(part)-3)]) // without the slash and the bucket's two digits
	if err != nil {
		return fmt.Errorf("part %s: %w", part, err)
	}
	for name, doc := range members {
		docs[Name{Kind: kind, Name: name}] = doc
	}
	return nil
}

// PartSource is a place to read parts from, such as the platform or a peer.
type PartSource interface {
	// Part returns the value with the given hash.
	Part(ctx context.Context, hash string) ([]byte, error)
}

// ErrWrongHash means that a source returned a value that does not have the requested hash.
var ErrWrongHash = errors.New("value does not have the requested hash")

// fetch returns a part from the first source that has it.
func fetch(ctx context.Context, hash string, sources ...PartSource) ([]byte, error) {
	var lastErr error = spanrill.ErrNotFound
	for _, s := range sources {
		value, err := s.Part(ctx, hash)
		if err == nil && HashPart(value) != hash {
			err = ErrWrongHash
		}
		if err == nil {
			return value, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("fetch part %s: %w", hash, lastErr)
}

// storeSource reads parts from the platform.
type storeSource struct{ store spanrill.ObjectStore }

// Part returns the value with the given hash.
func (s storeSource) Part(ctx context.Context, hash string) ([]byte, error) {
	obj, err := s.store.Get(ctx, PartKey(hash))
	if err != nil {
		return nil, err
	}
	return obj.Value, nil
}

// ReadHead returns the platform's head and its version. On a platform without configuration the
// head is empty.
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

// ReadDocuments returns all documents of a revision.
func ReadDocuments(ctx context.Context, store spanrill.ObjectStore, h *Head) (Documents, error) {
	docs := Documents{}
	for part, hash := range h.Parts {
		value, err := fetch(ctx, hash, storeSource{store})
		if err != nil {
			return nil, err
		}
		if err := addPart(docs, part, value); err != nil {
			return nil, err
		}
	}
	return docs, nil
}
