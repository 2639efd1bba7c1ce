package spanrillcmd

import (
	"context"
	"fmt"
	"io"
	"sort"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/coordination/lease"
	"spanrill/gateway"
	"spanrill/platform"
	"spanrill/transport/httpcall"
)

// placementLease is the key of the lease whose holder orders engines to load layers.
const placementLease = "leases/placement"

// gatewayStatus is the state of a fleet of gateways that the users' platform stores.
type gatewayStatus struct {
	Version   int64                  `json:"config_version"`
	Revision  uint64                 `json:"config_revision"` // of the object in the store
	Routes    int                    `json:"routes"`
	Accounts  int                    `json:"accounts"`
	Lease     lease.State            `json:"lease"` // of placement; the zero value if it was never taken
	Upstreams []spanrill.EngineEntry `json:"upstreams"`
	Skipped   []string               `json:"skipped"`          // names of entries that cannot be decoded, each with the error
	Config    *gateway.ConfigPage    `json:"config,omitempty"` // as the gateway tells that was named, or nil
	Paths     *gateway.PathsPage     `json:"paths,omitempty"`  // likewise
	Parts     *gateway.PartsPage     `json:"parts,omitempty"`  // likewise
}

// readGatewayStatus reads the configuration, the placement lease and the upstreams from the store.
// Errors wrap spanrill.ErrUnavailable if the store does not answer.
func readGatewayStatus(ctx context.Context, store *platform.Store) (*gatewayStatus, error) {
	s := &gatewayStatus{Skipped: []string{}}
	configs, _, err := store.Collection(platform.KindConfig).List(ctx)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	for _, item := range configs {
		config, err := platform.DecodeConfig(item.Value)
		if err != nil {
			return nil, fmt.Errorf("decode configuration %s: %w", item.Name, err)
		}
		s.Version, s.Revision = config.Version, item.Revision
		s.Routes, s.Accounts = len(config.Routes), len(config.Accounts)
	}
	if s.Lease, err = readLease(ctx, store); err != nil {
		return nil, err
	}
	items, _, err := store.Collection(platform.KindEngines).List(ctx)
	if err != nil {
		return nil, fmt.Errorf("read upstreams: %w", err)
	}
	for _, item := range items {
		entry, err := platform.DecodeEngine(item)
		if err != nil {
			s.Skipped = append(s.Skipped, fmt.Sprintf("%s: %v", item.Name, err))
			continue
		}
		s.Upstreams = append(s.Upstreams, entry)
	}
	sort.Slice(s.Upstreams, func(i, j int) bool { return upstreamLess(&s.Upstreams[i], &s.Upstreams[j]) })
	return s, nil
}

// readLease returns the state of the placement lease, or the zero value if it was never taken.
func readLease(ctx context.Context, store *platform.Store) (lease.State, error) {
	obj, err := store.Get(ctx, placementLease)
	if errors.Is(err, spanrill.ErrNotFound) {
		return lease.State{}, nil
	}
	if err != nil {
		return lease.State{}, fmt.Errorf("read placement lease: %w", err)
	}
	return lease.Decode(obj.Value)
}

// upstreamLess orders upstreams by service, availability zone, first layer and ID.
func upstreamLess(a, b *spanrill.EngineEntry) bool {
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	if a.Zone != b.Zone {
		return a.Zone < b.Zone
	}
	if a.Layers.From != b.Layers.From {
		return a.Layers.From < b.Layers.From
	}
	return a.ID < b.ID
}

func (s *gatewayStatus) print(w io.Writer) {
	fmt.Fprintf(w, "configuration %d (revision %d of the store): %d routes, %d accounts\n", s.Version, s.Revision, s.Routes, s.Accounts)
	holder := s.Lease.Holder
	if holder == "" {
		holder = "nobody"
	}
	fmt.Fprintf(w, "lease of placement: %s, term %d\n\n", holder, s.Lease.Term)
	fmt.Fprintf(w, "%-14s %-14s %-14s %-10s %-10s %s\n", "UPSTREAM", "SERVICE", "ZONE", "KIND", "LAYERS", "")
	for _, u := range s.Upstreams {
		state := ""
		if u.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(w, "%-14s %-14s %-14s %-10s %-10s %s\n", u.ID, u.Service, u.Zone, u.Kind, formatLayers(u.Layers), state)
	}
	for _, skipped := range s.Skipped {
		fmt.Fprintf(w, "not readable: %s\n", skipped)
	}
}

func formatLayers(l spanrill.LayerRange) string {
	if l.Len() == 0 {
		return "none"
	}
	return fmt.Sprintf("%d-%d", l.From, l.To)
}

// printGatewayConfig prints by which configuration a daemon decides, and how recent its proof is.
func printGatewayConfig(w io.Writer, page *gateway.ConfigPage) {
	proof := "never proved to be the newest"
	if page.Proved {
		proof = fmt.Sprintf("proved to be the newest %s ago", formatSeconds(page.ProofAge))
	}
	fmt.Fprintf(w, "\n%s decides by configuration %d (revision %d), %s; changes within %s, withdrawn keys within %s\n",
		page.Daemon, page.Version, page.Revision, proof, formatSeconds(page.MaxChangeAge), formatSeconds(page.MaxKeyAge))
	switch {
	case page.StoreSilent && page.StoreAnswers:
		fmt.Fprintln(w, "the store answers other daemons, but not this one")
	case page.StoreSilent:
		fmt.Fprintln(w, "the store answers no daemon")
	}
}

// runGatewayStatus prints the status of the gateways on the users' platform.
func runGatewayStatus(ctx context.Context, c *cli.Command) error {
	addr := c.String(flagPlatform)
	if addr == "" {
		return cli.Exit("name the platform's store with --platform ADDR or SPANRILL_PLATFORM", exitBadInput)
	}
	s, err := readGatewayStatus(ctx, platform.NewStore(addr, httpcall.New()))
	if err != nil {
		return err
	}
	if named := c.String(flagGateway); named != "" {
		s.Config = &gateway.ConfigPage{}
		if err := callAdmin(ctx, named, fasthttp.MethodGet, gateway.ConfigPath, s.Config); err != nil {
			return err
		}
		s.Paths = &gateway.PathsPage{}
		if err := callAdmin(ctx, named, fasthttp.MethodGet, gateway.PathsPath, s.Paths); err != nil {
			return err
		}
		s.Parts = &gateway.PartsPage{}
		if err := callAdmin(ctx, named, fasthttp.MethodGet, gateway.PartsPath, s.Parts); err != nil {
			return err
		}
	}
	if c.Bool(flagJSON) {
		return printJSON(c, s)
	}
	s.print(c.Root().Writer)
	if s.Paths != nil {
		printGatewayConfig(c.Root().Writer, s.Config)
		printGatewayPaths(c.Root().Writer, s.Paths)
		printGatewayParts(c.Root().Writer, s.Parts)
	}
	return nil
}
