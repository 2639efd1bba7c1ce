package reach

import (
	"fmt"
	"slices"
)

// fleetCase is a case of trouble in a fleet. It returns the daemons that have no path at the end, and
// the others.
type fleetCase struct {
	name string
	play func(f *simFleet) (cut, others []*simDaemon)
}

// cutCases are the ways in which daemons lose their paths.
var cutCases = []fleetCase{
	{"a zone", func(f *simFleet) (cut, others []*simDaemon) {
		cut, others = f.zone("z1")
		f.cut(simSilent, cut)
		return cut, others
	}},
	{"all but one", func(f *simFleet) (cut, others []*simDaemon) {
		cut, others = f.daemons[1:], f.daemons[:1]
		f.cut(simSilent, cut)
		return cut, others
	}},
	{"two services at different daemons", func(f *simFleet) (cut, others []*simDaemon) {
		cut, others = f.picked(0.5)
		f.cut(simSilent, cut, simServices[0])
		f.cut(simReset, others, simServices[1])
		return f.daemons, f.daemons
	}},
	{"reset", func(f *simFleet) (cut, others []*simDaemon) {
		cut, others = f.picked(0.6)
		f.cut(simReset, cut)
		return cut, others
	}},
	{"lossy", func(f *simFleet) (cut, others []*simDaemon) {
		cut, others = f.picked(0.6)
		f.cut(simLossy, cut)
		return cut, others
	}},
	{"in series", func(f *simFleet) (cut, others []*simDaemon) {
		for range 4 {
			cut, others = f.picked(0.6)
			f.cut(simSilent, cut)
			f.cut(simWhole, others)
			f.send(700, callInterval)
		}
		return cut, others
	}},
	{"overlapping", func(f *simFleet) (cut, others []*simDaemon) {
		first, _ := f.picked(0.4)
		f.cut(simReset, first)
		f.send(700, callInterval)
		cut, others = f.picked(0.8)
		f.cut(simSilent, cut)
		f.cut(simWhole, others)
		return cut, others
	}},
}

// troubleCases are what happens to helpers and other daemons while most of a fleet has no path. Those
// that are killed or frozen serve no callers.
var troubleCases = []fleetCase{
	{"helpers are killed", func(f *simFleet) (cut, others []*simDaemon) {
		cut, others = f.cutMost()
		for _, d := range others[:len(others)/2] {
			d.kill()
		}
		return cut, others[len(others)/2:]
	}},
	{"helpers are frozen", func(f *simFleet) (cut, others []*simDaemon) {
		cut, others = f.cutMost()
		f.set(func() {
			for _, d := range others[:len(others)/2] {
				d.frozen = true
			}
		})
		return cut, others[len(others)/2:]
	}},
	{"helpers are stopped", func(f *simFleet) (cut, others []*simDaemon) {
		cut, others = f.cutMost()
		f.set(func() {
			for _, d := range others[:len(others)/2] {
				d.leaving = true
			}
		})
		return cut, others
	}},
	{"helpers are slow", func(f *simFleet) (cut, others []*simDaemon) {
		cut, others = f.cutMost()
		f.set(func() {
			for _, d := range others[:len(others)/2] {
				d.delay = 60
			}
		})
		return cut, others
	}},
	{"helpers are cut off from peers", func(f *simFleet) (cut, others []*simDaemon) {
		cut, others = f.cutMost()
		f.set(func() {
			for _, d := range others[:len(others)/2] {
				d.island = 1
			}
		})
		return cut, others
	}},
	{"cut off from half of the peers", func(f *simFleet) (cut, others []*simDaemon) {
		cut, others = f.cutMost()
		f.set(func() {
			for i, d := range append(slices.Clone(cut), others...) {
				d.island = i % 2
			}
		})
		return cut, others
	}},
	{"the fleet restarts", func(f *simFleet) (cut, others []*simDaemon) {
		f.cutMost()
		old := f.daemons
		f.set(func() { f.daemons = nil })
		for i, d := range old {
			d.kill()
			started := f.start(fmt.Sprint(d.name, "/2"), d.zone)
			f.set(func() { started.cuts = d.cuts })
			if i%10 == 0 {
				others = append(others, started)
				f.set(func() { started.cuts = map[string]simCut{} })
				continue
			}
			f.cut(simSilent, []*simDaemon{started})
			cut = append(cut, started)
		}
		f.introduceAll()
		return cut, others
	}},
	{"daemons that have just joined and know three others", func(f *simFleet) (cut, others []*simDaemon) {
		old, others := f.cutMost()
		for i := range 5 {
			d := f.start(fmt.Sprint("new", i), "z0")
			f.set(func() { d.known = old[3*i : 3*i+3] })
			cut = append(cut, d)
		}
		f.cut(simSilent, cut)
		return cut, others
	}},
}

// zone returns the daemons of an availability zone, and the others.
func (f *simFleet) zone(name string) (in, others []*simDaemon) {
	for _, d := range f.daemons {
		if d.zone == name {
			in = append(in, d)
			continue
		}
		others = append(others, d)
	}
	return in, others
}

// cutMost cuts most daemons off from all upstreams and lets them find helpers.
func (f *simFleet) cutMost() (cut, others []*simDaemon) {
	cut, others = f.picked(0.85)
	f.cut(simSilent, cut)
	f.send(learnTime, callInterval)
	return cut, others
}
