package spanrill

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
)

// Role is the role of a box in the platform's box list.
type Role string

// The roles of boxes.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// BoxState is the state of a box in the box list.
type BoxState string

// The states of boxes.
const (
	BoxLive    BoxState = "live"
	BoxLeaving BoxState = "leaving"
)

// Box is one entry of the platform's box list. The list may be outdated.
type Box struct {
	Name      string   `json:"name"`
	Role      Role     `json:"role"`
	Zone      string   `json:"availability_zone"`
	Addr      string   `json:"addr"`                 // host:port of the main interface
	PeerAddr  string   `json:"peer_addr,omitempty"`  // entry boxes: host:port for peers
	AdminAddr string   `json:"admin_addr,omitempty"` // entry boxes: host:port for operators
	Service   string   `json:"service,omitempty"`    // service boxes: the service's name
	State     BoxState `json:"state"`
}

// BoxLister reads the platform's box list.
type BoxLister interface {
	// Boxes returns the platform's current list.
	Boxes(ctx context.Context) ([]Box, error)
}

// LayerRange is a half-open range of layers: it includes From and excludes To.
type LayerRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Len returns the number of layers.
func (r LayerRange) Len() int { return r.To - r.From }

// CoveredBy reports whether the given ranges that lie within r together contain every layer of r, so
// that a path can run r on them. Ranges may overlap, and those that do not lie within r do not count.
func (r LayerRange) CoveredBy(ranges []LayerRange) bool {
	for layer := r.From; layer < r.To; {
		next := layer
		for _, other := range ranges {
			if other.From <= layer && other.To > layer && other.From >= r.From && other.To <= r.To {
				next = max(next, other.To)
			}
		}
		if next == layer {
			return false
		}
		layer = next
	}
	return true
}

// UpstreamStatus is what an upstream reports about itself. Its load figures lag behind.
type UpstreamStatus struct {
	Name       string     `json:"name"`
	Leaving    bool       `json:"leaving"`
	Running    int        `json:"running"`
	Waiting    int        `json:"waiting"`
	Slots      int        `json:"slots"`
	Kind       string     `json:"kind,omitempty"`    // engines: accelerator
	Model      string     `json:"model,omitempty"`   // engines: model loaded
	Version    string     `json:"version,omitempty"` // engines: model version
	Layers     LayerRange `json:"layers"`            // engines: layers loaded
	Generation uint64     `json:"generation"`        // increases with each start and load
	Loading    bool       `json:"loading,omitempty"`
	StepMicros int        `json:"step_micros,omitempty"`   // base time of one batch step
	TokenNanos int        `json:"token_nanos,omitempty"`   // time added for each position and layer
	CacheSeq   uint64     `json:"cache_seq,omitempty"`     // sequence number of the newest cache event
	AgeMillis  Millis     `json:"age_millis,omitempty"`    // age of the load figures
	MaxLayers  int        `json:"memory_layers,omitempty"` // number of layers that fit in memory
}

// StageRef is one stage of a chain: an engine and the layers that it has to run.
type StageRef struct {
	Engine     string     `json:"engine"`
	Addr       string     `json:"addr"`
	Layers     LayerRange `json:"layers"`
	Generation uint64     `json:"generation"`
}

// RunRequest asks a chain to generate tokens.
type RunRequest struct {
	ID         string     `json:"id"`   // differs for each attempt
	Path       string     `json:"path"` // the caller's path, which determines the format of Body
	Body       []byte     `json:"body"` // the caller's body, unmodified
	Model      string     `json:"model"`
	Version    string     `json:"version"`
	LayerCount int        `json:"layers"`   // number of layers of the whole model
	Seed       uint64     `json:"seed"`     // the same for each attempt
	Priority   int        `json:"priority"` // 0 is lowest
	MaxTokens  int        `json:"max_tokens"`
	Generated  []uint32   `json:"generated"` // verified tokens after which the chain continues
	Chain      []StageRef `json:"chain"`
}

// StageRun is a stage's record of having run its layers for one token.
type StageRun struct {
	Engine     string     `json:"engine"`
	Layers     LayerRange `json:"layers"`
	Micros     int64      `json:"micros"` // time in the stage, including queueing
	LinkMicros int64      `json:"link"`   // time on the link into the stage, in microseconds
}

// Finish tells why a generation ended.
type Finish string

// The values of Finish. FinishNone stands in events that do not complete a generation.
const (
	FinishNone   Finish = ""
	FinishStop   Finish = "stop"
	FinishLength Finish = "length"
)

// RunEvent is one message of a chain: a token, or the end of the generation.
type RunEvent struct {
	Index        int        `json:"index"`
	Token        uint32     `json:"token"`
	Text         string     `json:"text"`
	StageRuns    []StageRun `json:"ran,omitempty"`
	PromptTokens int        `json:"prompt_tokens,omitempty"`
	CachedTokens int        `json:"cached_tokens,omitempty"`
	Finish       Finish     `json:"finish,omitempty"`
	Error        *RunError  `json:"error,omitempty"`
}

// RunError is an error that an engine reports while it runs a chain.
type RunError struct {
	Code   string `json:"code"`
	Engine string `json:"engine"` // the stage that failed
	Detail string `json:"detail"`
}

// Codes of RunError.
const (
	CodeLeaving    = "leaving"
	CodeMismatch   = "mismatch" // layers, model, version or generation differ
	CodeBusy       = "busy"
	CodeBadRequest = "bad_request"
	CodeStageLost  = "stage_lost"
	CodeFenced     = "fenced"
)

// Error returns the code, the stage and the detail.
func (e *RunError) Error() string {
	return e.Code + " at " + e.Engine + ": " + e.Detail
}

// ErrStalled means that an upstream sent nothing within the allowed time.
var ErrStalled = errors.New("upstream stalled")

// RunStream reads the answer of a chain as it arrives.
type RunStream interface {
	// Next returns the next event, or ErrStalled if none came within wait. The error
	// io.EOF means that the stream was closed; the answer is complete only if an event
	// with a Finish came before.
	Next(wait Millis) (RunEvent, error)
	// Close ends the stream. The engine cancels a generation that still runs.
	Close() error
}

// Engines calls model engines.
type Engines interface {
	// Run starts a generation on the first stage of the request's chain.
	Run(ctx context.Context, req *RunRequest) (RunStream, error)
	// Status requests the status of one engine.
	Status(ctx context.Context, addr string) (UpstreamStatus, error)
	// Order sends an order to an engine.
	Order(ctx context.Context, addr string, o Order) error
}

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	// OrderLoad tells an engine to load a range of layers of a model.
	OrderLoad OrderKind = "load"
)

// Order tells an engine which state to reach. It is idempotent.
type Order struct {
	Kind       OrderKind  `json:"kind"`
	LeaseName  string     `json:"duty"` // the lease that authorizes the order
	Term       uint64     `json:"term"` // fencing token: an engine refuses an order with a lower one than it has seen
	Model      string     `json:"model"`
	Version    string     `json:"version"`
	Layers     LayerRange `json:"layers"`
	LayerCount int        `json:"layer_num"` // number of layers of the whole model
}

// CallError is the error of one call to an upstream.
type CallError struct {
	Phase   Phase
	Written int // bytes of the request that were handed to the operating system
	Cause   error
}

// Error returns the phase and the cause.
func (e *CallError) Error() string {
	return "upstream call failed at " + e.Phase.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// IsConnectionRefused reports whether an error means that the other end refused a connection: its
// host is reachable, and no process listens at the address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsLocalResourceError reports whether an error means that this machine could not open a connection
// because it lacks file descriptors, ports, buffers or memory. Such an error says nothing about the
// other end.
func IsLocalResourceError(err error) bool {
	for _, errno := range [...]error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// Outcome returns whether the request ran, as far as the phase and the bytes written tell.
func (e *CallError) Outcome() Outcome { return OutcomeOf(e.Phase, e.Written) }
