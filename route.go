package spanrill

// Repeat says how often a request of a route may run.
type Repeat uint8

// The kinds of repetition. The zero value is the careful one.
const (
	// RepeatNever means that a request runs at most once.
	RepeatNever Repeat = iota
	// RepeatSafe means that a request may run any number of times.
	RepeatSafe
	// RepeatResume means that a stream may run again behind the last event
	// that its caller has received.
	RepeatResume
)

var repeatNames = [...]string{RepeatNever: "never", RepeatSafe: "safe", RepeatResume: "resume"}

// String returns the name used in logs.
func (r Repeat) String() string {
	if int(r) >= len(repeatNames) {
		return "invalid"
	}
	return repeatNames[r]
}

// Share is one service of a route that is split, and its part of the requests.
type Share struct {
	Service string
	Weight  int
}

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name        string
	Host        string
	Prefix      string // starts and ends with a slash
	Shares      []Share
	Repeat      Repeat
	Stream      bool   // the answer is a series of events
	Chained     bool   // the service's engines each hold a part of a model
	Open        bool   // needs no key
	Timeout     Millis // the longest a request may be held
	Target      Millis // an answer, or a stream's first event, is in time until then
	PauseTarget Millis // the longest pause between events that is in time
	Priority    int    // 0 is the most urgent
	MaxAttempts int    // upstreams that one request may be sent to
}

// ServiceInfo describes a service that routes name.
type ServiceInfo struct {
	Name           string
	HealthPath     string
	MaxConnections int          // that one upstream takes from all callers
	Model          *EngineModel // nil for a plain service
}

// KindModel describes one kind of accelerator.
type KindModel struct {
	Name       string
	MemoryMB   float64 // for layers and prompts together
	Pace       float64 // factor on the time of a step
	ReadFactor float64 // factor on the time of reading a prompt
}

// EngineModel is what the operator says of the engines of one service: the
// figures from which placement and routing work out times and memory.
type EngineModel struct {
	Name         string // of the model served
	Layers       int
	LayerMB      float64
	Slots        int     // requests in one batch
	TokenBytes   float64 // memory of one token over all layers
	ActBytes     float64 // handed on for each token between two engines
	StepMillis   float64 // of one pass over all layers, at pace 1
	PerSequence  float64 // milliseconds added for each request in the batch
	ContextPerK  float64 // milliseconds added for 1,000 tokens of context
	ReadPerMilli float64 // prompt tokens read in a millisecond, over all layers
	PipeMbps     float64 // between two availability zones, shared
	LoadSeconds  float64 // to load all layers
	LoadsAtOnce  int     // loads that run at full speed together
	UsualPrompt  float64 // mean tokens
	UsualAnswer  float64 // mean tokens
	EventTokens  int     // that an event of a stream holds, 0 where it is not told
	Kinds        map[string]KindModel
	Delays       map[ZonePair]float64 // one way, milliseconds
}

// ZonePair is two availability zones, in the order of their names.
type ZonePair struct{ A, B string }

// PairOf returns the pair of two availability zones.
func PairOf(a, b string) ZonePair {
	if a > b {
		a, b = b, a
	}
	return ZonePair{A: a, B: b}
}

// Account is a client account, as far as routing needs it.
type Account struct {
	Name     string
	Keys     []string
	Priority int // NoPriority: the route's holds
}

// NoPriority means that an account sets no priority of its own.
const NoPriority = -1

// CallerLimits bound what callers may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout Millis
	IdleTimeout   Millis
}

// RouteConfig is one version of the configuration of routes. It is not changed
// after it was decoded.
type RouteConfig struct {
	Version  int64 // rises, in uneven steps
	Routes   []Route
	Services []ServiceInfo
	Accounts []Account
	Limits   CallerLimits
	Odd      []string // values that cannot be true and were taken as not told, described
}
