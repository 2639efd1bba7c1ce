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
func (s *runningGenerations) add(g *generation) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	s.all[id] = g
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.all, id)
	}
}

// checkDeadPaths makes each generation with a dead engine on its path check that path now.
func (s *runningGenerations) checkDeadPaths() { s.checkPaths((*chainrouting.Path).HasDead) }

// RecheckDeadPaths makes each request with a dead engine on its path check that path now.
func (r *Relay) RecheckDeadPaths() { r.generations.checkDeadPaths() }

// checkVacatedPaths does the same for paths with an engine that is to give up layers of the path.
func (s *runningGenerations) checkVacatedPaths() { s.checkPaths((*chainrouting.Path).LosesLayers) }

func (s *runningGenerations) checkPaths(matches func(*chainrouting.Path) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.all {
		path, checkNow := g.sharedPath.Load(), g.checkNow.Load()
		if path != nil && checkNow != nil && matches(path) {
			(*checkNow)()
		}
	}
}
