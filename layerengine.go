package spanrill

import "context"

// EngineEntry is what an upstream says of itself in the platform's store.
type EngineEntry struct {
	ID       string // the name under which the upstream stands, which may stay when it starts again
	Service  string
	Addr     string
	Zone     string
	Kind     string // accelerator, or "" for a plain service
	Slots    int
	Leaving  bool
	Layers   LayerRange // empty while nothing is held
	Revision uint64     // of the entry in the store
	Born     int64      // Unix time of the start in milliseconds, 0 where it is not told
	Beats    uint64     // how often it has written its entry since its start, 0 where it is not told
}

// EngineReport is what an engine answers when it is asked. Load lags.
type EngineReport struct {
	Layers   LayerRange
	Busy     bool // an order is under way
	Sequence uint64
	Running  int
	Waiting  int
	KVUsed   float64 // tokens times layers
	KVTotal  float64
	Born     int64     // Unix time of the start in milliseconds, 0 where it is not told
	Pace     float64   // over 1: slower than its kind
	Stalled  []Stalled // requests that wait for another engine
}

// Stalled is a request that its first engine sees waiting.
type Stalled struct {
	RequestID string
	Addr      string // the engine that it waits for
}

// PathPart is one engine of a request's path and the layers it runs.
type PathPart struct {
	ID     string
	Addr   string
	Layers LayerRange
}

// PlaceOrder asks an engine to hold a range of layers.
type PlaceOrder struct {
	Layers   LayerRange
	Term     uint64 // fencing token of the lease
	Sequence uint64 // orders that the engine has taken so far
	Cut      bool   // requests that run on layers given up are cut, not waited for
}

// OrderState is an engine's answer to an order.
type OrderState uint8

// The answers to an order.
const (
	// OrderBegun means that the engine has started to carry it out.
	OrderBegun OrderState = iota
	// OrderDone means that the engine is already in the state asked for.
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

// Identifier asks addresses who listens there.
type Identifier interface {
	// Identify returns the name under which the upstream at an address stands in the
	// platform's store. The path is that of the service's health check.
	Identify(ctx context.Context, addr, path string) (name string, err error)
}

// LayerEngines speaks to engines that hold layers and take orders.
type LayerEngines interface {
	// Report asks an engine for its state.
	Report(ctx context.Context, addr string) (EngineReport, error)
	// Place gives an order. An error means that it may still be carried out.
	Place(ctx context.Context, addr, id string, o PlaceOrder) (OrderState, error)
	// Repath moves a running request to another path with the same first
	// engine. An error means that the request goes on as before, or is gone.
	Repath(ctx context.Context, addr, requestID string, path []PathPart) error
}
