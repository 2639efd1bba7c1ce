package load

import (
	"sort"
	"sync/atomic"
)

// ModelKey identifies a version of a model at a site.
type ModelKey struct {
	Model   string
	Version string
	Site    string
}

// ServiceKey identifies a plain service at a site.
type ServiceKey struct {
	Service string
	Site    string
}

// View is an immutable index of the upstreams that may get new work.
type View struct {
	models   map[ModelKey]*ModelIndex
	services map[ServiceKey][]*Upstream
}

// Model returns the index of a model's engines, or nil.
func (v *View) Model(k ModelKey) *ModelIndex { return v.models[k] }

// Services returns the upstreams of a service, sorted by name. Callers must not modify the slice.
func (v *View) Services(k ServiceKey) []*Upstream { return v.services[k] }

// Models returns the index of each model. Callers must not modify the map.
func (v *View) Models() map[ModelKey]*ModelIndex { return v.models }

// newView indexes upstreams by model and by service.
func newView(accepting []*Upstream, siteOf func(string) string) *View {
	v := &View{models: map[ModelKey]*ModelIndex{}, services: map[ServiceKey][]*Upstream{}}
	sort.Slice(accepting, func(i, j int) bool { return accepting[i].name < accepting[j].name })
	for _, u := range accepting {
		site := siteOf(u.zone)
		if u.service != "" {
			k := ServiceKey{Service: u.service, Site: site}
			v.services[k] = append(v.services[k], u)
			continue
		}
		v.addEngine(u, site)
	}
	return v
}

// addEngine adds an engine to the index of its model unless it is loading or holds no layers.
func (v *View) addEngine(u *Upstream, site string) {
	r := u.report.Load()
	if r == nil || r.Loading || r.Model == "" || r.Layers.Len() <= 0 || r.Layers.From < 0 {
		return
	}
	k := ModelKey{Model: r.Model, Version: r.Version, Site: site}
	index := v.models[k]
	if index == nil {
		index = &ModelIndex{}
		v.models[k] = index
	}
	index.add(u, r.Layers.From)
}

// ModelIndex holds the engines of one model by the first layer that they hold.
type ModelIndex struct {
	engines      []*Upstream
	byFirstLayer [][]*Upstream
	reachability atomic.Pointer[Reachability]
}

func (x *ModelIndex) add(u *Upstream, from int) {
	for len(x.byFirstLayer) <= from {
		x.byFirstLayer = append(x.byFirstLayer, nil)
	}
	x.byFirstLayer[from] = append(x.byFirstLayer[from], u)
	x.engines = append(x.engines, u)
}

// Engines returns all engines of the model. Callers must not modify the slice.
func (x *ModelIndex) Engines() []*Upstream { return x.engines }

// StartingAt returns the engines whose first layer is the given one. Callers must not modify the
// slice.
func (x *ModelIndex) StartingAt(layer int) []*Upstream {
	if layer >= len(x.byFirstLayer) {
		return nil
	}
	return x.byFirstLayer[layer]
}

// ReachableLayers returns for each layer whether a chain of engines leads from it to the end of a model
// with the given number of layers. The last element, for the end itself, is true.
func (x *ModelIndex) ReachableLayers(layers int) []bool {
	reachesEnd := make([]bool, layers+1)
	reachesEnd[layers] = true
	for from := layers - 1; from >= 0; from-- {
		for _, u := range x.StartingAt(from) {
			to := u.Layers().To
			if to <= layers && to > from && reachesEnd[to] {
				reachesEnd[from] = true
				break
			}
		}
	}
	return reachesEnd
}

// Reachability records from which layers a chain of engines leads to the end of a model.
type Reachability struct {
	layers     int
	reachesEnd []bool
}

// ReachesEnd reports whether a chain of engines leads from a layer to the model's end.
func (r *Reachability) ReachesEnd(layer int) bool {
	return layer <= r.layers && r.reachesEnd[layer]
}

// Reachability returns from which layers a chain of engines leads to the end of a model with the given
// number of layers. The index caches the result for the last number of layers asked for.
func (x *ModelIndex) Reachability(layers int) *Reachability {
	if r := x.reachability.Load(); r != nil && r.layers == layers {
		return r
	}
	r := &Reachability{layers: layers, reachesEnd: x.ReachableLayers(layers)}
	x.reachability.Store(r)
	return r
}

// MinStages returns the minimum number of stages of a chain for a model with the given number of
// layers. If the engines don't cover all layers, it counts the stages up to the gap, at least 1.
func (x *ModelIndex) MinStages(layers int) int {
	n := 0
	for layer := 0; layer < layers; n++ {
		furthest := layer
		for _, u := range x.StartingAt(layer) {
			if to := u.Layers().To; to <= layers {
				furthest = max(furthest, to)
			}
		}
		if furthest == layer {
			return max(1, n)
		}
		layer = furthest
	}
	return n
}
