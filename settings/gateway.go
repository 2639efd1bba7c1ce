package settings

import (
	_ "embed" // the schema is embedded
	"fmt"
	"math"
	"os"

	"spanrill"
	"spanrill/checked"
)

//go:embed gateway.json
var gatewaySchemaJSON []byte

var gatewaySchema = checked.MustCompile("gateway", gatewaySchemaJSON)

// GatewaySchema returns the JSON schema of Gateway.
func GatewaySchema() *checked.Schema { return gatewaySchema }

// Gateway holds the settings of one process that runs as a gateway on the users' platform.
type Gateway struct {
	Name          string   `json:"name"`
	Zone          string   `json:"availability_zone"`
	Listen        string   `json:"listen"`
	ReadyListen   string   `json:"ready_listen"`
	PeerListen    string   `json:"peer_listen"`
	MetricsListen string   `json:"metrics_listen"`
	TunnelListen  string   `json:"tunnel_listen"` // for daemons that have lost their path to upstreams, or "" to help none
	Peers         []string `json:"peers"`
	Platform      string   `json:"platform"`
	FleetSecret   string   `json:"fleet_secret"`
	MemoryMB      int      `json:"memory_mb"`   // 0 for no limit
	Descriptors   int      `json:"descriptors"` // file descriptors allowed to the process, 0 if unknown
	CPUShare      float64  `json:"cpu_share"`   // share of a core that the process gets, 0 if unknown
	Cores         float64  `json:"cores"`       // speed of that core, 1 for a reference core
	Bounds        Bounds   `json:"bounds"`
	Overload      Overload `json:"overload"`
	Log           Log      `json:"log"`
}

// Bounds are the limits that the operator sets for the whole fleet.
type Bounds struct {
	Apply       spanrill.Millis `json:"apply_ms"`        // time after which a changed configuration is in force
	Revoke      spanrill.Millis `json:"revoke_ms"`       // time after which no request runs with a withdrawn key
	Grace       spanrill.Millis `json:"grace_ms"`        // time between the signal to stop and the kill
	Drain       spanrill.Millis `json:"drain_ms"`        // time after which a leaving upstream gets no new requests
	RetryRatio  float64         `json:"retry_ratio"`     // retries per request
	RetrySlack  float64         `json:"retry_slack"`     // retries per window beyond the ratio, over all daemons combined
	RetryWindow spanrill.Millis `json:"retry_window_ms"` // period over which retries are counted
}

// Overload selects what the daemons do when requests compete for the engines of a service. All
// daemons of a fleet must have the same values.
type Overload struct {
	DivideRoom  DivideRoom `json:"divide_room"`  // which services have their room divided among the daemons
	Queue       bool       `json:"queue"`        // whether requests of these services wait in order of urgency
	PlanReturns bool       `json:"plan_returns"` // whether their refused callers return at planned times
}

// DivideRoom selects the services whose room is divided among the daemons.
type DivideRoom string

const (
	// DivideByClass selects services whose chained routes and client accounts have more than one
	// priority.
	DivideByClass DivideRoom = "by_class"
	// DivideAlways selects all services with chains.
	DivideAlways DivideRoom = "always"
	// DivideNever selects none.
	DivideNever DivideRoom = "never"
)

// DefaultApply is the shortest time that deployments of the users give a changed configuration.
const DefaultApply = 2 * spanrill.Second

// DefaultDrain is the shortest time that deployments of the users give an upstream to leave.
const DefaultDrain = 2 * spanrill.Second

// MilliCores returns the processor capacity of the process in thousandths of a reference core, or 0 if
// unknown.
func (g *Gateway) MilliCores() int { return int(math.Round(1000 * g.CPUShare * g.Cores)) }

// DefaultGateway returns settings with the default of each optional field.
func DefaultGateway() Gateway {
	return Gateway{
		Peers: []string{}, Cores: 1, Log: Log{Level: "info"},
		Overload: Overload{DivideRoom: DivideByClass, Queue: true, PlanReturns: true},
		Bounds:   Bounds{Apply: DefaultApply, Drain: DefaultDrain, RetryRatio: 0.1, RetrySlack: 10, RetryWindow: 10 * spanrill.Second},
	}
}

// ParseGateway validates and decodes the settings of a gateway. Errors name their source as file.
func ParseGateway(file string, data []byte) (Gateway, error) {
	s := DefaultGateway()
	if err := gatewaySchema.Decode(file, data, &s); err != nil {
		return Gateway{}, err
	}
	return s, nil
}

// LoadGateway reads, validates and decodes the settings of a gateway from a file.
func LoadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseGateway(path, data)
}
