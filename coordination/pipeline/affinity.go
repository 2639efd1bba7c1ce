package pipeline

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"spanrill"
	"spanrill/state/load"
)

// Affinity remembers which chain served which beginning of a body, so that a
// request with the same beginning can go where its prefix is cached.
type Affinity struct {
	clock  spanrill.Clock
	shards [affinityShards]affinityShard
}

type affinityShard struct {
	mu      sync.Mutex
	entries map[uint64]affinityEntry
}

type affinityEntry struct {
	chain []*load.Upstream
	at    spanrill.Millis
}

const (
	affinityShards  = 32
	affinityEntries = 512 // in each shard
	affinityAge     = 60 * spanrill.Second
	prefixStep      = 256 // bytes between two remembered prefixes
	maxPrefixes     = 16
	// savedShare is the largest share of a step's cost that a cached prefix is
	// taken to save.
	savedShare = 0.3
)

// NewAffinity returns an empty memory.
func NewAffinity(clock spanrill.Clock) *Affinity {
	a := &Affinity{clock: clock}
	for i := range a.shards {
		a.shards[i].entries = map[uint64]affinityEntry{}
	}
	return a
}

// prefixKeys appends the key of each remembered prefix of a body, longest last.
func prefixKeys(body []byte, keys []uint64) []uint64 {
	for end := prefixStep; end <= len(body) && len(keys) < maxPrefixes; end += prefixStep {
		keys = append(keys, xxhash.Sum64(body[:end]))
	}
	return keys
}

// Learn remembers the chain that served a body.
func (a *Affinity) Learn(body []byte, chain []*load.Upstream) {
	var room [maxPrefixes]uint64
	now := a.clock.Now()
	for _, k := range prefixKeys(body, room[:0]) {
		a.shards[k%affinityShards].put(k, affinityEntry{chain: chain, at: now})
	}
}

// Lookup returns the chain that served the longest prefix of a body, and the
// share of the work that it is expected to save.
func (a *Affinity) Lookup(body []byte) ([]*load.Upstream, float64) {
	var room [maxPrefixes]uint64
	keys := prefixKeys(body, room[:0])
	for i := len(keys) - 1; i >= 0; i-- {
		e, ok := a.shards[keys[i]%affinityShards].get(keys[i])
		if ok && a.clock.Now()-e.at < affinityAge {
			covered := float64((i+1)*prefixStep) / float64(len(body))
			return e.chain, savedShare * covered
		}
	}
	return nil, 0
}

func (s *affinityShard) get(k uint64) (affinityEntry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[k]
	return e, ok
}

// put remembers an entry, and forgets any other one when the shard is full.
func (s *affinityShard) put(k uint64, e affinityEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) >= affinityEntries {
		for old := range s.entries {
			delete(s.entries, old)
			break
		}
	}
	s.entries[k] = e
}
