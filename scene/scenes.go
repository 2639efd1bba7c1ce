package scene

import (
	"fmt"
	"time"

	"spanrill"
	"spanrill/standin/engine"
	"spanrill/standin/model"
)

// The kinds of accelerators in the scenes. The largest is five times as fast as the smallest.
// Batches are small, so that a whole fleet runs on one machine and its throughput is limited by the
// engines and not by the machine.
var (
	largeAccelerator  = engine.Accelerator{Kind: "l1", Slots: 6, BaseTime: 6 * time.Millisecond, PositionLayerTime: 20 * time.Microsecond, MaxLayers: 16}
	mediumAccelerator = engine.Accelerator{Kind: "m1", Slots: 3, BaseTime: 8 * time.Millisecond, PositionLayerTime: 50 * time.Microsecond, MaxLayers: 12}
	smallAccelerator  = engine.Accelerator{Kind: "s1", Slots: 2, BaseTime: 10 * time.Millisecond, PositionLayerTime: 80 * time.Microsecond, MaxLayers: 8}
)

// layerThirds divides the 24 layers of the scenes' models into three stages.
var layerThirds = []spanrill.LayerRange{{From: 0, To: 8}, {From: 8, To: 16}, {From: 16, To: 24}}

// linkDelay returns the delay of the link between two engines: 50 µs within an availability zone,
// 450 µs between zones, and 5 ms between zones if both engines have the smallest accelerator.
func linkDelay(from, to EngineSpec) time.Duration {
	d := 50 * time.Microsecond
	if from.Zone != to.Zone {
		d = 450 * time.Microsecond
	}
	if from.Accelerator.Kind == smallAccelerator.Kind && to.Accelerator.Kind == smallAccelerator.Kind && from.Zone != to.Zone {
		d = 5 * time.Millisecond
	}
	return d
}

// Demo returns the scene of the command "spanrill demo": two daemons, seven engines with three
// kinds of accelerators, and one plain service.
func Demo() Spec {
	s := Spec{
		Model: model.Spec{Name: "apiary-advice", Version: "1", Layers: 24},
		Zones: []string{"hall-un", "hall-deux", "hall-trois"}, ServiceUpstreams: 1, Daemons: 2,
		Accounts:  []AccountSpec{{Name: "rucher", Priority: 5, Weight: 1}},
		ReportLag: 200 * time.Millisecond, LinkDelay: linkDelay, Seed: 1,
	}
	accelerators := []engine.Accelerator{largeAccelerator, mediumAccelerator, largeAccelerator, mediumAccelerator, smallAccelerator, mediumAccelerator, largeAccelerator}
	for i, accelerator := range accelerators {
		s.Engines = append(s.Engines, EngineSpec{
			Name: fmt.Sprintf("engine-%d", i+1), Zone: s.Zones[i%3], Layers: layerThirds[i%3], Accelerator: accelerator,
		})
	}
	return s
}

// Quebec returns a scene similar to Ruchetech's deployment: 42 engines in three availability zones,
// eight daemons, and three upstreams of the service "readings".
func Quebec() Spec {
	s := Spec{
		Model: model.Spec{Name: "apiary-advice", Version: "1", Layers: 24},
		Zones: []string{"hall-un", "hall-deux", "hall-trois"}, ServiceUpstreams: 3, Daemons: 8,
		ReportLag: 500 * time.Millisecond, LinkDelay: linkDelay, Seed: 1,
	}
	for i := range 10 {
		s.Accounts = append(s.Accounts, AccountSpec{Name: fmt.Sprintf("account-%d", i+1), Priority: 5, Weight: 1})
	}
	accelerators := []engine.Accelerator{largeAccelerator, mediumAccelerator, smallAccelerator, mediumAccelerator}
	for i := range 42 {
		s.Engines = append(s.Engines, EngineSpec{
			Name: fmt.Sprintf("engine-%02d", i+1), Zone: s.Zones[i/3%3], Layers: layerThirds[i%3], Accelerator: accelerators[i/3%4],
		})
	}
	return s
}

// accountRequestRate is the limit of each account in Dakar, in requests per second. It is about a
// tenth of what the engines can serve.
const accountRequestRate = 25

// Dakar returns a scene similar to the deployment of the Dakar annex: the fleet of Quebec with
// another model and other zones, and with a request limit for each account.
func Dakar() Spec {
	s := Quebec()
	for i := range s.Accounts {
		s.Accounts[i].RequestsPerSecond = accountRequestRate
	}
	s.Model.Name = "label-reading"
	newNames := map[string]string{"hall-un": "hann", "hall-deux": "plateau", "hall-trois": "fann"}
	for i, z := range s.Zones {
		s.Zones[i] = newNames[z]
	}
	for i := range s.Engines {
		s.Engines[i].Zone = newNames[s.Engines[i].Zone]
	}
	return s
}
