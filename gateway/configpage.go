package gateway

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"spanrill"
)

// ConfigPath is the path of the page about the configuration on the metrics listener.
const ConfigPath = "/config"

// ConfigPage is the page at ConfigPath.
type ConfigPage struct {
	Daemon       string          `json:"daemon"` // that made the page
	Version      int64           `json:"version"`
	Revision     uint64          `json:"revision"`       // of the store, with its era
	Proved       bool            `json:"proved"`         // whether the configuration was ever proved to be the newest
	ProofAge     spanrill.Millis `json:"proof_age_ms"`   // since it was last proved, if it ever was
	MaxChangeAge spanrill.Millis `json:"apply_ms"`       // with an older proof, the daemon asks for a newer one before it decides
	MaxKeyAge    spanrill.Millis `json:"max_key_age_ms"` // with an older proof, requests with a key are refused
	StoreAnswers bool            `json:"store_answers"`  // whether the store has recently answered any daemon
	StoreSilent  bool            `json:"store_silent"`   // whether it does not answer this one
}

// configPage returns the page about the configuration.
func (g *Gateway) configPage() *ConfigPage {
	config := g.config.Snapshot()
	page := &ConfigPage{
		Daemon: g.peers.name, Revision: config.Revision(), MaxChangeAge: g.maxChangeAge(), MaxKeyAge: g.maxKeyAge(),
		StoreAnswers: g.storeAnsweredLately(), StoreSilent: g.storeSilent(),
	}
	if table := config.Table(); table != nil {
		page.Version = table.Version()
	}
	if at := config.ConfirmedAt(); at != spanrill.Never {
		page.Proved, page.ProofAge = true, g.clock.Now()-at
	}
	return page
}

// serveConfigPage answers with the page about the configuration.
func (g *Gateway) serveConfigPage(c *fasthttp.RequestCtx) {
	body, err := json.Marshal(g.configPage())
	if err != nil {
		c.Error(fmt.Errorf("encode page: %w", err).Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
