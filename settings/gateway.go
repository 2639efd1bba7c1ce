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
var gatewayJSON []byte

var gatewaySchema = checked.MustCompile("gateway", gatewayJSON)

// GatewaySchema returns the JSON schema of the settings of a gateway.
func GatewaySchema() *checked.Schema { return gatewaySchema }

// Gateway is the settings of one process that runs on the users' platform.
type Gateway struct {
	Name          string   `json:"name"`
	Zone          string   `json:"availability_zone"`
	Listen        string   `json:"listen"`
	ReadyListen   string   `json:"ready_listen"`
	PeerListen    string   `json:"peer_listen"`
	MetricsListen string   `json:"metrics_listen"`
	Peers         []string `json:"peers"`
	Platform      string   `json:"platform"`
	FleetSecret   string   `json:"fleet_secret"`
	MemoryMB      int      `json:"memory_mb"`   // 0: no limit
	Descriptors   int      `json:"descriptors"` // that the process may have, 0: not known
	CPUShare      float64  `json:"cpu_share"`   // of a core that the process gets, 0: not known
	Cores         float64  `json:"cores"`       // how many times as fast as one the core runs
	Bounds        Bounds   `json:"bounds"`
	Log           Log      `json:"log"`
}

// Bounds is what the operator holds the fleet to.
type Bounds struct {
	Revoke      spanrill.Millis `json:"revoke_ms"` // after this no request runs under a withdrawn key
	Grace       spanrill.Millis `json:"grace_ms"`  // from the request to stop to the kill
	Drain       spanrill.Millis `json:"drain_ms"`  // after this an upstream that leaves gets nothing new
	RetryRatio  float64         `json:"retry_ratio"`
	RetrySlack  float64         `json:"retry_slack"`
	RetryWindow spanrill.Millis `json:"retry_window_ms"`
}

// DefaultDrain is the shortest time that the users' deployments give an upstream
// that leaves.
const DefaultDrain = 2 * spanrill.Second

// Power returns the processor of the box in thousandths of a core, or 0 if it is not known.
func (g *Gateway) Power() int { return int(math.Round(1000 * g.CPUShare * g.Cores)) }

// DefaultGateway returns settings in which all optional fields have their value.
func DefaultGateway() Gateway {
	return Gateway{
		Peers: []string{}, Cores: 1, Log: Log{Level: "info"},
		Bounds: Bounds{Drain: DefaultDrain, RetryRatio: 0.1, RetrySlack: 10, RetryWindow: 10 * spanrill.Second},
	}
}

// ParseGateway checks and decodes the settings of a gateway. File names them in
// errors.
func ParseGateway(file string, data []byte) (Gateway, error) {
	s := DefaultGateway()
	if err := gatewaySchema.Decode(file, data, &s); err != nil {
		return Gateway{}, err
	}
	return s, nil
}

// LoadGateway reads the settings of a gateway from a file.
func LoadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseGateway(path, data)
}
