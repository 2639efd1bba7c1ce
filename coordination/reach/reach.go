// Package reach opens the connections of a daemon to upstreams and keeps track of which upstreams
// the daemon cannot connect to.
//
// # Usage
//
//	d := reach.New(serviceOf, clock, log)
//	conn, err := d.DialContext(ctx, "tcp", addr)
package reach

import (
	"context"
	"fmt"
	"net"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/meter"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer opens connections to upstreams.
type Dialer struct {
	serviceOf func(addr string) string
	clock     spanrill.Clock
	meters    *meter.Meters
	direct    DialFunc
	paths     *paths
}

// Option changes a default of New.
type Option func(*Dialer)

// WithDirect sets the function that opens a connection over this daemon's own network path.
func WithDirect(dial DialFunc) Option {
	return func(d *Dialer) { d.direct = dial }
}

// WithMeters sets the counters.
func WithMeters(m *meter.Meters) Option {
	return func(d *Dialer) { d.meters = m }
}

// New returns a Dialer. serviceOf returns the service of the upstream at an address, or "" if there
// is no upstream at the address.
func New(serviceOf func(addr string) string, clock spanrill.Clock, log logrus.FieldLogger, opts ...Option) *Dialer {
	d := &Dialer{
		serviceOf: serviceOf, clock: clock, meters: meter.New(), direct: (&net.Dialer{}).DialContext,
		paths: newPaths(clock, log),
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// DialContext opens a connection to an address and records the result if an upstream has the address.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := d.direct(ctx, network, addr)
	if service := d.serviceOf(addr); service != "" {
		d.record(ctx, service, addr, err)
	}
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return conn, nil
}

// record records the result of a connection attempt. An attempt that its caller has given up, or that
// failed for lack of local resources, says nothing about the path.
func (d *Dialer) record(ctx context.Context, service, addr string, err error) {
	switch {
	case err == nil:
		d.paths.recordConnected(service, addr)
	case spanrill.IsLocalResourceError(err), ctx.Err() == context.Canceled:
	default:
		d.meters.CountConnectFailure(spanrill.IsConnectionRefused(err))
		d.paths.recordFailed(service, addr, err)
	}
}
