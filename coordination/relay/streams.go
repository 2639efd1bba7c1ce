package relay

import (
	"sync"

	"spanrill/coordination/chainrouting"
)

// runningGenerations holds all running generations, so that all of them can check their paths when
// one has found a dead engine.
type runningGenerations struct {
	mu     sync.Mutex
	all    map[uint64]*generation
	nextID uint64
}

func newRunningGenerations() *runningGenerations {
	return &runningGenerations{all: map[uint64]*generation{}}
}

// add registers a generation and returns the function that removes it.
func (rg *runningGenerations) add(g *generation) func() {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.nextID++
	id := rg.nextID
	rg.all[id] = g
	return func() {
		rg.mu.Lock()
		defer rg.mu.Unlock()
		delete(rg.all, id)
	}
}

// checkDeadPaths makes each generation with a dead engine on its path check that path now.
func (rg *runningGenerations) checkDeadPaths() { rg.checkPaths((*chainrouting.Path).HasDeadEngine) }

// RecheckDeadPaths makes each request with a dead engine on its path check that path now.
func (r *Relay) RecheckDeadPaths() { r.generations.checkDeadPaths() }

// checkVacatedPaths makes each generation with an engine that is to give up layers of its path
// check that path now.
func (rg *runningGenerations) checkVacatedPaths() { rg.checkPaths((*chainrouting.Path).LosesLayers) }

// checkPaths runs onSilence immediately for each generation whose path matches.
func (rg *runningGenerations) checkPaths(matches func(*chainrouting.Path) bool) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	for _, g := range rg.all {
		path, checkNow := g.sharedPath.Load(), g.checkNow.Load()
		if path != nil && checkNow != nil && matches(path) {
			(*checkNow)()
		}
	}
}
