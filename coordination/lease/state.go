package lease

import (
	"encoding/json"
	"fmt"

	"spanrill"
)

// State is a lease as the platform's store holds it, for tools that show it.
type State struct {
	Holder string          `json:"holder"` // empty: handed back, or never taken
	Term   uint64          `json:"term"`
	Time   spanrill.Millis `json:"time_ms"` // how long it holds from each write
}

// Decode reads a lease from its value in the store.
func Decode(value []byte) (State, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return State{}, fmt.Errorf("decode lease: %w", err)
	}
	return State{Holder: r.Holder, Term: r.Term, Time: r.Time}, nil
}
