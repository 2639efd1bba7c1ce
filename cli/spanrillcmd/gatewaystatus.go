package spanrillcmd

import (
	"context"
	"fmt"
	"io"
	"sort"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"spanrill"
	"spanrill/coordination/lease"
	"spanrill/platform"
	"spanrill/transport/httpcall"
)

// placementLease is the key of the lease under which engines are ordered.
const placementLease = "leases/placement"

// gatewayStatus is what the users' platform holds of a fleet of gateways.
type gatewayStatus struct {
	Version   int64                  `json:"config_version"`
	Revision  uint64                 `json:"config_revision"` // of the store
	Routes    int                    `json:"routes"`
	Accounts  int                    `json:"accounts"`
	Lease     lease.State            `json:"lease"` // of placement; the zero value if nobody took it
	Upstreams []spanrill.EngineEntry `json:"upstreams"`
	Skipped   []string               `json:"skipped"` // upstreams whose entries cannot be read
}

// readGatewayStatus reads configuration, lease and upstreams. Errors wrap
// spanrill.ErrUnavailable if the store does not answer.
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
	sort.Slice(s.Upstreams, func(i, k int) bool { return less(&s.Upstreams[i], &s.Upstreams[k]) })
	return s, nil
}

func readLease(ctx context.Context, store *platform.Store) (lease.State, error) {
	obj, err := store.Get(ctx, placementLease)
	if errors.Is(err, spanrill.ErrNotFound) {
		return lease.State{}, nil
	}
	if err != nil {
		return lease.State{}, fmt.Errorf("read lease of placement: %w", err)
	}
	return lease.Decode(obj.Value)
}

// less orders upstreams by service, availability zone and first layer.
func less(a, b *spanrill.EngineEntry) bool {
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
		note := ""
		if u.Leaving {
			note = "leaving"
		}
		fmt.Fprintf(w, "%-14s %-14s %-14s %-10s %-10s %s\n", u.ID, u.Service, u.Zone, u.Kind, layersText(u.Layers), note)
	}
	for _, name := range s.Skipped {
		fmt.Fprintf(w, "not readable: %s\n", name)
	}
}

func layersText(l spanrill.LayerRange) string {
	if l.Len() == 0 {
		return "none"
	}
	return fmt.Sprintf("%d-%d", l.From, l.To)
}

// runGatewayStatus shows the status of gateways on the users' platform.
func runGatewayStatus(ctx context.Context, c *cli.Command) error {
	addr := c.String(flagPlatform)
	if addr == "" {
		return cli.Exit("name the platform's store with --platform ADDR or SPANRILL_PLATFORM", exitBadInput)
	}
	s, err := readGatewayStatus(ctx, platform.NewStore(addr, httpcall.New()))
	if err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		return printJSON(c, s)
	}
	s.print(c.Root().Writer)
	return nil
}
