package gateway

import (
	"slices"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/state/routes"
)

// configSink applies changes of the collection that holds the configuration.
type configSink struct{ g *Gateway }

// HandleList applies the configuration if it is among the items. sentAt is when the listing was
// requested.
func (s configSink) HandleList(items []spanrill.Item, _ uint64, sentAt spanrill.Millis) {
	for _, item := range items {
		if item.Name != s.g.adapter.ConfigName {
			continue
		}
		if known := s.g.config.Revision(); item.Revision < known {
			events.ListOutdated.Log(s.g.log, logrus.Fields{"collection": "configuration", "revision": item.Revision, "known": known})
		}
		s.apply(item)
		s.g.config.ConfirmUnchanged(item.Revision, sentAt)
	}
}

// HandleChanges applies the newest configuration among the changes up to a revision of the store, and
// confirms that it, or the current one if there is none, was the newest at sentAt, when the changes were
// requested. An answer from before the current configuration, or of another era, confirms nothing.
func (s configSink) HandleChanges(changes []spanrill.Change, revision uint64, sentAt spanrill.Millis) {
	for _, c := range slices.Backward(changes) {
		if c.Name == s.g.adapter.ConfigName && !c.Deleted && s.apply(c.Item) {
			break
		}
	}
	current := s.g.config.Revision()
	if revision >= current && spanrill.EraOf(revision) == spanrill.EraOf(current) {
		s.g.config.ConfirmUnchanged(current, sentAt)
	}
}

// apply puts a configuration in force if it is newer, and reports whether it could be read.
func (s configSink) apply(item spanrill.Item) bool {
	g := s.g
	if item.Revision <= g.config.Revision() {
		return true
	}
	g.config.RecordKnown(item.Revision)
	config, err := g.adapter.DecodeConfig(item.Value)
	if err != nil {
		g.config.RecordUnusable(item.Revision)
		events.ConfigRejected.Log(g.log, logrus.Fields{"revision": item.Revision, "error": err})
		return false
	}
	previous, knownFor := g.config.Table(), g.config.NewerKnownFor()
	if !g.config.Update(routes.New(config), item.Value, item.Revision) {
		events.ConfigIgnored.Log(g.log, logrus.Fields{"config": config.Version, "revision": item.Revision, "known": g.config.Revision()})
		return true
	}
	events.ConfigActivated.Log(g.log, logrus.Fields{
		"config": config.Version, "revision": item.Revision, "routes": len(config.Routes),
		"services": len(config.Services), "accounts": len(config.Accounts), "bytes": len(item.Value), "known_ms": knownFor,
	})
	g.logWithdrawnKeys(previous)
	return true
}

// logWithdrawnKeys logs how many keys a new configuration has removed.
func (g *Gateway) logWithdrawnKeys(previous *routes.Table) {
	if previous == nil {
		return
	}
	if withdrawn := previous.CountKeysNotIn(g.config.Table()); withdrawn > 0 {
		events.KeysWithdrawn.Log(g.log, logrus.Fields{"keys": withdrawn, "config": g.config.Table().Version()})
	}
}

// logIgnoredValues logs the implausible values that were ignored in a new configuration.
func (g *Gateway) logIgnoredValues() {
	table := g.config.Table()
	if table == nil || g.reportedTable == table {
		return
	}
	g.reportedTable = table
	for _, value := range table.IgnoredValues() {
		events.ConfigImplausible.Log(g.log, logrus.Fields{"value": value, "config": table.Version()})
	}
}

// logFreshness logs when the proof of the configuration has become too old for each kind of decision, and
// when it is recent enough again.
func (g *Gateway) logFreshness() {
	if g.config.Table() == nil {
		return
	}
	for _, bound := range []struct {
		limit        spanrill.Millis
		was          *atomic.Bool
		stale, fresh events.Event
	}{
		{g.maxChangeAge(), &g.wasProved, events.ConfigUnproved, events.ConfigProved},
		{g.maxKeyAge(), &g.wasKeyFresh, events.ConfigStale, events.ConfigFresh},
	} {
		config := g.config.Snapshot()
		age := g.clock.Now() - config.ConfirmedAt()
		fresh := age <= bound.limit
		if bound.was.Swap(fresh) == fresh {
			continue
		}
		event := bound.stale
		if fresh {
			event = bound.fresh
		}
		event.Log(g.log, logrus.Fields{"proof_age_ms": age, "limit_ms": bound.limit, "revision": config.Revision()})
	}
}

// logEraChange logs when the store has been restored from an older copy. The first era
// received is only recorded.
func (g *Gateway) logEraChange() {
	era, previous := g.adapter.Era(), g.storeEra
	if era == previous {
		return
	}
	g.storeEra = era
	if previous > 0 {
		events.StoreRestored.Log(g.log, logrus.Fields{"era": era - 1, "before": previous - 1, "config_revision": g.config.Revision(), "upstreams_revision": g.fleet.Revision()})
	}
}
