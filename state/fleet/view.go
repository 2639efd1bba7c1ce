package fleet

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// View is the upstreams at one moment. It is not changed after it was made.
type View struct {
	version   uint64
	byID      map[string]*Upstream
	byAddr    map[string]*Upstream
	byKey     map[uint32]*Upstream
	byService map[string][]*Upstream
}

// newView returns a view of upstreams by their names.
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

// Version rises with each view of a table.
func (v *View) Version() uint64 { return v.version }

// Of returns the upstreams of a service in the order of their ids.
func (v *View) Of(service string) []*Upstream { return v.byService[service] }

// ByID returns an upstream, or nil.
func (v *View) ByID(id string) *Upstream { return v.byID[id] }

// ByAddr returns the upstream at an address, or nil.
func (v *View) ByAddr(addr string) *Upstream { return v.byAddr[addr] }

// ByKey returns the upstream that messages between daemons name so, or nil. Of two with one
// key, which one in a thousand fleets of 2,922 engines has, neither is found: an order to
// one of them would be taken for one to the other.
func (v *View) ByKey(key uint32) *Upstream { return v.byKey[key] }

// Each calls f for every upstream.
func (v *View) Each(f func(*Upstream)) {
	for _, u := range v.byID {
		f(u)
	}
}

// KeyOf returns the key by which messages between daemons name the upstream of an id. Starts
// that a daemon has counted itself are no part of what all daemons know an upstream by.
func KeyOf(id string) uint32 {
	shared, _, _ := strings.Cut(id, startsMark)
	return uint32(xxhash.Sum64String(shared))
}
