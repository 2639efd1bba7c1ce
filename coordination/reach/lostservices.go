package reach

import (
	"cmp"
	"slices"

	"spanrill"
)

// LostService is a service to whose upstreams this daemon has lost its path.
type LostService struct {
	Service string
	For     spanrill.Millis // how long
	Helped  map[string]int  // connections since then by name of the helper
	Denied  int             // helpers that answered since then that they cannot help
}

// lostServices returns the services whose paths are lost, sorted by name.
func (p *paths) lostServices() []LostService {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []LostService
	for name, s := range p.services {
		if !s.cut {
			continue
		}
		helped := make(map[string]int, len(s.helped))
		for helper, n := range s.helped {
			helped[helper] = n
		}
		all = append(all, LostService{Service: name, For: p.clock.Now() - s.cutSince, Helped: helped, Denied: s.denied})
	}
	slices.SortFunc(all, func(a, b LostService) int { return cmp.Compare(a.Service, b.Service) })
	return all
}
