package fleet

import "sort"

// View is the upstreams at one moment. It is not changed after it was made.
type View struct {
	version   uint64
	byID      map[string]*Upstream
	byAddr    map[string]*Upstream
	byService map[string][]*Upstream
}

// Version rises with each view of a table.
func (v *View) Version() uint64 { return v.version }

// Of returns the upstreams of a service in the order of their ids.
func (v *View) Of(service string) []*Upstream { return v.byService[service] }

// ByID returns an upstream, or nil.
func (v *View) ByID(id string) *Upstream { return v.byID[id] }

// ByAddr returns the upstream at an address, or nil.
func (v *View) ByAddr(addr string) *Upstream { return v.byAddr[addr] }

// Each calls f for every upstream.
func (v *View) Each(f func(*Upstream)) {
	for _, u := range v.byID {
		f(u)
	}
}

func (v *View) sort() {
	for _, list := range v.byService {
		sort.Slice(list, func(i, k int) bool { return list[i].ID() < list[k].ID() })
	}
}
