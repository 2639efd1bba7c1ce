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

// syncConfig fetches a peer's configuration if it is newer. Peers that are asked concurrently
// usually have the same one, so fetches run one at a time: several large messages at once would
// fill a slow link.
func (e *Exchange) syncConfig(ctx context.Context, m peermsg.Member, revision uint64) error {
	if e.state.Config.Handled(revision) {
		return nil
	}
	if err := e.acquireFetch(ctx); err != nil {
		return err
	}
	defer e.releaseFetch()
	if e.state.Config.Handled(revision) {
		return nil
	}
	return e.fetchConfig(ctx, m)
}

// syncEntries does the same for the entries of upstreams.
func (e *Exchange) syncEntries(ctx context.Context, m peermsg.Member, news *peermsg.News, sent spanrill.Millis) error {
	upToDate := func() bool {
		return news.UpstreamsRevision == 0 || e.state.Fleet.ConfirmUnchanged(news.UpstreamsRevision, news.UpstreamsLastChange, sent-news.UpstreamsAge)
	}
	if upToDate() {
		return nil
	}
	if err := e.acquireFetch(ctx); err != nil {
		return err
	}
	defer e.releaseFetch()
	if upToDate() {
		return nil
	}
	return e.fetchEntries(ctx, m)
}

// acquireFetch waits until no other large fetch is running.
func (e *Exchange) acquireFetch(ctx context.Context) error {
	select {
	case e.fetchSlot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for another fetch: %w", ctx.Err())
	}
}

func (e *Exchange) releaseFetch() { <-e.fetchSlot }

// fetchEntries fetches newer entries of upstreams from a peer.
func (e *Exchange) fetchEntries(ctx context.Context, m peermsg.Member) error {
	sent := e.clock.Now()
	var r peermsg.Entries
	req := &peermsg.EntriesRequest{Since: e.state.Fleet.Revision()}
	if err := e.peers.Ask(ctx, m.PeerAddr, uint8(peermsg.KindEntries), req, &r); err != nil {
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
	e.state.Fleet.Merge(fleet.Update{
		Entries: list.Entries, Revision: r.Revision, LastChange: r.LastChange, Unreadable: list.Unreadable, Since: r.Since, Removed: list.Removed,
	}, sent-r.Age)
	return nil
}

// fetchConfig fetches a newer configuration from a peer.
func (e *Exchange) fetchConfig(ctx context.Context, m peermsg.Member) error {
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
	if e.state.Config.Update(routes.New(config), value, c.Revision) {
		events.ConfigFromPeer.Log(e.log, logrus.Fields{"peer": m.Name, "revision": c.Revision, "config": config.Version})
	}
	return nil
}
