package gateway

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// notReady returns why the daemon should get no requests, or nil.
func (g *Gateway) notReady() error {
	switch {
	case g.draining.Load():
		return errors.New("draining")
	case g.config.Table() == nil:
		return errors.New("no configuration yet")
	case !g.isFresh():
		return fmt.Errorf("configuration was last proved fresh %d ms ago", g.config.Age())
	}
	select {
	case <-g.fleet.Seen():
		return nil
	default:
		return errors.New("no upstreams seen yet")
	}
}

// serveReady answers the platform's balancer.
func (g *Gateway) serveReady(ctx context.Context) error {
	return serveHTTP(ctx, g.ready, func(c *fasthttp.RequestCtx) {
		if string(c.Path()) != g.adapter.ReadyPath {
			c.Error("no such path", fasthttp.StatusNotFound)
			return
		}
		if err := g.notReady(); err != nil {
			c.Error(err.Error(), fasthttp.StatusServiceUnavailable)
			return
		}
		c.SetBodyString("ready\n")
	})
}

// serveMetrics answers scrapers.
func (g *Gateway) serveMetrics(ctx context.Context) error {
	if g.metrics == nil {
		return nil
	}
	return serveHTTP(ctx, g.metrics, func(c *fasthttp.RequestCtx) {
		c.SetContentType("text/plain; version=0.0.4")
		g.meters.Write(c)
	})
}

func serveHTTP(ctx context.Context, ln net.Listener, handler fasthttp.RequestHandler) error {
	s := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, Logger: log.New(io.Discard, "", 0)}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	if err := s.Serve(ln); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve %s: %w", ln.Addr(), err)
	}
	return nil
}
