package gateway

import (
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
		if known := s.g.config.Revision(); item.Name == s.g.adapter.ConfigName && item.Revision < known {
			events.ListOutdated.Log(s.g.log, logrus.Fields{"collection": "configuration", "revision": item.Revision, "known": known})
		}
		s.apply(item, sentAt)
	}
}

// HandleChanges applies a new configuration, and confirms that the current one was the newest at
// sentAt, when the changes were requested. A configuration of another era than revision is not
// confirmed, because a restored store may lack it.
func (s configSink) HandleChanges(changes []spanrill.Change, revision uint64, sentAt spanrill.Millis) {
	for _, c := range changes {
		if !c.Deleted {
			s.apply(c.Item, sentAt)
		}
	}
	current := s.g.config
	if spanrill.EraOf(revision) == spanrill.EraOf(current.Revision()) {
		current.ConfirmUnchanged(current.Revision(), sentAt)
	}
}

func (s configSink) apply(item spanrill.Item, sentAt spanrill.Millis) {
	g := s.g
	if item.Name != g.adapter.ConfigName {
		return
	}
	config, err := g.adapter.DecodeConfig(item.Value)
	if err != nil {
		events.ConfigRejected.Log(g.log, logrus.Fields{"revision": item.Revision, "error": err})
		return
	}
	previous := g.config.Table()
	if g.config.Update(routes.New(config), item.Value, item.Revision) {
		events.ConfigActivated.Log(g.log, logrus.Fields{
			"config": config.Version, "revision": item.Revision, "routes": len(config.Routes),
			"services": len(config.Services), "accounts": len(config.Accounts), "bytes": len(item.Value),
		})
		g.logWithdrawnKeys(previous)
	}
	g.config.ConfirmUnchanged(item.Revision, sentAt)
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

// logFreshness logs when the configuration was confirmed too long ago, and when it has been
// confirmed again.
func (g *Gateway) logFreshness() {
	if g.config.Table() == nil {
		return
	}
	fresh := g.isFresh()
	if g.wasFresh.Swap(fresh) == fresh {
		return
	}
	event := events.ConfigStale
	if fresh {
		event = events.ConfigFresh
	}
	event.Log(g.log, logrus.Fields{"proof_age_ms": g.config.Age(), "limit_ms": g.maxConfigAge(), "revision": g.config.Revision()})
}

func (g *Gateway) isFresh() bool { return g.config.Age() <= g.maxConfigAge() }

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
