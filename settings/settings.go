// Package settings reads and validates the settings file of a spanrilld process.
//
// Settings are one JSON object. It is validated as a whole when the process starts: all mistakes
// are reported at once, each with its field, its position and what is allowed there. The schemas in
// settings.json and gateway.json define the fields.
//
// # Usage
//
//	s, err := settings.Load("spanrilld.json")
//	if err != nil {
//		return fmt.Errorf("load settings: %w", err)
//	}
package settings

import (
	_ "embed" // the schema is embedded
	"encoding/json"
	"fmt"
	"os"

	"spanrill"
	"spanrill/checked"
)

//go:embed settings.json
var settingsSchemaJSON []byte

var settingsSchema = checked.MustCompile("settings", settingsSchemaJSON)

// Schema returns the JSON schema of Settings.
func Schema() *checked.Schema { return settingsSchema }

// Settings are the settings of one daemon.
type Settings struct {
	Name          string   `json:"name"`
	Zone          string   `json:"availability_zone"`
	Listen        string   `json:"listen"`
	AdminListen   string   `json:"admin_listen"`
	PeerListen    string   `json:"peer_listen"`
	PeerAdvertise string   `json:"peer_advertise"`
	TunnelListen  string   `json:"tunnel_listen"` // for daemons that have lost their path to upstreams, or "" to help none
	Platform      string   `json:"platform"`
	FleetSecret   string   `json:"fleet_secret"`
	Peers         []string `json:"peers"`
	RoutingPolicy string   `json:"routing_policy"`
	Seed          uint64   `json:"seed"`
	Limits        Limits   `json:"limits"`
	Waits         Waits    `json:"waits"`
	Drain         Drain    `json:"drain"`
	Observe       Observe  `json:"observe"`
	Log           Log      `json:"log"`
	Placement     bool     `json:"placement"`
	Pprof         bool     `json:"pprof"`
}

// Limits are the limits on what callers may send and receive, and on the requests of this daemon.
type Limits struct {
	BodyBytes    int             `json:"body_bytes"`
	HeaderBytes  int             `json:"header_bytes"`
	StreamTokens int             `json:"stream_tokens"`
	Queue        int             `json:"queue"` // waiting requests
	QueueWait    spanrill.Millis `json:"queue_wait_ms"`
	PerSlot      int             `json:"requests_per_slot"` // running at once for each slot of an engine's batch
}

// Waits are the timeouts for responses of upstreams.
type Waits struct {
	FirstToken spanrill.Millis `json:"first_token_ms"`
	Token      spanrill.Millis `json:"token_ms"`   // between two tokens
	Service    spanrill.Millis `json:"service_ms"` // of a call of a plain service
}

// Drain is the timing of a planned stop.
type Drain struct {
	Notice spanrill.Millis `json:"notice_ms"` // new requests are still accepted
	Finish spanrill.Millis `json:"finish_ms"` // running requests may finish
}

// Observe says how often, and by how many daemons, boxes and upstreams are observed.
type Observe struct {
	Boxes     spanrill.Millis `json:"boxes_ms"`  // interval between reads of the box list
	Status    spanrill.Millis `json:"status_ms"` // interval between polls of an upstream
	Observers int             `json:"observers"` // daemons that observe each upstream
}

// Log configures the log.
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// Default returns settings with the default of each optional field.
func Default() Settings {
	return Settings{
		Peers:         []string{},
		RoutingPolicy: "least-work",
		Limits: Limits{
			BodyBytes: 4 << 20, HeaderBytes: 16 << 10, StreamTokens: 32768,
			Queue: 1024, QueueWait: 2 * spanrill.Second, PerSlot: 4,
		},
		Waits:     Waits{FirstToken: 5 * spanrill.Second, Token: 2 * spanrill.Second, Service: 10 * spanrill.Second},
		Drain:     Drain{Notice: 3 * spanrill.Second, Finish: 5 * spanrill.Minute},
		Observe:   Observe{Boxes: spanrill.Second, Status: 500, Observers: 2},
		Placement: true,
		Log:       Log{Level: "info", Format: "json"},
	}
}

// Example returns valid settings that operators can start from.
func Example() Settings {
	s := Default()
	s.Name, s.Zone = "entry-1", "hall-un"
	s.Listen, s.AdminListen, s.PeerListen = "10.0.0.1:8080", "10.0.0.1:8081", "10.0.0.1:8082"
	s.TunnelListen = "10.0.0.1:8083"
	s.Platform = "10.0.9.1:7000"
	s.FleetSecret = "replace-this-secret"
	return s
}

// Parse validates and decodes settings. Errors name their source as file.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	if err := settingsSchema.Decode(file, data, &s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// PeerAddr returns the address at which peers reach this daemon.
func (s Settings) PeerAddr() string {
	if s.PeerAdvertise != "" {
		return s.PeerAdvertise
	}
	return s.PeerListen
}

// Load reads, validates and decodes settings from a file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// JSON returns the settings as indented JSON.
func (s Settings) JSON() ([]byte, error) {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	return append(data, '\n'), nil
}
