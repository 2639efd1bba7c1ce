package gateway

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/events"
	"spanrill/transport/callerhttp"
)

// readyError returns why the daemon should get no requests, or nil.
func (g *Gateway) readyError() error {
	if g.draining.Load() {
		return errors.New("draining")
	}
	if err := g.listener.Err(); err != nil {
		return fmt.Errorf("connections of callers are not accepted: %w", err)
	}
	switch {
	case g.config.Table() == nil:
		return errors.New("no configuration yet")
	case g.config.ConfirmedAt() == spanrill.Never:
		return errors.New("configuration not confirmed yet")
	case !g.isKeyFresh():
		return fmt.Errorf("configuration was last confirmed %d ms ago", g.config.Age())
	}
	select {
	case <-g.fleet.Ready():
		return nil
	default:
		return errors.New("no upstreams seen yet")
	}
}

// logAccepting logs when callers' new connections can no longer be accepted, and when they can be
// again.
func (g *Gateway) logAccepting() {
	err := g.listener.Err()
	if g.draining.Load() || errors.Is(err, callerhttp.ErrNotAccepting) || g.wasAccepting.Swap(err == nil) == (err == nil) {
		return
	}
	if err != nil {
		events.AcceptFailed.Log(g.log, logrus.Fields{"error": err, "connections": g.callers.OpenConnections()})
		return
	}
	events.AcceptRecovered.Log(g.log, logrus.Fields{"connections": g.callers.OpenConnections()})
}

// serveCallers serves callers' connections. It returns an error if it ends before a stop.
func (g *Gateway) serveCallers(context.Context) error {
	err := g.callers.Serve(g.listener)
	if err == nil && !g.draining.Load() {
		return fmt.Errorf("connections of callers are no longer accepted: %w", g.listener.Err())
	}
	return err
}

// serveReady serves readiness checks of the platform's load balancer.
func (g *Gateway) serveReady(ctx context.Context) error {
	return serveHTTP(ctx, g.readyListener, func(c *fasthttp.RequestCtx) {
		if string(c.Path()) != g.adapter.ReadyPath {
			c.Error("no such path", fasthttp.StatusNotFound)
			return
		}
		if err := g.readyError(); err != nil {
			c.Error(err.Error(), fasthttp.StatusServiceUnavailable)
			return
		}
		c.SetBodyString("ready\n")
	})
}

// serveMetrics serves metrics to scrapers, and the states of divided room, of the configuration, of network
// paths and of withheld parts of prompts to operators.
func (g *Gateway) serveMetrics(ctx context.Context) error {
	if g.metricsListener == nil {
		return nil
	}
	return serveHTTP(ctx, g.metricsListener, func(c *fasthttp.RequestCtx) {
		switch string(c.Path()) {
		case RoomPath:
			g.serveRoomPage(ctx, c)
			return
		case ConfigPath:
			g.serveConfigPage(c)
			return
		case PathsPath:
			g.servePathsPage(c)
			return
		case PartsPath:
			g.servePartsPage(c)
			return
		}
		c.SetContentType("text/plain; version=0.0.4")
		g.meters.Write(c)
	})
}

func serveHTTP(ctx context.Context, ln net.Listener, handler fasthttp.RequestHandler) error {
	s := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, Logger: log.New(io.Discard, "", 0)}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	err := s.Serve(ln)
	if ctx.Err() != nil {
		return nil
	}
	if err == nil {
		err = net.ErrClosed
	}
	return fmt.Errorf("serve %s: %w", ln.Addr(), err)
}
