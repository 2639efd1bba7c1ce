package exchange

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
	"spanrill/state/routes"
)

// catchUpConfig fetches a peer's configuration if it is newer. Several peers that
// are asked at the same time have the same one, so that one fetch waits for the
// other: large messages side by side would fill a slow link.
func (e *Exchange) catchUpConfig(ctx context.Context, m peermsg.Member, revision uint64) error {
	if e.state.Config.Seen(revision) {
		return nil
	}
	if err := e.lock(ctx); err != nil {
		return err
	}
	defer e.unlock()
	if e.state.Config.Seen(revision) {
		return nil
	}
	return e.fetch(ctx, m)
}

// catchUpEntries does the same for the entries of upstreams.
func (e *Exchange) catchUpEntries(ctx context.Context, m peermsg.Member, news *peermsg.News, sent spanrill.Millis) error {
	proved := func() bool {
		return news.UpstreamsAt == 0 || e.state.Fleet.Prove(news.UpstreamsAt, news.UpstreamsChange, sent-news.UpstreamsAge)
	}
	if proved() {
		return nil
	}
	if err := e.lock(ctx); err != nil {
		return err
	}
	defer e.unlock()
	if proved() {
		return nil
	}
	return e.fetchEntries(ctx, m)
}

// lock waits until nothing large is being fetched.
func (e *Exchange) lock(ctx context.Context) error {
	select {
	case e.fetching <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait to fetch: %w", ctx.Err())
	}
}

func (e *Exchange) unlock() { <-e.fetching }

// fetchEntries takes newer entries of upstreams from a peer.
func (e *Exchange) fetchEntries(ctx context.Context, m peermsg.Member) error {
	sent := e.clock.Now()
	var r peermsg.Entries
	asked := &peermsg.AskEntries{After: e.state.Fleet.At()}
	if err := e.peers.Ask(ctx, m.PeerAddr, uint8(peermsg.KindEntries), asked, &r); err != nil {
		return err
	}
	value, err := unpack(r.Packed)
	if err != nil {
		return err
	}
	var list peermsg.EntryList
	if err := peermsg.Decode(value, &list); err != nil {
		return err
	}
	e.state.Fleet.Merge(fleet.Knowledge{
		Entries: list.Entries, At: r.At, Change: r.Change, Unreadable: list.Unreadable, After: r.After, Gone: list.Gone,
	}, sent-r.Age)
	return nil
}

// fetch takes a newer configuration from a peer.
func (e *Exchange) fetch(ctx context.Context, m peermsg.Member) error {
	var c peermsg.RouteConfig
	if err := e.peers.Ask(ctx, m.PeerAddr, uint8(peermsg.KindRouteConfig), nil, &c); err != nil {
		return err
	}
	value, err := unpack(c.Value)
	var config *spanrill.RouteConfig
	if err == nil {
		config, err = e.state.Decode(value)
	}
	if err != nil {
		events.ConfigRejected.Log(e.log, logrus.Fields{"peer": m.Name, "revision": c.Revision, "error": err})
		return err
	}
	if e.state.Config.Take(routes.New(config), value, c.Revision) {
		events.ConfigFromPeer.Log(e.log, logrus.Fields{"peer": m.Name, "revision": c.Revision, "config": config.Version})
	}
	return nil
}
