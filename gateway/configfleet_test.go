package gateway

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// configScenario adds a configuration that changes periodically to a scenario.
type configScenario struct {
	apply        spanrill.Millis                                     // when a changed configuration has to be in force
	disturbed    func(rank int, now spanrill.Millis) bool            // the daemon does not reach the store, or does not run
	answerBehind func(rank int, now spanrill.Millis) spanrill.Millis // how old the store's answers about the configuration are
	restarts     func(rank int, now spanrill.Millis) bool            // the daemon restarts
	seedsGone    bool                                                // no daemon runs at the configured addresses of peers
}

const (
	simRevoke                         = 5 * spanrill.Second
	simConfigInterval spanrill.Millis = 400                 // between two configurations
	simFleetSeeds                     = 60                  // daemons of all seeds of a scenario, if one fleet has fewer
	simContact                        = 3 * spanrill.Second // without disturbance, after which a daemon must keep its promises
	simMinRound       spanrill.Millis = 100                 // between two exchange rounds
	simProofWait      spanrill.Millis = 300                 // how long a request may wait for a proof
)

// simConfigVersion returns the newest version at a time. Versions start with 1.
func simConfigVersion(at spanrill.Millis) int64 { return 1 + int64((at-simStart)/simConfigInterval) }

// simConfigWrittenAt returns when a version was acknowledged.
func simConfigWrittenAt(version int64) spanrill.Millis {
	return simStart + spanrill.Millis(version-1)*simConfigInterval
}

// simConfigStore is the collection of the configuration as one daemon reads it.
type simConfigStore struct{ d *drainDaemon }

func (s simConfigStore) item(version int64) spanrill.Item {
	return spanrill.Item{Name: "main", Revision: simRevisionAt(simConfigWrittenAt(version)), Value: fmt.Appendf(nil, `{"version":%d}`, version)}
}

func (s simConfigStore) asOf() spanrill.Millis {
	sentAt := s.d.configCalls.sentAt
	return max(simStart, sentAt-s.d.fleet.scenario.config.answerBehind(s.d.rank, sentAt))
}

func (s simConfigStore) List(context.Context) ([]spanrill.Item, uint64, error) {
	return []spanrill.Item{s.item(simConfigVersion(s.asOf()))}, simRevisionAt(s.asOf()), s.d.configCalls.callErr
}

func (s simConfigStore) Watch(_ context.Context, after uint64, _ spanrill.Millis) (changes []spanrill.Change, revision uint64, err error) {
	for version := int64(1); version <= simConfigVersion(s.asOf()); version++ {
		if item := s.item(version); item.Revision > after {
			changes = append(changes, spanrill.Change{Item: item})
		}
	}
	return changes, simRevisionAt(s.asOf()), s.d.configCalls.callErr
}

func (d *drainDaemon) hasConfig() bool { return d.config.Table() != nil }

// simDecisions are the decisions that one daemon would make.
type simDecisions struct {
	disturbedAt spanrill.Millis
	maxRefusal  spanrill.Millis // for how long the configuration of a final refusal had been replaced, at most
	maxSend     spanrill.Millis // the same of requests sent by a daemon without a recent disturbance
	maxKeySend  spanrill.Millis // the same of requests with a key, at any daemon
	blockedAt   spanrill.Millis // since when an undisturbed daemon has not been able to decide, or 0
	maxBlocked  spanrill.Millis
}

// decide records what the daemon would do with a request now, by the rules of package relay.
func (d *drainDaemon) decide(now spanrill.Millis) {
	c, s := d.fleet.scenario.config, &d.decisions
	if c.disturbed(d.rank, now) {
		s.disturbedAt = now
	}
	table := d.config.Table()
	if table == nil || d.fleet.scenario.paused(d.rank, now) {
		return
	}
	d.prove(now)
	replaced := max(0, now-simConfigWrittenAt(table.Version()+1))
	if d.mayRefuseForGood() {
		s.maxRefusal = max(s.maxRefusal, replaced)
	}
	if d.maySendWithKey() {
		s.maxKeySend = max(s.maxKeySend, replaced)
	}
	inTouch := now-s.disturbedAt > simContact
	switch {
	case inTouch && d.maySend():
		s.maxSend, s.blockedAt = max(s.maxSend, replaced), 0
	case !inTouch || s.blockedAt == 0 || d.isStarved(now):
		s.blockedAt = now
	default:
		s.maxBlocked = max(s.maxBlocked, now-s.blockedAt)
	}
}

// isStarved reports whether the daemon has recently been starved, so that it cannot have a proof yet.
func (d *drainDaemon) isStarved(now spanrill.Millis) bool {
	stalled := d.stalledSteps
	return len(stalled) > 0 && now-stalled[len(stalled)-1] <= simProofWait
}

func (d *drainDaemon) mayRefuseForGood() bool { return d.isProved() }
func (d *drainDaemon) maySend() bool          { return d.isProved() || configProver{d.Gateway}.StoreSilent() }
func (d *drainDaemon) maySendWithKey() bool   { return d.maySend() && d.isKeyFresh() }

// prove does what a waiting request makes the daemon do: a poll of the store, unless the last one has
// failed, and one of the peers.
func (d *drainDaemon) prove(now spanrill.Millis) {
	if d.isProved() || (configProver{d.Gateway}).StoreSilent() {
		return
	}
	if d.configCalls.callErr == nil {
		d.configCalls.nextCheck = min(d.configCalls.nextCheck, now)
	}
	d.nextRound = min(d.nextRound, d.roundAt+simMinRound)
}

// restart replaces the daemon by one that knows nothing, whose clock begins at 0.
func (d *drainDaemon) restart(now spanrill.Millis, all *peermsg.Gossip, log *logrus.Logger) {
	d.clockOffset = -now
	d.start(d.fleet.scenario.seed<<20+uint64(d.rank)+uint64(now), log)
	d.configCalls.nextCheck, d.nextRound = now+latestFirstAsk, now
	d.decisions.disturbedAt = now
	if d.fleet.scenario.config.seedsGone {
		d.settings.Peers = []string{"seed-1", "seed-2", "seed-3"}
	}
	d.peers.list.Merge(all)
}

// configScenarios returns the faults under which the promises about the configuration are kept.
func configScenarios(daemons int, apply spanrill.Millis) []scenario {
	third, from := max(2, daemons/3), simStart+2*spanrill.Second
	var out []scenario
	add := func(name string, set func(sc *scenario, c *configScenario)) {
		sc := withoutFaults(name)
		sc.config = &configScenario{
			apply:        apply,
			disturbed:    func(int, spanrill.Millis) bool { return false },
			answerBehind: func(int, spanrill.Millis) spanrill.Millis { return 0 },
			restarts:     func(int, spanrill.Millis) bool { return false },
		}
		set(&sc, sc.config)
		out = append(out, sc)
	}
	// failing makes the store fail the calls of some daemons from some time on.
	failing := func(sc *scenario, c *configScenario, fails func(rank int, now spanrill.Millis) bool, duration spanrill.Millis) {
		sc.storeCall = func(rank int, now spanrill.Millis) (spanrill.Millis, error) {
			if fails(rank, now) {
				return duration, spanrill.ErrUnavailable
			}
			return simCallTime, nil
		}
		c.disturbed = fails
	}
	firstRanks := func(rank int, now spanrill.Millis) bool { return rank < third && now >= from }
	add("no faults", func(*scenario, *configScenario) {})
	add("the store does not answer the first ranks", func(sc *scenario, c *configScenario) { failing(sc, c, firstRanks, simCallTimeout) })
	add("the store refuses the first ranks", func(sc *scenario, c *configScenario) { failing(sc, c, firstRanks, simRefusalTime) })
	add("the store is slow for the first ranks", func(sc *scenario, c *configScenario) {
		sc.storeCall = func(rank int, now spanrill.Millis) (spanrill.Millis, error) {
			if firstRanks(rank, now) {
				return 800, nil
			}
			return simCallTime, nil
		}
		c.disturbed = firstRanks
	})
	add("the first ranks are frozen", func(sc *scenario, c *configScenario) {
		sc.paused = func(rank int, now spanrill.Millis) bool {
			return rank < third && now >= from && now < from+3*spanrill.Second
		}
		c.disturbed = sc.paused
	})
	add("some calls hang, and news is late", func(sc *scenario, _ *configScenario) {
		sc.storeCall = func(rank int, now spanrill.Millis) (spanrill.Millis, error) {
			if (rank*7+int(now/simStep))%5 == 0 {
				return simCallTimeout, spanrill.ErrUnavailable
			}
			return simCallTime, nil
		}
		sc.answerDelay, sc.unanswered = func(int) spanrill.Millis { return simAnswerDelay }, lossyNetwork(2)
	})
	add("slow processors", func(sc *scenario, c *configScenario) {
		sc.paused = func(rank int, now spanrill.Millis) bool { return rank%2 == 0 && now%200 < 100 }
		sc.answerDelay = func(int) spanrill.Millis { return simAnswerDelay }
		c.disturbed = func(rank int, _ spanrill.Millis) bool { return rank%2 == 0 }
	})
	for _, starvation := range []struct {
		name string
		ran  spanrill.Millis // in each period
	}{{"requests take the processor time for 3 s at a time", simStep}, {"requests take the processor time for most of 3 s", 600}} {
		add(starvation.name, func(sc *scenario, _ *configScenario) {
			const period = 3 * spanrill.Second
			sc.starved = func(rank int, now spanrill.Millis) bool {
				return rank%3 != 0 && now >= from && (now-from+spanrill.Millis(rank)*170)%period >= starvation.ran
			}
		})
	}
	add("restarts in series, the store silent, seeds gone", func(sc *scenario, c *configScenario) {
		const gap = 200
		failing(sc, c, func(rank int, now spanrill.Millis) bool { return rank%3 != 0 && now >= from }, simCallTimeout)
		c.restarts = func(rank int, now spanrill.Millis) bool { return now == from+spanrill.Millis(500+gap*(rank%24)) }
		c.seedsGone = true
	})
	add("the store is away for all", func(sc *scenario, c *configScenario) {
		failing(sc, c, func(_ int, now spanrill.Millis) bool { return now >= from && now < from+5*spanrill.Second }, simCallTimeout)
	})
	add("the store is away for all, and restarts", func(sc *scenario, c *configScenario) {
		failing(sc, c, func(_ int, now spanrill.Millis) bool { return now >= from && now < from+5*spanrill.Second }, simCallTimeout)
		c.restarts = func(rank int, now spanrill.Millis) bool { return now == from+spanrill.Millis(1500+100*(rank%24)) }
	})
	add("answers from behind", func(_ *scenario, c *configScenario) {
		c.answerBehind = func(rank int, now spanrill.Millis) spanrill.Millis {
			if rank < third && now >= from && now/simConfigInterval%2 == 0 {
				return 3 * spanrill.Second
			}
			return 0
		}
	})
	return out
}

// runConfig advances the time to the end, and records the decisions that the daemons would make.
func (f *drainFleet) runConfig() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	all := &peermsg.Gossip{}
	for _, d := range f.daemons {
		all.Members = append(all.Members, d.member)
	}
	for now := simStart; now < f.end; now += simStep {
		for _, d := range f.daemons {
			if f.scenario.config.restarts(d.rank, now) {
				f.now.Store(int64(now))
				d.restart(now, all, log)
			}
		}
		f.advance(now)
		for _, d := range f.daemons {
			d.decide(now)
		}
	}
}

// Guards against requests that are refused, or sent, as an older configuration says.
func TestNoDecisionByAReplacedConfiguration(t *testing.T) {
	for _, size := range []struct {
		daemons, zones int
		apply          spanrill.Millis
	}{{6, 3, 2 * spanrill.Second}, {30, 3, 3 * spanrill.Second}, {83, 4, 3 * spanrill.Second}} {
		checkConfigDecisions(t, size.daemons, size.zones, size.apply)
	}
}

// checkConfigDecisions plays the scenarios with the given names, or all of them.
func checkConfigDecisions(t *testing.T, daemons, zones int, apply spanrill.Millis, names ...string) {
	t.Helper()
	for _, sc := range configScenarios(daemons, apply) {
		if len(names) > 0 && !slices.Contains(names, sc.name) {
			continue
		}
		for seed := range uint64(max(1, simFleetSeeds/daemons)) {
			sc.seed = seed
			playConfigScenario(t, daemons, zones, apply, sc)
		}
	}
}

func playConfigScenario(t *testing.T, daemons, zones int, apply spanrill.Millis, sc scenario) {
	t.Helper()
	t.Run(fmt.Sprintf("%d daemons/%s/%d", daemons, sc.name, sc.seed), func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			f := newDrainFleet(daemons, zones, sc)
			f.runConfig()
			var worst simDecisions
			for _, d := range f.daemons {
				worst.maxRefusal = max(worst.maxRefusal, d.decisions.maxRefusal)
				worst.maxSend = max(worst.maxSend, d.decisions.maxSend)
				worst.maxKeySend = max(worst.maxKeySend, d.decisions.maxKeySend)
				worst.maxBlocked = max(worst.maxBlocked, d.decisions.maxBlocked)
			}
			t.Logf("replaced for at most %d ms at a final refusal, %d ms at a send in touch, %d ms at a send with a key; at most %d ms without a decision in touch; %.1f store calls and %d requests to peers a second",
				worst.maxRefusal, worst.maxSend, worst.maxKeySend, worst.maxBlocked, float64(f.storeCalls*1000)/float64(f.end-simStart), f.requests.Load()*1000/int64(f.end-simStart))
			if worst.maxRefusal > apply || worst.maxSend > apply || worst.maxKeySend > simRevoke || worst.maxBlocked > simProofWait {
				t.Errorf("a decision by a configuration that was replaced too long ago, or none for too long, want at most %d, %d, %d and %d ms", apply, apply, simRevoke, simProofWait)
			}
		})
	})
}
