package spanrillcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"spanrill"
	"spanrill/coordination/layout"
	"spanrill/platform"
	"spanrill/transport/httpcall"
)

func planCommand() *cli.Command {
	return &cli.Command{
		Name: "plan", Usage: "print the chains of engines on the users' platform, their throughput, and the effect of losing an engine",
		Description: "spanrill --platform 10.200.1.7:8107 plan\n\n" +
			"Reads the configuration and the engines from the platform's store and changes nothing.\n" +
			"For a service whose engines hold no layers yet, the layout that would be planned is shown.",
		Action: runPlan,
	}
}

// servicePlan describes the layout of one service's engines.
type servicePlan struct {
	Service string             `json:"service"`
	Planned bool               `json:"planned"` // no engine holds layers yet; the layout is the one that would be planned
	Engines int                `json:"engines"`
	Rate    float64            `json:"requests_per_second"`
	Chains  []layout.ChainInfo `json:"chains"`
	Losses  []layout.Loss      `json:"losses"`
}

func runPlan(ctx context.Context, c *cli.Command) error {
	addr := c.String(flagPlatform)
	if addr == "" {
		return cli.Exit("name the platform's store with --platform ADDR or SPANRILL_PLATFORM", exitBadInput)
	}
	plans, err := readPlans(ctx, platform.NewStore(addr, httpcall.New()))
	if err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		return json.NewEncoder(c.Root().Writer).Encode(plans)
	}
	for _, p := range plans {
		p.print(c.Root().Writer)
	}
	return nil
}

// readPlans returns a plan for each service of the stored configuration that has a model.
func readPlans(ctx context.Context, store *platform.Store) ([]servicePlan, error) {
	configs, _, err := store.Collection(platform.KindConfig).List(ctx)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	items, _, err := store.Collection(platform.KindEngines).List(ctx)
	if err != nil {
		return nil, fmt.Errorf("read engines: %w", err)
	}
	plans := []servicePlan{}
	for _, item := range configs {
		config, err := platform.DecodeConfig(item.Value)
		if err != nil {
			return nil, err
		}
		for _, s := range config.Services {
			if s.Model == nil {
				continue
			}
			p, err := planService(s, items)
			if err != nil {
				return nil, err
			}
			plans = append(plans, p)
		}
	}
	return plans, nil
}

// planService describes the chains that the service's engines among items form. If none of them
// holds layers, it describes the chains that would be planned.
func planService(s spanrill.ServiceInfo, items []spanrill.Item) (servicePlan, error) {
	p := servicePlan{Service: s.Name, Planned: true}
	var engines []layout.Engine
	for _, item := range items {
		e, err := platform.DecodeEngine(item)
		if err != nil {
			return p, err
		}
		if e.Service != s.Name {
			continue
		}
		p.Planned = p.Planned && e.Layers.Len() == 0
		engines = append(engines, layout.Engine{ID: e.ID, Zone: e.Zone, Kind: e.Kind, Layers: e.Layers, Leaving: e.Leaving})
	}
	if p.Planned {
		engines = layout.Apply(engines, layout.Plan(s.Model, engines))
	}
	p.Engines, p.Rate = len(engines), layout.Rate(s.Model, engines)
	p.Chains, p.Losses = layout.Describe(s.Model, engines), layout.Losses(s.Model, engines)
	return p, nil
}

func (p servicePlan) print(w io.Writer) {
	origin := "as engines hold it"
	if p.Planned {
		origin = "as it would be planned"
	}
	fmt.Fprintf(w, "service %s, %d engines, %s: %.1f usual requests a second\n", p.Service, p.Engines, origin, p.Rate)
	for i, c := range p.Chains {
		fmt.Fprintf(w, "  chain %d in %s: %d engines, %d crossings, room for %.0f tokens, %.1f requests a second, missing %v\n",
			i+1, c.Zone, len(c.Engines), c.Crossings, c.CapacityTokens, c.Rate, c.Holes)
		for _, e := range c.Engines {
			fmt.Fprintf(w, "    %-14s %-8s %-12s %d to %d\n", e.ID, e.Kind, e.Zone, e.Layers.From, e.Layers.To)
		}
	}
	for _, l := range p.Losses {
		fmt.Fprintf(w, "  without %-14s %.1f at once, %.1f after %d loads\n", l.Engine, l.RateAfterLoss, l.RateRepaired, l.Loads)
	}
}
