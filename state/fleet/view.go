package fleet

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable index of the upstreams at one moment.
type View struct {
	version   uint64
	byID      map[string]*Upstream
	byAddr    map[string]*Upstream
	byKey     map[uint32]*Upstream
	byService map[string][]*Upstream
}

// newView indexes upstreams, which are given by name.
func newView(all map[string]*Upstream) View {
	v := View{
		byID: make(map[string]*Upstream, len(all)), byAddr: make(map[string]*Upstream, len(all)),
		byKey: make(map[uint32]*Upstream, len(all)), byService: map[string][]*Upstream{},
	}
	for _, u := range all {
		v.byID[u.ID()] = u
		v.byAddr[u.Addr()] = u
		if _, twice := v.byKey[u.Key()]; twice {
			v.byKey[u.Key()] = nil
		} else {
			v.byKey[u.Key()] = u
		}
		v.byService[u.Service()] = append(v.byService[u.Service()], u)
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID(), b.ID()) })
	}
	return v
}

// Version returns a number that rises with each view of a table.
func (v *View) Version() uint64 { return v.version }

// ByService returns the upstreams of a service, sorted by id.
func (v *View) ByService(service string) []*Upstream { return v.byService[service] }

// ByID returns the upstream with an id, or nil.
func (v *View) ByID(id string) *Upstream { return v.byID[id] }

// ByAddr returns the upstream at an address, or nil.
func (v *View) ByAddr(addr string) *Upstream { return v.byAddr[addr] }

// ByKey returns the upstream with a key, as used in messages between daemons, or nil. If two upstreams
// share a key, as happens in one of a thousand fleets of 2,922 engines, neither is found: otherwise an
// order to one of them would be applied to the other.
func (v *View) ByKey(key uint32) *Upstream { return v.byKey[key] }

// Each calls f for every upstream, in no particular order.
func (v *View) Each(f func(*Upstream)) {
	for _, u := range v.byID {
		f(u)
	}
}

// KeyOf returns the key of the upstream with an id in messages between daemons. It leaves out a
// restart count in the id, which each daemon counts for itself.
func KeyOf(id string) uint32 {
	shared, _, _ := strings.Cut(id, restartSeparator)
	return uint32(xxhash.Sum64String(shared))
}
