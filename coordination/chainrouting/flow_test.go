package chainrouting

import (
	"math"
	"testing"
)

// flowOptions returns three options, of which the last is the fastest.
func flowOptions() []option {
	return []option{{estimate: 4000, flow: 20}, {estimate: 5000, flow: 20}, {estimate: 1000, flow: 60}}
}

// measureShares returns the share of the requests that each option gets, by its estimate, and
// whether the flows decide.
func measureShares(options []option, demand float64) (shares map[float64]float64, ok bool) {
	const draws = 10_000
	shares = map[float64]float64{}
	for n := range draws {
		var i int
		if i, ok = chooseByFlow(options, demand, (float64(n)+0.5)/draws); ok {
			shares[options[i].estimate] += 1.0 / draws
		}
	}
	return shares, ok
}

func TestChooseByFlow(t *testing.T) {
	fastestFull := flowOptions()
	fastestFull[2].flow, fastestFull[2].full = 0, true
	for _, c := range []struct {
		name                     string
		options                  []option
		demand                   float64
		fastest, middle, slowest float64 // expected shares of the requests
		decided                  bool
	}{
		{"unknown demand uses the fastest half of the flows", flowOptions(), 0, 1, 0, 0, true},
		{"low demand uses the fastest path", flowOptions(), 10, 1, 0, 0, true},
		{"the fastest path is filled first, up to its flow", flowOptions(), 60, 60.0 / 78, 18.0 / 78, 0, true},
		{"demand that reaches the sum of the flows with its expected growth", flowOptions(), 99 / demandGrowth, 60.0 / 99, 20.0 / 99, 19.0 / 99, true},
		{"demand above the sum of the flows, within maxOvercommit", flowOptions(), 120, 0.6, 0.2, 0.2, true},
		{"demand of more than maxOvercommit times the sum of the flows", flowOptions(), 130, 0, 0, 0, false},
		{"a path without room gets nothing", fastestFull, 20, 0, 20.0 / 26, 6.0 / 26, true},
		{"no path has room", []option{{estimate: 1, full: true}}, 10, 0, 0, 0, false},
		{"there is no path", nil, 0, 0, 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			shares, ok := measureShares(c.options, c.demand)
			for _, check := range [][2]float64{{shares[1000], c.fastest}, {shares[4000], c.middle}, {shares[5000], c.slowest}} {
				if math.Abs(check[0]-check[1]) > 0.002 || ok != c.decided {
					t.Fatalf("shares by estimate %v, decided %v; want %v", shares, ok, c)
				}
			}
		})
	}
}

// Whatever the demand, no path gets more than its flow times maxOvercommit.
func TestFlowBoundsRequestsOfPath(t *testing.T) {
	for demand := 10.0; demand < 1000; demand *= 1.3 {
		shares, _ := measureShares(flowOptions(), demand)
		for _, o := range flowOptions() {
			if got := shares[o.estimate] * demand; got > o.flow*maxOvercommit*1.01 {
				t.Errorf("a path gets %.1f of %.1f requests a second, want at most maxOvercommit times its flow of %.1f", got, demand, o.flow)
			}
		}
	}
}

// Daemons of small fleets, which start many requests within propagationTime each, do not choose by
// flow.
func TestStartsFewRequests(t *testing.T) {
	for _, c := range []struct {
		daemons int
		demand  float64
		want    bool
	}{{295, 380, true}, {59, 410, false}, {350, 0, true}, {300, 1000, false}} {
		f := newTestFleet(twoChains()...)
		f.router.SetFleet(c.daemons, 6, true)
		f.router.SetDemand(map[string]float64{service: c.demand})
		if got := f.router.startsFewRequests(service); got != c.want {
			t.Errorf("%d daemons, %.0f requests a second: starts few requests: %v, want the opposite", c.daemons, c.demand, got)
		}
	}
}
