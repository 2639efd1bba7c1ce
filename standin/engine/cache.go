package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"spanrill/standin/model"
)

// blockLen is the number of positions in one cached block.
const blockLen = 16

// maxBlocks bounds the blocks of one prompt that the cache considers.
const maxBlocks = 64

// CacheEvent says that a prefix block came or went.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Key     uint64 `json:"key"`
	Evicted bool   `json:"evicted"`
}

// eventGap drops every n-th cache event, so that sequence numbers have gaps.
const eventGap = 7

// maxEvents bounds the events kept for readers.
const maxEvents = 1024

// prefixCache keeps the KV of prompt prefixes, least recently used first out.
type prefixCache struct {
	limit  int
	order  *list.List // of *cacheEntry, newest first
	byKey  map[uint64]*list.Element
	seq    uint64
	events []CacheEvent
}

type cacheEntry struct {
	key uint64
	kv  []model.KV
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), byKey: map[uint64]*list.Element{}}
}

func (c *prefixCache) get(key uint64) []model.KV {
	el := c.byKey[key]
	if el == nil {
		return nil
	}
	c.order.MoveToFront(el)
	return el.Value.(*cacheEntry).kv
}

func (c *prefixCache) put(key uint64, kv []model.KV) {
	if c.byKey[key] != nil || c.limit == 0 {
		return
	}
	entry := &cacheEntry{key: key, kv: append([]model.KV(nil), kv...)}
	c.byKey[key] = c.order.PushFront(entry)
	c.emit(CacheEvent{Key: key})
	for c.order.Len() > c.limit {
		last := c.order.Back()
		old := c.order.Remove(last).(*cacheEntry)
		delete(c.byKey, old.key)
		c.emit(CacheEvent{Key: old.key, Evicted: true})
	}
}

func (c *prefixCache) emit(e CacheEvent) {
	c.seq++
	e.Seq = c.seq
	if c.seq%eventGap == 0 {
		return
	}
	c.events = append(c.events, e)
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

func (c *prefixCache) clear() {
	c.order.Init()
	c.byKey = map[uint64]*list.Element{}
}

// held returns a bit for each block of keys that the cache holds.
func (c *prefixCache) held(keys []uint64) uint64 {
	var mask uint64
	for i, k := range keys {
		if c.byKey[k] != nil {
			mask |= 1 << i
		}
	}
	return mask
}

// blockKeys returns the key of each whole block of the prompt. The last
// position is left out, since its activation is always needed.
func blockKeys(s model.Spec, words []string) []uint64 {
	var keys []uint64
	d := xxhash.New()
	_, _ = d.WriteString(s.Name + "\x00" + s.Version)
	for i, w := range words {
		if i > 0 && i%blockLen == 0 && len(keys) < maxBlocks {
			keys = append(keys, d.Sum64())
		}
		_, _ = d.WriteString("\x00" + w)
	}
	return keys
}
