package gateway

import (
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/reach"
)

// Option changes a default of New.
type Option func(*Gateway)

// WithLogger sets where events go.
func WithLogger(log *logrus.Logger) Option {
	return func(g *Gateway) { g.log = logrus.NewEntry(log) }
}

// WithClock sets the gateway's clock.
func WithClock(c spanrill.Clock) Option {
	return func(g *Gateway) { g.clock = c }
}

// WithUpstreamDial sets the function that opens connections to upstreams.
func WithUpstreamDial(dial reach.DialFunc) Option {
	return func(g *Gateway) { g.dialUpstream = dial }
}

// WithDroppedLines sets the source of the number of dropped log lines.
func WithDroppedLines(dropped func() uint64) Option {
	return func(g *Gateway) { g.droppedLines = dropped }
}
