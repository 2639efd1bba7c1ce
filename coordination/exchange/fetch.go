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
func (e *Exchange) syncConfig(ctx context.Context, member peermsg.Member, revision uint64) error {
	if e.state.Config.Handled(revision) {
		return nil
	}
	e.state.Config.RecordKnown(revision)
	if err := e.acquireFetch(ctx); err != nil {
		return err
	}
	defer e.releaseFetch()
	if e.state.Config.Handled(revision) {
		return nil
	}
	return e.fetchConfig(ctx, member)
}

// syncEntries fetches a peer's entries of upstreams if they are newer, also one fetch at a time.
// sentAt is when the request for the news was sent.
func (e *Exchange) syncEntries(ctx context.Context, member peermsg.Member, news *peermsg.News, sentAt spanrill.Millis) error {
	upToDate := func() bool {
		return news.UpstreamsRevision == 0 || e.state.Fleet.ConfirmUnchanged(news.UpstreamsRevision, news.UpstreamsLastChange, sentAt-news.UpstreamsAge)
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
	return e.fetchEntries(ctx, member)
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

// fetchEntries fetches from a peer the entries of upstreams that have changed since those known
// here, or all of them.
func (e *Exchange) fetchEntries(ctx context.Context, member peermsg.Member) error {
	sentAt := e.clock.Now()
	var reply peermsg.Entries
	req := &peermsg.EntriesRequest{Since: e.state.Fleet.Revision()}
	if err := e.peers.Request(ctx, member.PeerAddr, uint8(peermsg.KindEntries), req, &reply); err != nil {
		return err
	}
	value, err := unpack(reply.Packed)
	if err != nil {
		return err
	}
	var list peermsg.EntryList
	if err := peermsg.Decode(value, &list); err != nil {
		return err
	}
	e.state.Fleet.Merge(fleet.Update{
		Entries: list.Entries, Revision: reply.Revision, LastChange: reply.LastChange, Unreadable: list.Unreadable, Since: reply.Since, Removed: list.Removed,
	}, sentAt-reply.Age)
	return nil
}

// fetchConfig fetches a newer configuration from a peer.
func (e *Exchange) fetchConfig(ctx context.Context, member peermsg.Member) error {
	sentAt := e.clock.Now()
	var reply peermsg.RouteConfig
	if err := e.peers.Request(ctx, member.PeerAddr, uint8(peermsg.KindRouteConfig), nil, &reply); err != nil {
		return err
	}
	value, err := unpack(reply.Value)
	var config *spanrill.RouteConfig
	if err == nil {
		config, err = e.state.Decode(value)
	}
	if err != nil {
		events.ConfigRejected.Log(e.log, logrus.Fields{"peer": member.Name, "revision": reply.Revision, "error": err})
		return err
	}
	knownFor := e.state.Config.NewerKnownFor()
	if e.state.Config.Update(routes.New(config), value, reply.Revision) {
		events.ConfigFromPeer.Log(e.log, logrus.Fields{"peer": member.Name, "revision": reply.Revision, "config": config.Version, "known_ms": knownFor})
	} else if known := e.state.Config.Revision(); reply.Revision > known {
		events.ConfigIgnored.Log(e.log, logrus.Fields{"peer": member.Name, "revision": reply.Revision, "config": config.Version, "known": known})
	}
	if reply.Confirmed {
		e.state.Config.ConfirmUnchanged(reply.Revision, sentAt-reply.Age)
	}
	return nil
}
