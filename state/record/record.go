// Package record holds the records of calls that may run at most once.
//
// A record belongs to one idempotency key of one client account. It says which
// attempt may run the call, and later how the call ended. Records are gathered
// in slots; a slot is one object of the platform.
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

// Slots is the number of objects over which keys are spread. Each is written
// at most a few times a second, which bounds the writes of the whole fleet.
const Slots = 16

// Lifetime is how long a record is kept. A repeat that comes later may run.
const Lifetime = 10 * spanrill.Minute

// MaxBody bounds the answer kept in a record, in bytes. A longer answer is
// kept without its body.
const MaxBody = 256

// Record is the claim of one key.
type Record struct {
	Key     string           `json:"k"`
	Attempt string           `json:"a"` // the one attempt that may run the call
	Digest  uint64           `json:"d"` // hash of the request
	At      spanrill.Millis  `json:"t"` // wall clock of the claim
	Ended   bool             `json:"e,omitempty"`
	Outcome spanrill.Outcome `json:"o,omitempty"`
	Status  int              `json:"s,omitempty"`
	Type    string           `json:"c,omitempty"` // content type
	Body    []byte           `json:"b,omitempty"`
	Cut     bool             `json:"x,omitempty"` // whether the body was too long to keep
}

// End writes down how the call ended.
func (r *Record) End(answer *spanrill.ServiceAnswer, outcome spanrill.Outcome) {
	r.Ended, r.Outcome = true, outcome
	if answer == nil {
		return
	}
	r.Status = answer.Status
	for _, h := range answer.Headers {
		if h.Name == "Content-Type" {
			r.Type = h.Value
		}
	}
	if len(answer.Body) > MaxBody {
		r.Cut = true
		return
	}
	r.Body = answer.Body
}

// Answer returns the recorded answer, or nil if there is none.
func (r *Record) Answer() *spanrill.ServiceAnswer {
	if !r.Ended || r.Status == 0 {
		return nil
	}
	a := &spanrill.ServiceAnswer{Status: r.Status, Body: r.Body}
	if r.Type != "" {
		a.Headers = append(a.Headers, spanrill.Header{Name: "Content-Type", Value: r.Type})
	}
	return a
}

// SlotOf returns the slot of a key.
func SlotOf(key string) int { return int(xxhash.Sum64String(key) % Slots) }

// ObjectKey returns the object that holds a slot.
func ObjectKey(slot int) string { return fmt.Sprintf("claims/%02d", slot) }

// Slot is the records of one object, by key.
type Slot struct {
	records map[string]Record
}

// NewSlot returns a slot without records.
func NewSlot() *Slot { return &Slot{records: map[string]Record{}} }

// Decode reads a slot. An empty value is a slot without records.
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

// Encode returns the slot as it is stored.
func (s *Slot) Encode() ([]byte, error) {
	value, err := json.Marshal(s.records)
	if err != nil {
		return nil, fmt.Errorf("encode slot: %w", err)
	}
	return value, nil
}

// Find returns the record of a key.
func (s *Slot) Find(key string) (Record, bool) {
	r, ok := s.records[key]
	return r, ok
}

// Put writes a record.
func (s *Slot) Put(r Record) { s.records[r.Key] = r }

// Remove forgets a key.
func (s *Slot) Remove(key string) { delete(s.records, key) }

// Len returns the number of records.
func (s *Slot) Len() int { return len(s.records) }

// Expire forgets the records that are older than Lifetime.
func (s *Slot) Expire(now spanrill.Millis) {
	for k, r := range s.records {
		if now-r.At > Lifetime {
			delete(s.records, k)
		}
	}
}

// Clone returns a copy.
func (s *Slot) Clone() *Slot {
	c := &Slot{records: make(map[string]Record, len(s.records))}
	for k, r := range s.records {
		c.records[k] = r
	}
	return c
}

// Recover detects that s is an older copy of the slot than lastWritten. If so, it restores the
// unexpired records and outcomes that s lacks and returns true. Otherwise it leaves s unchanged.
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
		if now-r.At <= Lifetime && (!ok || existing.Attempt == r.Attempt && !existing.Ended) {
			s.records[key] = r
		}
	}
	return true
}

// isOlderThan reports whether s lacks an unexpired outcome that is recorded in lastWritten.
func (s *Slot) isOlderThan(lastWritten *Slot, now spanrill.Millis) bool {
	for key, r := range lastWritten.records {
		if !r.Ended || now-r.At > Lifetime {
			continue
		}
		if existing, ok := s.records[key]; !ok || existing.Attempt == r.Attempt && !existing.Ended {
			return true
		}
	}
	return false
}
