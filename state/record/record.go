// Package record stores claims of idempotency keys, so that a call with such a key runs at most
// once.
//
// A record belongs to one idempotency key of one client account. It contains the attempt that may
// run the call and, once the call has ended, its result. Records are grouped into slots, and each
// slot is stored as one object of the platform's store.
//
// # Usage
//
//	slot, err := record.Decode(value)
//	existing := slot.Find(key)
package record

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"spanrill"
)

// SlotCount is the number of objects over which keys are distributed. Each object is written at most
// a few times a second, which limits the writes of all daemons together.
const SlotCount = 16

// Lifetime is how long a record is kept. A call that is repeated later may run again.
const Lifetime = 10 * spanrill.Minute

// MaxBodyBytes is the maximum size of the body that a record keeps. A longer answer is kept without
// its body.
const MaxBodyBytes = 256

// Record is the claim of one idempotency key and the result of its call.
type Record struct {
	Key         string           `json:"k"`
	Attempt     string           `json:"a"` // id of the only attempt that may run the call
	Digest      uint64           `json:"d"` // hash of the request
	ClaimedAt   spanrill.Millis  `json:"t"` // wall-clock time of the claim
	Ended       bool             `json:"e,omitempty"`
	Outcome     spanrill.Outcome `json:"o,omitempty"`
	Status      int              `json:"s,omitempty"`
	ContentType string           `json:"c,omitempty"` // content type of the answer
	Body        []byte           `json:"b,omitempty"`
	BodyTooLong bool             `json:"x,omitempty"` // the body exceeded MaxBodyBytes and was not kept
}

// End records the outcome of the call and its answer, which may be nil.
func (r *Record) End(answer *spanrill.ServiceAnswer, outcome spanrill.Outcome) {
	r.Ended, r.Outcome = true, outcome
	if answer == nil {
		return
	}
	r.Status = answer.Status
	for _, h := range answer.Headers {
		if h.Name == "Content-Type" {
			r.ContentType = h.Value
		}
	}
	if len(answer.Body) > MaxBodyBytes {
		r.BodyTooLong = true
		return
	}
	r.Body = answer.Body
}

// Answer returns the recorded answer, or nil if there is none. It has no body if the body was too
// long to keep.
func (r *Record) Answer() *spanrill.ServiceAnswer {
	if !r.Ended || r.Status == 0 {
		return nil
	}
	a := &spanrill.ServiceAnswer{Status: r.Status, Body: r.Body}
	if r.ContentType != "" {
		a.Headers = append(a.Headers, spanrill.Header{Name: "Content-Type", Value: r.ContentType})
	}
	return a
}

// SlotOf returns the number of the slot that holds a key's record.
func SlotOf(key string) int { return int(xxhash.Sum64String(key) % SlotCount) }

// ObjectKey returns the key of the object in which a slot is stored.
func ObjectKey(slot int) string { return fmt.Sprintf("claims/%02d", slot) }

// Slot holds the records of one object by idempotency key. It is not safe for concurrent use.
type Slot struct {
	records map[string]Record
}

// NewSlot returns an empty slot.
func NewSlot() *Slot { return &Slot{records: map[string]Record{}} }

// Decode decodes a stored slot. An empty value is an empty slot.
func Decode(value []byte) (*Slot, error) {
	s := NewSlot()
	if len(value) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(value, &s.records); err != nil {
		return nil, fmt.Errorf("decode slot: %w", err)
	}
	return s, nil
}

// Encode returns the stored form of the slot.
func (s *Slot) Encode() ([]byte, error) {
	value, err := json.Marshal(s.records)
	if err != nil {
		return nil, fmt.Errorf("encode slot: %w", err)
	}
	return value, nil
}

// Find returns the record of a key, and whether there is one.
func (s *Slot) Find(key string) (Record, bool) {
	r, ok := s.records[key]
	return r, ok
}

// Put adds a record or replaces the one with the same key.
func (s *Slot) Put(r Record) { s.records[r.Key] = r }

// Remove removes the record of a key, if there is one.
func (s *Slot) Remove(key string) { delete(s.records, key) }

// Len returns the number of records.
func (s *Slot) Len() int { return len(s.records) }

// Expire removes the records that are older than Lifetime.
func (s *Slot) Expire(now spanrill.Millis) {
	for key, r := range s.records {
		if now-r.ClaimedAt > Lifetime {
			delete(s.records, key)
		}
	}
}

// Clone returns a copy that can be changed independently. The bodies of answers are shared.
func (s *Slot) Clone() *Slot {
	c := &Slot{records: make(map[string]Record, len(s.records))}
	for key, r := range s.records {
		c.records[key] = r
	}
	return c
}

// Recover reports whether s is an older copy of the slot than lastWritten. If so, it also restores the
// unexpired records and outcomes that s lacks. Otherwise it leaves s unchanged.
//
// Only a missing outcome of an ended call identifies an older copy, since the record of such a
// call is removed only on expiry. The record of a call that has not ended may be missing because
// another daemon removed it.
func (s *Slot) Recover(lastWritten *Slot, now spanrill.Millis) bool {
	if !s.isOlderThan(lastWritten, now) {
		return false
	}
	for key, r := range lastWritten.records {
		existing, ok := s.records[key]
		if now-r.ClaimedAt <= Lifetime && (!ok || existing.Attempt == r.Attempt && !existing.Ended) {
			s.records[key] = r
		}
	}
	return true
}

// isOlderThan reports whether s lacks an unexpired outcome that is recorded in lastWritten.
func (s *Slot) isOlderThan(lastWritten *Slot, now spanrill.Millis) bool {
	for key, r := range lastWritten.records {
		if !r.Ended || now-r.ClaimedAt > Lifetime {
			continue
		}
		if existing, ok := s.records[key]; !ok || existing.Attempt == r.Attempt && !existing.Ended {
			return true
		}
	}
	return false
}
