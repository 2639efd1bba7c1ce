package exchange

import (
	"maps"
	"math/rand"
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

func targetTo(n int) fleet.Target {
	return fleet.Target{Layers: spanrill.LayerRange{From: n, To: n + 4}, Done: n%2 == 0}
}

func (o *orders) targetsByKey() map[uint32]fleet.Target {
	out := map[uint32]fleet.Target{}
	for key, t := range o.targets {
		out[key] = t.target
	}
	return out
}

// A daemon that applies the changes of another one has the same orders afterwards, whether they come
// from the holder or from a daemon that passes them on.
func TestOrderChangesConverge(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		daemons := make([]orders, 4) // the first one is the holder
		for step := range 200 {
			if random.Intn(2) == 0 {
				next := daemons[0].targetsByKey()
				key := uint32(random.Intn(9))
				next[key] = targetTo(random.Intn(20))
				if random.Intn(3) == 0 {
					delete(next, key)
				}
				daemons[0].set(next)
			}
			from, to := &daemons[random.Intn(len(daemons))], &daemons[1+random.Intn(len(daemons)-1)]
			if from == to || from.sequence == 0 || from.sequence < to.sequence {
				continue
			}
			var msg peermsg.Placement
			from.writeChanges(&msg, to.sequence*uint64(min(1, random.Intn(8))))
			if !to.applyChanges(&msg) {
				t.Fatalf("seed %d, step %d: changes after %d rejected at sequence %d", seed, step, msg.Since, to.sequence)
			}
			if !maps.Equal(from.targetsByKey(), to.targetsByKey()) || from.sequence != to.sequence {
				t.Fatalf("seed %d, step %d: after changes since %d, targets %v, want %v", seed, step, msg.Since, to.targetsByKey(), from.targetsByKey())
			}
		}
	}
}

// Changes that leave a gap after the known sequence are rejected.
func TestOrderChangesWithGapAreRejected(t *testing.T) {
	var holder, other orders
	holder.set(map[uint32]fleet.Target{1: targetTo(1)})
	holder.set(map[uint32]fleet.Target{1: targetTo(1), 2: targetTo(2)})
	var msg peermsg.Placement
	holder.writeChanges(&msg, 1)
	if other.applyChanges(&msg) || len(other.targets) != 0 {
		t.Fatalf("targets %v after changes since %d were applied, want none", other.targetsByKey(), msg.Since)
	}
}

// Guards against sending all orders in every answer, which made 81 MB of traffic among 60
// daemons in 24 s while 2,922 engines were ordered.
func TestKnownOrdersAreNotResent(t *testing.T) {
	c, here, there, _ := pair(1)
	there.holdsPlacement = true
	for _, e := range manyEntries(2922).Entries {
		there.targets[e.ID] = fleet.Target{Layers: e.Layers}
	}
	size := func() int {
		known := here.exchange.knownOrdersFor(recipient{})
		data, err := peermsg.Encode(there.exchange.HandleNewsRequest(&peermsg.NewsRequest{Holder: known.holder, Sequence: known.sequence}))
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	first := size()
	here.exchange.mergePlacement(there.exchange.placementNews(knownOrders{}), c.Now())
	c.Advance(ownRefreshInterval)
	if again := size(); again > 200 || first < 20_000 {
		t.Fatalf("%d bytes for all orders and %d once they are known, want at least 20000 and at most 200", first, again)
	}
	keys := map[uint32]bool{}
	for id := range there.targets {
		keys[fleet.KeyOf(id)] = true
	}
	if got := len(here.exchange.placement.orders.targets); got != len(keys) {
		t.Fatalf("%d orders received, want %d", got, len(keys))
	}
}

// Guards against receiving the same orders from four peers in each round. Only one peer sends them.
// The answers of the others still show that the holder is alive, and an older report of the holder
// still delivers orders that are not known yet.
func TestOrdersComeFromOnePeer(t *testing.T) {
	c, here, there, _ := pair(1)
	there.holdsPlacement = true
	there.targets["e1"] = targetTo(1)
	here.exchange.mergePlacement(there.exchange.placementNews(knownOrders{}), c.Now())
	there.targets["e2"] = targetTo(2)
	c.Advance(ownRefreshInterval)
	known := here.exchange.knownOrdersFor(recipient{skipOrders: true})
	full := there.exchange.placementNews(here.exchange.knownOrdersFor(recipient{}))
	c.Advance(ownRefreshInterval)
	brief := there.exchange.placementNews(known)
	if len(brief.Targets) != 0 || len(full.Targets) != 1 {
		t.Fatalf("%d orders sent to a daemon that skips them and %d to another, want 0 and 1", len(brief.Targets), len(full.Targets))
	}
	here.exchange.mergePlacement(brief, c.Now())
	if p := &here.exchange.placement; p.reportedAt != c.Now() || len(p.orders.targets) != 1 {
		t.Fatalf("holder reported at %d, want %d; %d orders, want 1", p.reportedAt, c.Now(), len(p.orders.targets))
	}
	here.exchange.mergePlacement(full, c.Now()-ownRefreshInterval)
	if got := len(here.exchange.placement.orders.targets); got != 2 {
		t.Fatalf("%d orders known, want 2", got)
	}
	c.Advance(10 * placementTTL)
	if known := here.exchange.knownOrdersFor(recipient{skipOrders: true}); known.sequence == skipOrdersSequence {
		t.Fatal("orders are skipped although the holder's report has expired")
	}
}
