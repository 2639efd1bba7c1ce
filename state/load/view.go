package load

import (
	"sort"
	"sync/atomic"
)

// ModelKey names a model at a site.
type ModelKey struct {
	Model   string
	Version string
	Site    string
}

// ServiceKey names a plain service at a site.
type ServiceKey struct {
	Service string
	Site    string
}

// View is an immutable index of the upstreams that may get new work.
type View struct {
	models   map[ModelKey]*ModelIndex
	services map[ServiceKey][]*Upstream
}

// Model returns the engines of a model, or nil.
func (v *View) Model(k ModelKey) *ModelIndex { return v.models[k] }

// Services returns the upstreams of a service. The slice must not be changed.
func (v *View) Services(k ServiceKey) []*Upstream { return v.services[k] }

// Models returns the index of each model. The map must not be changed.
func (v *View) Models() map[ModelKey]*ModelIndex { return v.models }

func newView(usable []*Upstream, siteOf func(string) string) *View {
	v := &View{models: map[ModelKey]*ModelIndex{}, services: map[ServiceKey][]*Upstream{}}
	sort.Slice(usable, func(i, k int) bool { return usable[i].name < usable[k].name })
	for _, u := range usable {
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

func (v *View) addEngine(u *Upstream, site string) {
	r := u.reported.Load()
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

// ModelIndex holds the engines of one model by the first layer they hold.
type ModelIndex struct {
	engines []*Upstream
	from    [][]*Upstream
	ways    atomic.Pointer[Ways]
}

func (x *ModelIndex) add(u *Upstream, from int) {
	for len(x.from) <= from {
		x.from = append(x.from, nil)
	}
	x.from[from] = append(x.from[from], u)
	x.engines = append(x.engines, u)
}

// Engines returns all engines of the model. The slice must not be changed.
func (x *ModelIndex) Engines() []*Upstream { return x.engines }

// From returns the engines whose first layer is given. The slice must not be
// changed.
func (x *ModelIndex) From(layer int) []*Upstream {
	if layer >= len(x.from) {
		return nil
	}
	return x.from[layer]
}

// Reaches returns, for each layer, whether chains of engines lead from it to
// the model's end.
func (x *ModelIndex) Reaches(layers int) []bool {
	reaches := make([]bool, layers+1)
	reaches[layers] = true
	for from := layers - 1; from >= 0; from-- {
		for _, u := range x.From(from) {
			to := u.Layers().To
			if to <= layers && to > from && reaches[to] {
				reaches[from] = true
				break
			}
		}
	}
	return reaches
}

// Ways says from which layers chains lead to the end of a model.
type Ways struct {
	layers  int
	reaches []bool
}

// Open reports whether chains lead from the layer to the model's end.
func (w *Ways) Open(layer int) bool {
	return layer <= w.layers && w.reaches[layer]
}

// Ways returns from which layers chains lead to the end of a model with that
// many layers. It is computed once for each index.
func (x *ModelIndex) Ways(layers int) *Ways {
	if w := x.ways.Load(); w != nil && w.layers == layers {
		return w
	}
	w := &Ways{layers: layers, reaches: x.Reaches(layers)}
	x.ways.Store(w)
	return w
}

// Stages returns how many stages a chain of the model has at least.
func (x *ModelIndex) Stages(layers int) int {
	n := 0
	for layer := 0; layer < layers; n++ {
		furthest := layer
		for _, u := range x.From(layer) {
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
