package gateway

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"spanrill"
)

// PartsPath is the path of the page about withheld parts of prompts on the metrics listener.
const PartsPath = "/parts"

// PartsPage is the page at PartsPath.
type PartsPage struct {
	Daemon    string         `json:"daemon"`    // that made the page
	Suspected int            `json:"suspected"` // parts that were in a crash and are not withheld
	Withheld  []WithheldPart `json:"withheld"`  // sorted by part
}

// WithheldPart is a part of prompts that is withheld.
type WithheldPart struct {
	Part        string          `json:"part"` // hash, as in log lines
	WithheldFor spanrill.Millis `json:"withheld_for_ms"`
	Account     string          `json:"account,omitempty"` // hash of the only client account whose requests crashed engines, or ""
	Crashes     []PartCrash     `json:"crashes"`           // the first one and the last ones
	Trials      int             `json:"trials"`            // scheduled trials so far
	NextTrialIn spanrill.Millis `json:"next_trial_in_ms"`  // 0 if the next request is a trial
}

// PartCrash is a crash under a request with a withheld part.
type PartCrash struct {
	Engine string          `json:"engine"` // its name, or the hash of that if it is no longer known
	Age    spanrill.Millis `json:"age_ms"`
	Trial  bool            `json:"trial"`
}

// partsPage returns the page about withheld parts.
func (g *Gateway) partsPage() *PartsPage {
	suspected, _ := g.parts.Counts()
	page := &PartsPage{Daemon: g.peers.name, Suspected: suspected, Withheld: []WithheldPart{}}
	for _, w := range g.parts.Withheld() {
		part := WithheldPart{Part: w.Part.String(), WithheldFor: w.WithheldFor, Account: w.Account, Trials: w.Trials, NextTrialIn: w.NextTrialIn}
		for _, c := range w.Crashes {
			part.Crashes = append(part.Crashes, PartCrash{Engine: g.relay.UpstreamName(c.Upstream), Age: c.Age, Trial: c.Trial})
		}
		page.Withheld = append(page.Withheld, part)
	}
	return page
}

// servePartsPage answers with the page about withheld parts.
func (g *Gateway) servePartsPage(c *fasthttp.RequestCtx) {
	body, err := json.Marshal(g.partsPage())
	if err != nil {
		c.Error(fmt.Errorf("encode page: %w", err).Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
