package gateway

import (
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/state/routes"
)

// configSink takes the collection that holds the configuration.
type configSink struct{ g *Gateway }

// Listed takes the configuration if it is there.
func (s configSink) Listed(items []spanrill.Item, _ uint64, sent spanrill.Millis) {
	for _, item := range items {
		if known := s.g.config.Revision(); item.Name == s.g.adapter.ConfigName && item.Revision < known {
			events.ListOutdated.Log(s.g.log, logrus.Fields{"collection": "configuration", "revision": item.Revision, "known": known})
		}
		s.take(item, sent)
	}
}

// Changed takes a new configuration. No change proves that the one held is the
// newest, if both were read in the same era: a restored store may lack it.
func (s configSink) Changed(changes []spanrill.Change, at uint64, sent spanrill.Millis) {
	for _, c := range changes {
		if !c.Gone {
			s.take(c.Item, sent)
		}
	}
	current := s.g.config
	if spanrill.EraOf(at) == spanrill.EraOf(current.Revision()) {
		current.Prove(current.Revision(), sent)
	}
}

func (s configSink) take(item spanrill.Item, sent spanrill.Millis) {
	g := s.g
	if item.Name != g.adapter.ConfigName {
		return
	}
	config, err := g.adapter.DecodeConfig(item.Value)
	if err != nil {
		events.ConfigRejected.Log(g.log, logrus.Fields{"revision": item.Revision, "error": err})
		return
	}
	before := g.config.Table()
	if g.config.Take(routes.New(config), item.Value, item.Revision) {
		events.ConfigInForce.Log(g.log, logrus.Fields{
			"config": config.Version, "revision": item.Revision, "routes": len(config.Routes),
			"services": len(config.Services), "accounts": len(config.Accounts), "bytes": len(item.Value),
		})
		g.logWithdrawn(before)
	}
	g.config.Prove(item.Revision, sent)
}

// logWithdrawn logs of how many keys a configuration has taken away.
func (g *Gateway) logWithdrawn(before *routes.Table) {
	if before == nil {
		return
	}
	if gone := before.KeysNotIn(g.config.Table()); gone > 0 {
		events.KeyWithdrawn.Log(g.log, logrus.Fields{"keys": gone, "config": g.config.Table().Version()})
	}
}

// noteOdd logs the values of a new configuration that cannot be true.
func (g *Gateway) noteOdd() {
	table := g.config.Table()
	if table == nil || g.oddOf == table {
		return
	}
	g.oddOf = table
	for _, value := range table.Odd() {
		events.ConfigOdd.Log(g.log, logrus.Fields{"value": value, "config": table.Version()})
	}
}

// noteFreshness logs when the configuration can no longer be proved fresh, and
// when it can again.
func (g *Gateway) noteFreshness() {
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
	event.Log(g.log, logrus.Fields{"proof_age_ms": g.config.Age(), "limit_ms": g.freshness(), "revision": g.config.Revision()})
}

func (g *Gateway) isFresh() bool { return g.config.Age() <= g.freshness() }

// noteEra logs when the store has been restored from an older copy. The first era
// received is only recorded.
func (g *Gateway) noteEra() {
	era, previous := g.adapter.Era(), g.storeEra
	if era == previous {
		return
	}
	g.storeEra = era
	if previous > 0 {
		events.StoreRestored.Log(g.log, logrus.Fields{"era": era - 1, "before": previous - 1, "config_revision": g.config.Revision(), "upstreams_revision": g.fleet.Revision()})
	}
}
