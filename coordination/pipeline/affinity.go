package pipeline

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"spanrill"
	"spanrill/state/load"
)

// Affinity remembers which chain served which prefix of a request body, so that a request with
// the same prefix can go to the chain that has it cached.
type Affinity struct {
	clock  spanrill.Clock
	shards [shardCount]affinityShard
}

type affinityShard struct {
	mu      sync.Mutex
	entries map[uint64]affinityEntry
}

type affinityEntry struct {
	chain    []*load.Upstream
	storedAt spanrill.Millis
}

const (
	shardCount      = 32
	maxShardEntries = 512
	affinityMaxAge  = 60 * spanrill.Second
	prefixBytes     = 256 // bytes between the ends of two remembered prefixes
	maxPrefixes     = 16
	// maxSavedShare is the share of a step's cost that is assumed to be saved if the whole body is
	// cached.
	maxSavedShare = 0.3
)

// NewAffinity returns an empty Affinity.
func NewAffinity(clock spanrill.Clock) *Affinity {
	a := &Affinity{clock: clock}
	for i := range a.shards {
		a.shards[i].entries = map[uint64]affinityEntry{}
	}
	return a
}

// prefixKeys appends to keys the hash of each prefix of a body that Affinity remembers, the longest
// last.
func prefixKeys(body []byte, keys []uint64) []uint64 {
	for end := prefixBytes; end <= len(body) && len(keys) < maxPrefixes; end += prefixBytes {
		keys = append(keys, xxhash.Sum64(body[:end]))
	}
	return keys
}

// Remember records the chain that served a body, under each of the body's prefixes.
func (a *Affinity) Remember(body []byte, chain []*load.Upstream) {
	var buf [maxPrefixes]uint64
	now := a.clock.Now()
	for _, key := range prefixKeys(body, buf[:0]) {
		a.shards[key%shardCount].put(key, affinityEntry{chain: chain, storedAt: now})
	}
}

// Lookup returns the chain that served the longest remembered prefix of a body, and the share of
// the work that the chain's cache is expected to save. It returns nil and 0 if no prefix is
// remembered.
func (a *Affinity) Lookup(body []byte) ([]*load.Upstream, float64) {
	var buf [maxPrefixes]uint64
	keys := prefixKeys(body, buf[:0])
	for i := len(keys) - 1; i >= 0; i-- {
		e, ok := a.shards[keys[i]%shardCount].get(keys[i])
		if ok && a.clock.Now()-e.storedAt < affinityMaxAge {
			covered := float64((i+1)*prefixBytes) / float64(len(body))
			return e.chain, maxSavedShare * covered
		}
	}
	return nil, 0
}

func (s *affinityShard) get(key uint64) (affinityEntry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	return e, ok
}

// put stores an entry, and evicts an arbitrary one if the shard is full.
func (s *affinityShard) put(key uint64, e affinityEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) >= maxShardEntries {
		for old := range s.entries {
			delete(s.entries, old)
			break
		}
	}
	s.entries[key] = e
}
