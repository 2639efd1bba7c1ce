package membership

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
)

// fleet is a set of lists that exchange messages, except where blocked returns true.
type fleet struct {
	clock   *clock.Manual
	lists   map[string]*List
	boxes   []spanrill.Box
	blocked func(from, to string) bool
	onSend  func(from string, g *peermsg.Gossip)
}

func newFleet(n int) *fleet { return newSeededFleet(n, 0) }

// newSeededFleet returns a fleet whose random choices are determined by a seed.
func newSeededFleet(n int, seed uint64) *fleet {
	f := &fleet{clock: clock.NewManual(), lists: map[string]*List{}, blocked: func(string, string) bool { return false }, onSend: func(string, *peermsg.Gossip) {}}
	for i := range n {
		name := fmt.Sprintf("d%d", i)
		f.boxes = append(f.boxes, spanrill.Box{Name: name, Role: spanrill.RoleEntry, PeerAddr: name})
	}
	for i := range n {
		f.start(f.boxes[i].Name, seed<<32+uint64(i))
	}
	return f
}

func (f *fleet) start(name string, seed uint64) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	send := func(addr string, g *peermsg.Gossip) error {
		f.onSend(name, g)
		to := f.lists[addr]
		if to == nil || f.blocked(name, addr) {
			return errors.New("unreachable")
		}
		to.Merge(g)
		return nil
	}
	l := New(peermsg.Member{Name: name, PeerAddr: name}, f.clock, send, WithLogger(log), WithRandom(rng.New(seed)))
	l.SetBoxes(f.boxes)
	f.lists[name] = l
}

// runRounds runs n rounds of every daemon but the frozen ones.
func (f *fleet) runRounds(n int, frozen ...string) {
	for range n {
		f.clock.Advance(spanrill.Second)
		for _, b := range f.boxes {
			l := f.lists[b.Name]
			if l == nil || contains(frozen, b.Name) {
				continue
			}
			l.Round(context.Background())
		}
	}
}

// runRoundOf runs one round of a single daemon.
func (f *fleet) runRoundOf(name string) {
	f.clock.Advance(spanrill.Second)
	f.lists[name].Round(context.Background())
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (f *fleet) liveCount(name string) int { return len(f.lists[name].Live()) }

func TestDaemonsDiscoverEachOther(t *testing.T) {
	f := newFleet(8)
	f.runRounds(10)
	for name := range f.lists {
		if f.liveCount(name) != 8 {
			t.Fatalf("%s sees %d daemons, want 8", name, f.liveCount(name))
		}
	}
}

func TestFrozenDaemonIsRemovedAndReturns(t *testing.T) {
	f := newFleet(8)
	f.runRounds(10)
	f.runRounds(deadRounds+4, "d3")
	for name := range f.lists {
		if name != "d3" && f.liveCount(name) != 7 {
			t.Fatalf("%s sees %d daemons while d3 is frozen, want 7", name, f.liveCount(name))
		}
	}
	f.runRounds(6)
	for name := range f.lists {
		if f.liveCount(name) != 8 {
			t.Fatalf("%s sees %d daemons after d3 was thawed, want 8", name, f.liveCount(name))
		}
	}
}

func TestPartitionHeals(t *testing.T) {
	f := newFleet(8)
	f.runRounds(10)
	f.blocked = func(from, to string) bool { return (from < "d4") != (to < "d4") }
	f.runRounds(deadRounds + 4)
	for name := range f.lists {
		if f.liveCount(name) != 4 {
			t.Fatalf("%s sees %d daemons during the partition, want 4", name, f.liveCount(name))
		}
	}
	f.blocked = func(string, string) bool { return false }
	f.runRounds(12)
	for name := range f.lists {
		if f.liveCount(name) != 8 {
			t.Fatalf("%s sees %d daemons after the partition, want 8", name, f.liveCount(name))
		}
	}
}

// Guards against counting a daemon twice after it restarts under the same name.
func TestRestartedDaemonReplacesOldOne(t *testing.T) {
	f := newFleet(4)
	f.runRounds(6)
	f.start("d2", 99)
	f.runRounds(6)
	for name := range f.lists {
		if f.liveCount(name) != 4 {
			t.Fatalf("%s sees %d daemons after d2 was restarted, want 4", name, f.liveCount(name))
		}
	}
}

// convergenceRound is the round by which 350 daemons that start together must know each other.
const convergenceRound = 20

// Guards against slow discovery, and against considering a live daemon dead, in a fleet of the
// largest supported size whose daemons start together.
func TestLargeFleetConverges(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newSeededFleet(350, seed)
			for round := 1; round <= 36; round++ {
				f.runRounds(1)
				f.checkViews(t, round)
			}
		})
	}
}

// checkViews fails if a daemon considers another one dead, or does not know it by
// convergenceRound.
func (f *fleet) checkViews(t *testing.T, round int) {
	t.Helper()
	for _, from := range f.boxes {
		if round >= convergenceRound && f.liveCount(from.Name) != len(f.boxes) {
			t.Errorf("round %d: %s sees %d daemons, want all", round, from.Name, f.liveCount(from.Name))
		}
		for _, of := range f.boxes {
			e := f.lists[from.Name].entries[of.Name]
			switch {
			case e != nil && !e.state.isLive():
				t.Errorf("round %d: %s considers %s dead, heartbeat %d, last new one at %d ms",
					round, from.Name, of.Name, e.member.Heartbeat, e.heartbeatAt)
			case e == nil && from.Name != of.Name && round >= convergenceRound:
				t.Errorf("round %d: %s does not know %s", round, from.Name, of.Name)
			}
		}
	}
	if t.Failed() {
		t.FailNow()
	}
}

// Guards against runs that differ for the same seed, which would make failures irreproducible.
func TestSeededFleetIsDeterministic(t *testing.T) {
	f, g := newSeededFleet(60, 7), newSeededFleet(60, 7)
	for round := 1; round <= 24; round++ {
		f.runRounds(1)
		g.runRounds(1)
		for _, from := range f.boxes {
			for _, of := range f.boxes {
				a, b := f.lists[from.Name].entries[of.Name], g.lists[from.Name].entries[of.Name]
				if (a == nil) != (b == nil) || a != nil && *a != *b {
					t.Fatalf("round %d: the entry that %s has of %s differs between two runs with the same seed", round, from.Name, of.Name)
				}
			}
		}
	}
}

// Guards against never discovering a box that no gossip names.
func TestUnknownBoxIsDiscovered(t *testing.T) {
	f := newFleet(2)
	f.runRoundOf("d0")
	if f.liveCount("d0") != 2 {
		t.Fatalf("d0 sees %d daemons after its first round, want 2", f.liveCount("d0"))
	}
}

// Guards against never rediscovering a daemon that was unreachable until it was considered dead.
func TestDeadBoxIsRediscovered(t *testing.T) {
	f := newFleet(2)
	f.runRounds(2)
	f.blocked = func(string, string) bool { return true }
	f.runRounds(deadRounds + 4)
	if f.liveCount("d0") != 1 {
		t.Fatalf("d0 sees %d daemons while messages are blocked, want 1", f.liveCount("d0"))
	}
	f.blocked = func(string, string) bool { return false }
	f.runRoundOf("d0")
	if f.liveCount("d0") != 2 {
		t.Fatalf("d0 sees %d daemons after messages are no longer blocked, want 2", f.liveCount("d0"))
	}
}

// Guards against adding a member for the receiver's entry when the receiver has another name.
func TestReceiverEntryAddsNoMember(t *testing.T) {
	f := newFleet(2)
	f.lists["d0"].SetBoxes([]spanrill.Box{{Name: "other", Role: spanrill.RoleEntry, PeerAddr: "d1"}})
	f.runRoundOf("d0")
	if f.lists["d1"].entries["d0"] == nil {
		t.Fatal("d1 did not receive gossip from d0")
	}
	if f.lists["d1"].entries["other"] != nil {
		t.Fatal("d1 added a member for the name under which d0 contacted it")
	}
}

func TestOnlyKeysOfALostMemberMove(t *testing.T) {
	f := newFleet(8)
	f.runRounds(10)
	l := f.lists["d0"]
	before := map[string]string{}
	for i := range 200 {
		key := fmt.Sprint(i)
		before[key] = l.Owners(key, 1)[0].Name
	}
	f.runRounds(deadRounds+4, "d5")
	for key, owner := range before {
		if now := l.Owners(key, 1)[0].Name; owner != "d5" && now != owner {
			t.Fatalf("key %s moved from %s to %s, want it to stay because only d5 was lost", key, owner, now)
		}
	}
}

// Guards against a new daemon that gets no members from a box whose name it does not know.
func TestFirstMessageIsAnswered(t *testing.T) {
	f := newFleet(8)
	f.runRounds(10)
	f.start("new", 99)
	f.lists["new"].SetBoxes([]spanrill.Box{{Name: "other", Role: spanrill.RoleEntry, PeerAddr: "d0"}})
	f.runRoundOf("new")
	if f.liveCount("new") != 9 {
		t.Fatalf("the new daemon sees %d daemons after its first message, want 9", f.liveCount("new"))
	}
}
