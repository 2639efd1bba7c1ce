package relay

import (
	"sync"

	"spanrill/coordination/chainrouting"
)

// streams are the generations that run, so that all of them can look at once
// when one of them has found a dead engine.
type streams struct {
	mu   sync.Mutex
	all  map[uint64]*generation
	next uint64
}

func newStreams() *streams { return &streams{all: map[uint64]*generation{}} }

// add notes a generation and returns the function that forgets it.
func (s *streams) add(g *generation) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	id := s.next
	s.all[id] = g
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.all, id)
	}
}

// pokeDead makes every generation look at its path whose path has a dead
// engine.
func (s *streams) pokeDead() { s.pokeIf((*chainrouting.Path).HasDead) }

// RecheckDeadPaths makes every generation look at its path whose path has a dead engine.
func (r *Relay) RecheckDeadPaths() { r.streams.pokeDead() }

// pokeGivenUp does so where an engine is to give up what the path runs there.
func (s *streams) pokeGivenUp() { s.pokeIf((*chainrouting.Path).GivenUp) }

func (s *streams) pokeIf(matches func(*chainrouting.Path) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.all {
		path, poke := g.current.Load(), g.poke.Load()
		if path != nil && poke != nil && matches(path) {
			(*poke)()
		}
	}
}
