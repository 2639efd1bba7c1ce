package gateway

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"spanrill/clock"
	"spanrill/coordination/membership"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
)

// Guards against scheduled trials of withheld parts that each part of a split fleet sends: a daemon that
// hears of a few others does not hear of the trials of all.
func TestOnlyMostOfASplitFleetTriesParts(t *testing.T) {
	for _, c := range []struct {
		daemons, cut int
		wantMost     bool // the others may try
	}{{1, 0, true}, {2, 1, false}, {8, 1, true}, {8, 3, true}, {8, 4, false}, {83, 1, true}, {83, 40, true}} {
		t.Run(fmt.Sprint(c.cut, " of ", c.daemons, " daemons are cut off"), func(t *testing.T) {
			f := newSplitFleet(c.daemons)
			f.run(20)
			for _, g := range f.gateways {
				if !g.mayTryParts() {
					t.Fatal("a daemon of a whole fleet may not try parts")
				}
			}
			f.cut = c.cut
			f.run(40)
			for i, g := range f.gateways {
				if want := c.wantMost && i >= c.cut; g.mayTryParts() != want {
					t.Fatalf("daemon %d, that hears of %d others, may try parts: %v, want %v", i, len(g.peers.Others()), g.mayTryParts(), want)
				}
			}
		})
	}
}

// splitFleet is the membership of a fleet whose first daemons are cut off from the others.
type splitFleet struct {
	clock    *clock.Manual
	gateways []*Gateway
	cut      int
}

func newSplitFleet(daemons int) *splitFleet {
	f := &splitFleet{clock: clock.NewManual()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var introduction peermsg.Gossip
	for i := range daemons {
		send := func(addr string, g *peermsg.Gossip) error {
			var to int
			if _, err := fmt.Sscan(addr, &to); err != nil {
				return fmt.Errorf("read address: %w", err)
			}
			if (i < f.cut) == (to < f.cut) {
				f.gateways[to].peers.list.Merge(g)
			}
			return nil
		}
		m := peermsg.Member{Name: fmt.Sprint("d", i), PeerAddr: fmt.Sprint(i)}
		introduction.Members = append(introduction.Members, m)
		list := membership.New(m, f.clock, send, membership.WithLogger(log), membership.WithRandom(rng.New(uint64(i))), membership.WithRound(memberRound))
		f.gateways = append(f.gateways, &Gateway{peers: &peers{name: m.Name, list: list}})
	}
	introduction.Answer = true
	for _, g := range f.gateways {
		g.peers.list.Merge(&introduction)
	}
	return f
}

// run runs rounds of gossip.
func (f *splitFleet) run(rounds int) {
	for range rounds {
		f.clock.Advance(memberRound)
		for _, g := range f.gateways {
			g.peers.list.Round(context.Background())
		}
	}
}
