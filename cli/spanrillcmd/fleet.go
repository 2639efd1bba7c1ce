package spanrillcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/coordination/routing"
	"spanrill/daemon"
	"spanrill/settings"
	"spanrill/transport/httpcall"
)

// boxStatus is the status of the daemon on one entry box, or the error with which reading it failed.
type boxStatus struct {
	Box    string         `json:"box"`
	Admin  string         `json:"admin_addr"`
	Error  string         `json:"error,omitempty"`
	Status *daemon.Status `json:"status,omitempty"`
}

const adminTimeout = 2 * time.Second

// callAdmin calls a daemon's admin API and decodes the JSON answer into result, unless result is
// nil. Its error wraps spanrill.ErrUnavailable if the daemon cannot be reached.
func callAdmin(ctx context.Context, addr, method, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	client := httpcall.New()
	defer client.Close()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	resp, err := client.Do(ctx, addr, req, httpcall.ReuseNever)
	if err != nil {
		return fmt.Errorf("call daemon at %s: %w: %v", addr, spanrill.ErrUnavailable, err)
	}
	status := resp.Status()
	body, err := resp.ReadAll(maxAdminAnswerBytes)
	if err != nil {
		return fmt.Errorf("call daemon at %s: %w", addr, err)
	}
	if status >= fasthttp.StatusBadRequest {
		return errors.Errorf("daemon at %s answered %d: %s", addr, status, strings.TrimSpace(string(body)))
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return fmt.Errorf("decode answer of %s: %w", addr, err)
	}
	return nil
}

const maxAdminAnswerBytes = 64 << 20

// entryBoxes returns the entry boxes of the box list, those that are leaving included.
func entryBoxes(ctx context.Context, c *cli.Command) ([]spanrill.Box, error) {
	client, err := platformClient(c)
	if err != nil {
		return nil, err
	}
	boxes, err := client.Boxes(ctx)
	if err != nil {
		return nil, fmt.Errorf("find entry boxes: %w", err)
	}
	var entries []spanrill.Box
	for _, b := range boxes {
		if b.Role == spanrill.RoleEntry {
			entries = append(entries, b)
		}
	}
	return entries, nil
}

// fleetStatus reads the status of the daemon on each box, one after another.
func fleetStatus(ctx context.Context, boxes []spanrill.Box) []boxStatus {
	statuses := make([]boxStatus, 0, len(boxes))
	for _, b := range boxes {
		s := boxStatus{Box: b.Name, Admin: b.AdminAddr, Status: &daemon.Status{}}
		if err := callAdmin(ctx, b.AdminAddr, fasthttp.MethodGet, "/status", s.Status); err != nil {
			s.Error, s.Status = err.Error(), nil
		}
		statuses = append(statuses, s)
	}
	return statuses
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the boxes, the revision in force on each, and the upstreams",
		Description: "spanrill status\nspanrill --json status\n" +
			"spanrill --platform 10.200.1.7:8107 status --gateways\n\n" +
			"spanrill --platform 10.200.1.7:8107 status --gateways --gateway 10.0.0.1:9464\n\n" +
			"With --gateways it shows what the users' platform stores about a fleet of gateways:\n" +
			"the configuration, the holder of the lease of placement, and the upstreams. With --gateway\n" +
			"it also shows which gateways reach no upstream themselves, as the one named has heard.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagGateways, Usage: "read the status of gateways from the users' platform"},
			&cli.StringFlag{Name: flagGateway, Usage: "ask the gateway whose metrics address is `ADDR` for lost network paths and withheld parts of prompts"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Bool(flagGateways) {
				return runGatewayStatus(ctx, c)
			}
			boxes, err := entryBoxes(ctx, c)
			if err != nil {
				return err
			}
			statuses := fleetStatus(ctx, boxes)
			if c.Bool(flagJSON) {
				return printJSON(c, statuses)
			}
			showStatus(c, statuses)
			return nil
		},
	}
}

// showStatus prints a row for each box, and the upstreams as the last daemon that answered knows them.
func showStatus(c *cli.Command, statuses []boxStatus) {
	printf(c, "%-16s %-14s %-8s %9s %9s  %s\n", "BOX", "ZONE", "READY", "REVISION", "IN FLIGHT", "")
	var last *daemon.Status
	for _, b := range statuses {
		if b.Status == nil {
			printf(c, "%-16s %s\n", b.Box, b.Error)
			continue
		}
		s := b.Status
		printf(c, "%-16s %-14s %-8v %9d %9d  %s\n", b.Box, s.Zone, s.Ready, s.Revision, s.InFlight, s.NotReadyReason)
		last = s
	}
	if last != nil {
		showUpstreams(c, last)
	}
	for _, b := range statuses {
		if b.Status != nil {
			showLostPaths(c.Root().Writer, b.Box, b.Status.LostPaths)
		}
	}
}

func showUpstreams(c *cli.Command, s *daemon.Status) {
	printf(c, "\n%-16s %-14s %-24s %8s %6s  %s\n", "UPSTREAM", "ZONE", "HOLDS", "LOAD", "SLOW", "")
	for _, u := range s.Upstreams {
		holds := u.Service
		if holds == "" {
			holds = fmt.Sprintf("%s %d-%d", u.Model, u.Layers.From, u.Layers.To)
		}
		printf(c, "%-16s %-14s %-24s %8.1f %6.1f  %s\n", u.Name, u.Zone, holds, u.Load, u.Slowdown, upstreamState(u))
	}
}

func upstreamState(u daemon.UpstreamStatus) string {
	switch {
	case u.Leaving:
		return "leaving"
	case u.Ejected:
		return "ejected"
	}
	return ""
}

// inForcePollInterval is the time between two checks of the revisions in force.
const inForcePollInterval = 100 * time.Millisecond

// waitInForce waits until every entry box has the revision in force. Its errors have the exit
// code exitNotInForce.
func waitInForce(ctx context.Context, c *cli.Command, revision uint64) error {
	for {
		boxes, err := entryBoxes(ctx, c)
		if err != nil {
			return cli.Exit(fmt.Sprintf("accepted, but the box list cannot be read: %v", err), exitNotInForce)
		}
		lagging := boxesBehind(ctx, boxes, revision)
		if len(lagging) == 0 {
			printf(c, "in force on %d boxes\n", len(boxes))
			return nil
		}
		select {
		case <-ctx.Done():
			return cli.Exit("accepted, but not in force on: "+strings.Join(lagging, ", "), exitNotInForce)
		case <-time.After(inForcePollInterval):
		}
	}
}

// boxesBehind returns the boxes that do not answer or have an older revision in force, each followed
// by which of the two it is.
func boxesBehind(ctx context.Context, boxes []spanrill.Box, revision uint64) []string {
	var lagging []string
	for _, s := range fleetStatus(ctx, boxes) {
		switch {
		case s.Status == nil:
			lagging = append(lagging, s.Box+" (no answer)")
		case s.Status.Revision < revision:
			lagging = append(lagging, fmt.Sprintf("%s (revision %d)", s.Box, s.Status.Revision))
		}
	}
	return lagging
}

// adminFlag returns the flag for the admin address of one daemon.
func adminFlag() cli.Flag {
	return &cli.StringFlag{Name: "admin", Required: true, Usage: "the daemon's admin `ADDR`"}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show which chain a request of an account would take, and why",
		Description: "spanrill explain --admin 10.0.0.1:8081 --account rucher --model apiary-advice",
		Flags: []cli.Flag{
			adminFlag(),
			&cli.StringFlag{Name: "account", Required: true, Usage: "the client account's `NAME`"},
			&cli.StringFlag{Name: "model", Required: true, Usage: "the model's `NAME`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			query := url.Values{"account": {c.String("account")}, "model": {c.String("model")}}
			var e routing.Explanation
			if err := callAdmin(ctx, c.String("admin"), fasthttp.MethodGet, "/explain?"+query.Encode(), &e); err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				return printJSON(c, e)
			}
			showExplanation(c, e)
			return nil
		},
	}
}

func showExplanation(c *cli.Command, e routing.Explanation) {
	printf(c, "policy %s, chain %s\n", e.Policy, strings.Join(e.Chain, ","))
	for i, stage := range e.Stages {
		printf(c, "\nstage %d\n%-16s %-14s %-9s %8s %10s %6s %8s %10s  %s\n", i+1,
			"ENGINE", "ZONE", "LAYERS", "LOAD", "US/TOKEN", "SLOW", "LINK US", "SCORE", "")
		for _, candidate := range stage {
			layers := fmt.Sprintf("%d-%d", candidate.From, candidate.To)
			printf(c, "%-16s %-14s %-9s %8.1f %10.1f %6.1f %8d %10.1f  %s\n",
				candidate.Engine, candidate.Zone, layers, candidate.Load, candidate.MicrosPerToken, candidate.Slowdown, candidate.LinkMicros, candidate.Score, candidate.WhyNot)
		}
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "start a graceful shutdown of one daemon",
		Description: "spanrill drain --admin 10.0.0.1:8081",
		Flags:       []cli.Flag{adminFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := callAdmin(ctx, c.String("admin"), fasthttp.MethodPost, "/drain", nil); err != nil {
				return err
			}
			printf(c, "draining\n")
			return nil
		},
	}
}

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "settings of spanrilld",
		Commands: []*cli.Command{
			{
				Name: "example", Usage: "print example settings",
				Action: func(_ context.Context, c *cli.Command) error {
					data, err := settings.Example().JSON()
					if err != nil {
						return err
					}
					printf(c, "%s", data)
					return nil
				},
			},
			{
				Name: "schema", Usage: "print the JSON schema of settings",
				Action: func(_ context.Context, c *cli.Command) error {
					printf(c, "%s", settings.Schema().Raw())
					return nil
				},
			},
		},
	}
}
