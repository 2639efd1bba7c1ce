package spanrill

import "context"

// EngineEntry is the record that an upstream writes of itself in the platform's store. Messages
// between daemons and the JSON that the command line tool prints contain it under its field names.
type EngineEntry struct {
	ID         string // the name of the entry, which may stay the same after a restart
	Service    string
	Addr       string
	Zone       string
	Kind       string // accelerator, or "" for a plain service
	Slots      int
	Leaving    bool
	Layers     LayerRange // empty while no layers are loaded
	Revision   uint64     // of the entry in the store
	StartedAt  int64      `json:"Born" msgpack:"Born"`   // Unix time of the start in milliseconds, 0 if unknown
	WriteCount uint64     `json:"Beats" msgpack:"Beats"` // number of writes of the entry since the start, 0 if unknown
}

// EngineReport is the state that an engine returns on request. Its load figures lag behind.
type EngineReport struct {
	Layers          LayerRange
	Busy            bool   // whether the engine is carrying out an order
	Sequence        uint64 // number of orders accepted so far
	Running         int
	Waiting         int
	KVUsed          float64          // KV cache in use, in tokens times layers
	KVTotal         float64          // size of the KV cache, in tokens times layers
	StartedAt       int64            // Unix time of the start in milliseconds, 0 if unknown
	Pace            float64          // step time relative to its kind: over 1 is slower
	StalledRequests []StalledRequest // requests that wait for another engine
}

// StalledRequest is a request that waits for another engine, as the first engine of its path reports.
type StalledRequest struct {
	RequestID string
	Addr      string // of the engine that it waits for
}

// PathStage is one engine of a request's path and the layers it runs.
type PathStage struct {
	ID     string
	Addr   string
	Layers LayerRange
}

// PlacementOrder tells an engine to load a range of layers.
type PlacementOrder struct {
	Layers        LayerRange
	Term          uint64 // fencing token of the lease
	Sequence      uint64 // number of orders that the engine has accepted so far
	CancelRunning bool   // cancel requests on layers to unload, instead of waiting for them
}

// OrderState is an engine's answer to an order.
type OrderState uint8

// The answers to an order.
const (
	// OrderBegun means that the engine has started to carry out the order.
	OrderBegun OrderState = iota
	// OrderDone means that the engine is already in the requested state.
	OrderDone
	// OrderConflict means that the order does not fit the engine's state.
	OrderConflict
	// OrderFenced means that the engine has seen a newer fencing token.
	OrderFenced
)

var orderStateNames = [...]string{"begun", "done", "conflict", "fenced"}

// String returns the name used in logs.
func (s OrderState) String() string {
	if int(s) >= len(orderStateNames) {
		return "invalid"
	}
	return orderStateNames[s]
}

// Identifier finds out which upstream listens at an address.
type Identifier interface {
	// Identify returns the name of the entry of the upstream at an address. The path is
	// that of the service's health check.
	Identify(ctx context.Context, addr, path string) (name string, err error)
}

// LayerEngines calls engines that hold layers and accept placement orders.
type LayerEngines interface {
	// Report asks an engine for its state.
	Report(ctx context.Context, addr string) (EngineReport, error)
	// Place sends an order. After an error the order may still be carried out.
	Place(ctx context.Context, addr, id string, o PlacementOrder) (OrderState, error)
	// Reroute moves a running request to another path with the same first engine. An
	// error means that the request continues on its old path, or no longer exists.
	Reroute(ctx context.Context, addr, requestID string, path []PathStage) error
}
