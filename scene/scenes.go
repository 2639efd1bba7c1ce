package scene

import (
	"fmt"
	"time"

	"spanrill"
	"spanrill/standin/engine"
	"spanrill/standin/model"
)

// The kinds of accelerators of the scenes. They differ fivefold in speed. Their
// batches are small, so that a whole fleet runs on one machine and the engines,
// not the machine, are what limits it.
var (
	large = engine.Speed{Kind: "l1", Slots: 6, Step: 6 * time.Millisecond, TokenLayer: 20 * time.Microsecond, MemLayers: 16}
	mid   = engine.Speed{Kind: "m1", Slots: 3, Step: 8 * time.Millisecond, TokenLayer: 50 * time.Microsecond, MemLayers: 12}
	small = engine.Speed{Kind: "s1", Slots: 2, Step: 10 * time.Millisecond, TokenLayer: 80 * time.Microsecond, MemLayers: 8}
)

var thirds = []spanrill.LayerRange{{From: 0, To: 8}, {From: 8, To: 16}, {From: 16, To: 24}}

// linkBetween returns the delay between engines: short within an availability
// zone, longer across, and far longer on the one slow kind of box.
func linkBetween(from, to Engine) time.Duration {
	d := 50 * time.Microsecond
	if from.Zone != to.Zone {
		d = 450 * time.Microsecond
	}
	if from.Speed.Kind == small.Kind && to.Speed.Kind == small.Kind && from.Zone != to.Zone {
		d = 5 * time.Millisecond
	}
	return d
}

// Demo is the scene of spanrill demo: two daemons, seven engines of three
// kinds, one plain service.
func Demo() Spec {
	s := Spec{
		Model: model.Spec{Name: "apiary-advice", Version: "1", Layers: 24},
		Zones: []string{"hall-un", "hall-deux", "hall-trois"}, Services: 1, Daemons: 2,
		Accounts:  []Account{{Name: "rucher", Priority: 5, Weight: 1}},
		ReportLag: 200 * time.Millisecond, Link: linkBetween, Seed: 1,
	}
	speeds := []engine.Speed{large, mid, large, mid, small, mid, large}
	for i, speed := range speeds {
		s.Engines = append(s.Engines, Engine{
			Name: fmt.Sprintf("engine-%d", i+1), Zone: s.Zones[i%3], Layers: thirds[i%3], Speed: speed,
		})
	}
	return s
}

// Quebec is a scene close to Ruchetech's: about forty engines in three
// availability zones, eight daemons, three upstreams for readings.
func Quebec() Spec {
	s := Spec{
		Model: model.Spec{Name: "apiary-advice", Version: "1", Layers: 24},
		Zones: []string{"hall-un", "hall-deux", "hall-trois"}, Services: 3, Daemons: 8,
		ReportLag: 500 * time.Millisecond, Link: linkBetween, Seed: 1,
	}
	for i := range 10 {
		s.Accounts = append(s.Accounts, Account{Name: fmt.Sprintf("account-%d", i+1), Priority: 5, Weight: 1})
	}
	kinds := []engine.Speed{large, mid, small, mid}
	for i := range 42 {
		s.Engines = append(s.Engines, Engine{
			Name: fmt.Sprintf("engine-%02d", i+1), Zone: s.Zones[i/3%3], Layers: thirds[i%3], Speed: kinds[i/3%4],
		})
	}
	return s
}

// accountLimit is the requests a second that each account of Dakar may send:
// about a tenth of what the engines can carry.
const accountLimit = 25

// Dakar is a scene close to that of the Dakar annex: the same fleet under other
// names, with a limit for each account.
func Dakar() Spec {
	s := Quebec()
	for i := range s.Accounts {
		s.Accounts[i].Requests = accountLimit
	}
	s.Model.Name = "label-reading"
	rename := map[string]string{"hall-un": "hann", "hall-deux": "plateau", "hall-trois": "fann"}
	for i, z := range s.Zones {
		s.Zones[i] = rename[z]
	}
	for i := range s.Engines {
		s.Engines[i].Zone = rename[s.Engines[i].Zone]
	}
	return s
}
