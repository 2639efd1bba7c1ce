package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"spanrill/standin/model"
)

// blockLen is the number of positions in a prefix block.
const blockLen = 16

// maxPromptBlocks is the maximum number of prefix blocks of a prompt: as many as the bit mask of
// cached blocks can hold.
const maxPromptBlocks = 64

// CacheEvent reports that a prefix block was cached or evicted.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Key     uint64 `json:"key"`
	Evicted bool   `json:"evicted"`
}

// droppedEventInterval is the number of cache events of which the last is dropped, so that readers see
// gaps in the sequence numbers.
const droppedEventInterval = 7

// maxCacheEvents is the number of cache events that are kept for readers.
const maxCacheEvents = 1024

// prefixCache holds the KV caches of prompt prefixes. It evicts the least recently used block first.
type prefixCache struct {
	capacity  int        // maximum number of blocks
	byRecency *list.List // of *cacheEntry, most recently used first
	byKey     map[uint64]*list.Element
	seq       uint64 // sequence number of the last event, also if it was dropped
	events    []CacheEvent
}

// cacheEntry is a prefix block in the cache. Its KV cache covers the prompt up to the end of the block.
type cacheEntry struct {
	key uint64
	kv  []model.KV
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, byRecency: list.New(), byKey: map[uint64]*list.Element{}}
}

// get returns the KV cache of a prefix, or nil if it is not cached.
func (c *prefixCache) get(key uint64) []model.KV {
	el := c.byKey[key]
	if el == nil {
		return nil
	}
	c.byRecency.MoveToFront(el)
	return el.Value.(*cacheEntry).kv
}

// put caches a copy of the KV cache of a prefix, unless it is cached already.
func (c *prefixCache) put(key uint64, kv []model.KV) {
	if c.byKey[key] != nil || c.capacity == 0 {
		return
	}
	entry := &cacheEntry{key: key, kv: append([]model.KV(nil), kv...)}
	c.byKey[key] = c.byRecency.PushFront(entry)
	c.addEvent(CacheEvent{Key: key})
	for c.byRecency.Len() > c.capacity {
		oldest := c.byRecency.Back()
		evicted := c.byRecency.Remove(oldest).(*cacheEntry)
		delete(c.byKey, evicted.key)
		c.addEvent(CacheEvent{Key: evicted.key, Evicted: true})
	}
}

// addEvent numbers an event and keeps it for readers, unless it is to be dropped.
func (c *prefixCache) addEvent(e CacheEvent) {
	c.seq++
	e.Seq = c.seq
	if c.seq%droppedEventInterval == 0 {
		return
	}
	c.events = append(c.events, e)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// clear removes all blocks without events of their eviction.
func (c *prefixCache) clear() {
	c.byRecency.Init()
	c.byKey = map[uint64]*list.Element{}
}

// cachedBlocks returns a bit mask: bit i is set if the cache holds the i-th of the keys.
func (c *prefixCache) cachedBlocks(keys []uint64) uint64 {
	var mask uint64
	for i, k := range keys {
		if c.byKey[k] != nil {
			mask |= 1 << i
		}
	}
	return mask
}

// blockKeys returns the keys of the complete prefix blocks. A block that ends at the last position is
// left out: the activation of that position is needed for the next token.
func blockKeys(s model.Spec, words []string) []uint64 {
	var keys []uint64
	digest := xxhash.New()
	_, _ = digest.WriteString(s.Name + "\x00" + s.Version)
	for i, w := range words {
		if i > 0 && i%blockLen == 0 && len(keys) < maxPromptBlocks {
			keys = append(keys, digest.Sum64())
		}
		_, _ = digest.WriteString("\x00" + w)
	}
	return keys
}
