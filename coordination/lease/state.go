package lease

import (
	"encoding/json"
	"fmt"

	"spanrill"
)

// State is a lease as read from the platform's store, for tools that display it.
type State struct {
	Holder   string          `json:"holder"` // empty if handed back or never acquired
	Term     uint64          `json:"term"`
	Duration spanrill.Millis `json:"time_ms"` // validity from each write
}

// Decode decodes a lease from its value in the store.
func Decode(value []byte) (State, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return State{}, fmt.Errorf("decode lease: %w", err)
	}
	return State{Holder: r.Holder, Term: r.Term, Duration: r.Duration}, nil
}
