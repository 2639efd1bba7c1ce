package reach

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
)

// twoUpstreams is the directory of a service with two upstreams.
type twoUpstreams struct{}

func (twoUpstreams) ServiceAt(string) string    { return "s" }
func (twoUpstreams) Addrs(string) []string      { return []string{"a", "b"} }
func (twoUpstreams) LastHeard() spanrill.Millis { return 0 }

// Guards against a path that loses packets and is taken for a working one whenever a connection happens
// to open, and against one that is taken for lost long after it works again.
func TestPathThatWasLostAgainConnectsInARow(t *testing.T) {
	for _, c := range []struct {
		name        string
		losses      int             // before the one whose end is observed
		workedFor   spanrill.Millis // between two losses
		results     string          // of direct connections since the last loss: + or -
		wantWorking bool
	}{
		{"first loss", 0, 0, "+", true},
		{"first loss, after a failure", 0, 0, "--+", true},
		{"lost again soon", 1, flapTime, "+++", false},
		{"lost again soon, connected in a row", 1, flapTime, "++++", true},
		{"lost again soon, a failure between", 1, flapTime, "+++-+++", false},
		{"lost again soon, a failure before", 1, flapTime, "+++-++++", true},
		{"lost again after a while", 1, flapTime + 1, "+", true},
		{"lost ten times", 10, 100, "+++++++", false},
		{"lost ten times, connected in a row", 10, 100, "++++++++", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			manual, log := clock.NewManual(), logrus.New()
			log.SetOutput(io.Discard)
			p := newPaths(twoUpstreams{}, manual, log)
			lose := func() {
				p.recordLost("s", "a", manual.Now())
				p.recordLost("s", "b", manual.Now())
			}
			connect := func(results string) {
				for _, result := range results {
					if result == '+' {
						p.recordConnected("s", "a")
					} else {
						p.recordNotConnected("s")
					}
				}
			}
			for range c.losses {
				lose()
				connect("++++++++")
				manual.Advance(c.workedFor)
			}
			lose()
			connect(c.results)
			if working := !p.isCut("s"); working != c.wantWorking {
				t.Fatalf("the path counts as working: %t, want %t", working, c.wantWorking)
			}
		})
	}
}
