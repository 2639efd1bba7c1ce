package routing

import (
	"fmt"
	"testing"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/rng"
	"spanrill/state/load"
)

var key = load.ModelKey{Model: "m", Version: "1", Site: "s"}

// newTable returns a table with n engines, each with a third of a model of 24 layers. Every
// fourth engine of a third has four times the slots.
func newTable(n int) (*load.Table, *clock.Manual) {
	c := clock.NewManual()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	t := load.NewTable(c, load.WithLogger(log))
	t.SetSites(func(string) string { return "s" })
	var boxes []spanrill.Box
	for i := range n {
		boxes = append(boxes, spanrill.Box{
			Name: fmt.Sprintf("e%05d", i), Role: spanrill.RoleEngine, Addr: fmt.Sprintf("127.0.0.1:%d", i), Zone: fmt.Sprint(i % 2),
		})
	}
	t.SetBoxes(boxes)
	var reports []load.Report
	for i, b := range boxes {
		from := i % 3 * 8
		slots := 4
		if i/3%4 == 0 {
			slots = 16
		}
		reports = append(reports, load.Report{Name: b.Name, Status: spanrill.UpstreamStatus{
			Model: "m", Version: "1", Layers: spanrill.LayerRange{From: from, To: from + 8},
			Slots: slots, StepMicros: 8000, Generation: 1,
		}})
	}
	t.RecordReports(reports)
	return t, c
}

func allPolicies() []Policy {
	return []Policy{NewLeastWork(rng.New(1)), NewRandom(rng.New(1)), NewRoundRobin(), NewLeastInFlight()}
}

// coversAllLayers reports whether a chain runs all layers in order.
func coversAllLayers(chain []*load.Upstream) bool {
	layer := 0
	for _, u := range chain {
		if u.Layers().From != layer {
			return false
		}
		layer = u.Layers().To
	}
	return layer == 24
}

func TestEveryPolicyChoosesCompleteChains(t *testing.T) {
	tab, c := newTable(42)
	for _, p := range allPolicies() {
		r := New(c, WithPolicy(p))
		for range 200 {
			chain, ok := r.Choose(tab.View().Model(key), &Query{Layers: 24}, nil)
			if !ok || !coversAllLayers(chain) {
				t.Fatalf("%s chose %v, want a chain of all 24 layers", p.Name(), chain)
			}
		}
	}
}

func TestLeastWorkChoosesInProportionToSpeed(t *testing.T) {
	tab, c := newTable(42)
	r := New(c, WithPolicy(NewLeastWork(rng.New(1))))
	count := map[string]int{}
	for range 300 {
		chain, _ := r.Choose(tab.View().Model(key), &Query{Layers: 24}, nil)
		for _, u := range chain {
			u.Begin()
			count[u.Name()]++
		}
	}
	fast, slow := count["e00000"], count["e00003"]
	if ratio := float64(fast) / float64(slow); ratio < 3 || ratio > 5 {
		t.Errorf("an engine with four times the slots got %d requests, another one %d; want a ratio of 3 to 5", fast, slow)
	}
}

func TestFailedUpstreamsAreSkipped(t *testing.T) {
	tab, c := newTable(6)
	ejected := tab.Upstream("e00000")
	r := New(c)
	ejected.RecordFailure(c.Now())
	for range 50 {
		chain, _ := r.Choose(tab.View().Model(key), &Query{Layers: 24}, nil)
		if contains(chain, ejected) {
			t.Fatal("an ejected engine was chosen although another one is usable")
		}
	}
	// The only engine of a stage is tried although it is ejected, but not if it has failed this
	// request.
	other := tab.Upstream("e00003")
	if _, ok := r.Choose(tab.View().Model(key), &Query{Layers: 24, Exclude: []*load.Upstream{other}}, nil); !ok {
		t.Fatal("the ejected engine was not tried although it is the only one of its stage")
	}
	if _, ok := r.Choose(tab.View().Model(key), &Query{Layers: 24, Exclude: []*load.Upstream{ejected, other}}, nil); ok {
		t.Fatal("a chain was found although no engine of the first stage is usable")
	}
}

// Each further failure ejects an upstream for longer, up to a limit, and after an ejection its share
// of the requests recovers gradually.
func TestEjectionGrowsAndShareRecovers(t *testing.T) {
	tab, c := newTable(6)
	u := tab.Upstream("e00000")
	previous := spanrill.Millis(0)
	for range 12 {
		if !u.RecordFailure(c.Now()) {
			t.Fatal("a failure after the ejection had ended did not eject again")
		}
		if u.RecordFailure(c.Now()) {
			t.Fatal("a failure during the ejection ejected again")
		}
		started := c.Now()
		for u.Ejected(c.Now()) {
			c.Advance(100)
		}
		if duration := c.Now() - started; duration < previous || duration > 31*spanrill.Second {
			t.Fatalf("ejected for %d ms after %d ms, want no less, and at most 31 s", duration, previous)
		} else {
			previous = duration
		}
		if u.RampShare(c.Now()) > 0.2 {
			t.Fatal("the share of requests exceeds 0.2 directly after the ejection")
		}
	}
	c.Advance(10 * spanrill.Second)
	u.RecordSuccess(c.Now())
	if u.RampShare(c.Now()) != 1 {
		t.Fatal("the share of requests is not 1 within 10 s after the ejection")
	}
}

func TestSlowEngineIsSkippedAndSlowdownDecays(t *testing.T) {
	tab, c := newTable(6)
	u := tab.Upstream("e00000")
	r := New(c)
	for range 40 {
		u.RecordStep(c.Now(), 80_000)
	}
	if u.Slowdown(c.Now()) < 5 {
		t.Fatalf("slowdown is %.1f, want at least 5", u.Slowdown(c.Now()))
	}
	for range 20 {
		chain, _ := r.Choose(tab.View().Model(key), &Query{Layers: 24}, nil)
		if contains(chain, u) {
			t.Fatal("the slow engine was chosen although another one is usable")
		}
	}
	c.Advance(spanrill.Minute)
	if u.Slowdown(c.Now()) > 1.1 {
		t.Fatal("slowdown did not decay to 1.1 within a minute")
	}
}

func TestChooseDoesNotAllocate(t *testing.T) {
	tab, c := newTable(3600)
	r := New(c)
	index := tab.View().Model(key)
	q := &Query{Layers: 24}
	buf := make([]*load.Upstream, 0, 8)
	if n := testing.AllocsPerRun(100, func() { _, _ = r.Choose(index, q, buf) }); n != 0 {
		t.Fatalf("Choose made %.0f allocations, want 0", n)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{42, 3600} {
		b.Run(fmt.Sprintf("%d_engines", n), func(b *testing.B) {
			tab, c := newTable(n)
			r := New(c)
			index := tab.View().Model(key)
			buf, q := make([]*load.Upstream, 0, 8), &Query{Layers: 24}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := r.Choose(index, q, buf); !ok {
					b.Fatal("no chain")
				}
			}
		})
	}
}
