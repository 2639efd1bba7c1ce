package admission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"spanrill"
)

// demandPart is the demand of one account in one class.
type demandPart struct {
	account    string
	class      spanrill.Class
	perSecond  float64
	inBurst    float64         // requests per second during the burst
	target     spanrill.Millis // latency target, of which firstEvent is needed after the start
	givesUp    spanrill.Millis // how long callers wait at most, 0 for as long as it takes
	nextArrive float64
}

const (
	firstEvent           = 200 * spanrill.Millis(1)
	burstFrom            = 4 * spanrill.Second
	burstTo              = 20 * spanrill.Second
	longBurstTo          = 80 * spanrill.Second
	calmAfter            = 4 * spanrill.Second
	urgentTarget         = 500 * spanrill.Millis(1)
	patientTarget        = spanrill.Second
	urgent, mid, patient = spanrill.Class(0), spanrill.Class(1), spanrill.Class(2)
)

// outcome counts what happened to requests.
type outcome struct {
	arrived, started, refused, dropped, gaveUp int
	late                                       int             // dropped at the latest start, while others were before it
	lostWait                                   spanrill.Millis // sum over the dropped
}

func (o *outcome) served() float64 { return float64(o.started) / float64(max(1, o.arrived)) }

func (o *outcome) add(other outcome) {
	o.arrived += other.arrived
	o.started += other.started
	o.refused += other.refused
	o.dropped += other.dropped
	o.gaveUp += other.gaveUp
	o.late += other.late
	o.lostWait += other.lostWait
}

func (o *outcome) String() string {
	return fmt.Sprintf("arrived %d served %.3f refused %d dropped %d (late %d, mean wait %d ms) gave up %d",
		o.arrived, o.served(), o.refused, o.dropped, o.late, o.lostWait/spanrill.Millis(max(1, o.dropped)), o.gaveUp)
}

// waitingCaller is what the play remembers of a waiting request.
type waitingCaller struct {
	entry   spanrill.LineEntry
	arrived spanrill.Millis
	givesUp spanrill.Millis // time, 0 for never
}

// lineLoad plays callers against a line whose server starts requests at a fixed rate.
type lineLoad struct {
	line    *Line
	chance  *rand.Rand
	rate    func(spanrill.Millis) float64
	room    float64
	waiting map[uint64]waitingCaller
	lastID  uint64
	next    uint64              // id of the request that was to start next
	results map[string]*outcome // by class and by account
	burstTo spanrill.Millis
	idle    int // steps with room while a request waited
}

func newLineLoad(seed uint64, rate func(spanrill.Millis) float64) *lineLoad {
	return &lineLoad{
		line: NewLine(), chance: rand.New(rand.NewPCG(seed, 1)), rate: rate,
		burstTo: burstTo, waiting: map[uint64]waitingCaller{}, results: map[string]*outcome{},
	}
}

func classKey(c spanrill.Class) string { return fmt.Sprintf("class %d", c) }

func (p *lineLoad) result(key string) *outcome {
	if p.results[key] == nil {
		p.results[key] = &outcome{}
	}
	return p.results[key]
}

// count counts an outcome of a request by the time of its arrival.
func (p *lineLoad) count(e spanrill.LineEntry, arrived spanrill.Millis, o outcome) {
	p.result(classKey(e.Class)).add(o)
	if p.settled(arrived) {
		p.result("settled " + classKey(e.Class)).add(o)
		p.result("settled").add(o)
	}
	p.result(e.Account).add(o)
	p.result("all").add(o)
}

// settled reports whether the load has been the same for a second in the burst, or for half a minute
// in a long one.
func (p *lineLoad) settled(now spanrill.Millis) bool {
	return now > max(burstFrom+spanrill.Second, p.burstTo-longBurstTo/2) && now <= p.burstTo
}

func (p *lineLoad) run(parts []demandPart) {
	for now := spanrill.Millis(1); now <= p.burstTo+calmAfter; now++ {
		p.line.SetRate(p.rate(now))
		p.room += p.rate(now) / float64(spanrill.Second)
		p.giveUp(now)
		p.start(now)
		for i := range parts {
			p.arrive(now, &parts[i])
		}
		p.start(now)
		p.drop(now, p.line.Drop(now))
		if next, ok := p.line.Next(now, nil); ok {
			p.next = next.ID
		}
		if p.room >= 1 && p.line.Len() > 0 {
			p.idle++
		}
		p.room = min(1, p.room)
	}
}

func (p *lineLoad) arrive(now spanrill.Millis, d *demandPart) {
	perSecond := d.perSecond
	if now > burstFrom && now <= p.burstTo {
		perSecond = d.inBurst
	}
	for d.nextArrive -= perSecond / float64(spanrill.Second); d.nextArrive <= 0; d.nextArrive += p.chance.ExpFloat64() {
		p.lastID++
		e := spanrill.LineEntry{ID: p.lastID, Class: d.class, Account: d.account, LatestStart: now + d.target - firstEvent}
		p.count(e, now, outcome{arrived: 1})
		if p.line.Len() == 0 && p.room >= 1 {
			p.room--
			p.line.Start(now, e)
			p.count(e, now, outcome{started: 1})
			continue
		}
		ok, dropped := p.line.Enter(now, e)
		p.drop(now, dropped)
		if !ok {
			p.count(e, now, outcome{refused: 1})
			continue
		}
		w := waitingCaller{entry: e, arrived: now}
		if d.givesUp > 0 {
			w.givesUp = now + d.givesUp
		}
		p.waiting[e.ID] = w
	}
}

func (p *lineLoad) start(now spanrill.Millis) {
	for p.room >= 1 {
		e, ok := p.line.Next(now, nil)
		if !ok {
			return
		}
		p.line.Start(now, e)
		p.room--
		p.count(e, p.waiting[e.ID].arrived, outcome{started: 1})
		delete(p.waiting, e.ID)
	}
}

func (p *lineLoad) drop(now spanrill.Millis, dropped []spanrill.LineEntry) {
	for _, e := range dropped {
		o := outcome{dropped: 1, lostWait: now - p.waiting[e.ID].arrived}
		if now > e.LatestStart && p.next != e.ID {
			o.late = 1
		}
		p.count(e, p.waiting[e.ID].arrived, o)
		delete(p.waiting, e.ID)
	}
}

func (p *lineLoad) giveUp(now spanrill.Millis) {
	for _, id := range slices.Sorted(maps.Keys(p.waiting)) {
		w := p.waiting[id]
		if w.givesUp > 0 && now >= w.givesUp {
			p.line.Remove(id)
			p.count(w.entry, w.arrived, outcome{gaveUp: 1})
			delete(p.waiting, id)
		}
	}
}

// mixed returns the demand of two accounts in each of three classes, as parts of the start rate.
// Burst holds the parts of the classes during the burst.
func mixed(rate, calm float64, burst [3]float64, givesUp bool) []demandPart {
	var parts []demandPart
	for class, inBurst := range burst {
		for _, account := range []string{"a", "b"} {
			d := demandPart{account: account, class: spanrill.Class(class), perSecond: rate * calm / 6, inBurst: rate * inBurst / 2, target: urgentTarget}
			if d.class == patient {
				d.target = patientTarget
			}
			if givesUp {
				d.givesUp = d.target / 2
			}
			parts = append(parts, d)
		}
	}
	return parts
}

func constantRate(perSecond float64) func(spanrill.Millis) float64 {
	return func(spanrill.Millis) float64 { return perSecond }
}

// Guards against urgent classes that fare worse than patient ones, against starved classes, against
// requests that wait in vain, and against room that is idle while requests wait.
func TestLineServesClassesUnderLoad(t *testing.T) {
	const rate = 300
	collapse := func(now spanrill.Millis) float64 {
		if now > burstFrom {
			return 20 // one chain is left
		}
		return rate
	}
	for _, c := range []struct {
		name    string
		rate    func(spanrill.Millis) float64
		parts   []demandPart
		burstTo spanrill.Millis
	}{
		{"calm", constantRate(rate), mixed(rate, 0.8, [3]float64{0.3, 0.3, 0.2}, false), burstTo},
		{"patient burst", constantRate(rate), mixed(rate, 0.8, [3]float64{0.3, 0.3, 1}, false), burstTo},
		{"urgent burst", constantRate(rate), mixed(rate, 0.8, [3]float64{1, 0.3, 0.2}, false), burstTo},
		{"strong urgent burst", constantRate(rate), mixed(rate, 0.8, [3]float64{2, 0.3, 0.2}, false), burstTo},
		{"all burst", constantRate(rate), mixed(rate, 0.8, [3]float64{0.6, 0.6, 0.6}, false), burstTo},
		{"callers give up", constantRate(rate), mixed(rate, 0.8, [3]float64{0.6, 0.5, 0.4}, true), burstTo},
		{"one chain left", collapse, mixed(rate, 0.8, [3]float64{0.3, 0.3, 0.2}, false), burstTo},
		{"long urgent burst", constantRate(rate), mixed(rate, 0.8, [3]float64{1, 0.3, 0.2}, false), longBurstTo},
		{"one chain left for long", collapse, mixed(rate, 0.8, [3]float64{0.3, 0.3, 0.2}, false), longBurstTo},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newLineLoad(1, c.rate)
			p.burstTo = c.burstTo
			p.run(c.parts)
			p.checkClasses(t)
			if late := p.result("all").late; late > 0 {
				t.Errorf("%d requests waited until their latest start and were dropped", late)
			}
			if o := p.result("settled"); o.dropped*10 > o.dropped+o.refused {
				t.Errorf("%d requests were dropped after a wait, want nine in ten of those not served refused at once", o.dropped)
			}
			if p.idle > 0 {
				t.Errorf("room was idle in %d steps while requests waited", p.idle)
			}
		})
	}
}

// checkClasses checks the order of the classes, and the part that each class keeps.
func (p *lineLoad) checkClasses(t *testing.T) {
	t.Helper()
	all := p.result("all").served()
	for class := urgent; class <= patient; class++ {
		t.Logf("class %d: %v", class, p.result(classKey(class)))
		t.Logf("  settled: %v", p.result("settled "+classKey(class)))
		served := p.result(classKey(class)).served()
		if served < minClassShare*all {
			t.Errorf("class %d was served %.3f, want at least half of %.3f", class, served, all)
		}
		if inBurst := p.result("settled " + classKey(class)).served(); p.burstTo == longBurstTo && inBurst < minClassShare*p.result("settled").served() {
			t.Errorf("class %d was served %.3f in the burst, want at least half of %.3f", class, inBurst, p.result("settled").served())
		}
		if class == urgent {
			continue
		}
		served, better := p.result("settled "+classKey(class)).served(), p.result("settled "+classKey(class-1)).served()
		if better < served {
			t.Errorf("class %d was served %.3f in the burst, less than class %d with %.3f", class-1, better, class, served)
		}
	}
}

// Guards against an account that sends many requests and takes the room of others, also if its
// requests are mostly refused at once.
func TestLineServesAccountsDespiteAFlood(t *testing.T) {
	const rate = 300
	for _, flood := range []float64{1, 10} {
		t.Run(fmt.Sprintf("%v times the rate", flood), func(t *testing.T) {
			parts := []demandPart{{account: "flood", class: mid, perSecond: 0.1 * rate, inBurst: flood * rate, target: urgentTarget}}
			for i := range 5 {
				parts = append(parts, demandPart{
					account: fmt.Sprint("modest ", i), class: mid, perSecond: 0.1 * rate, inBurst: 0.1 * rate, target: urgentTarget,
				})
			}
			p := newLineLoad(2, constantRate(rate))
			p.run(parts)
			all := p.result("all").served()
			for _, d := range parts {
				o := p.result(d.account)
				t.Logf("%s: %v", d.account, o)
				if o.served() < all/2 && o.started < p.result("all").started/len(parts) {
					t.Errorf("account %s was served %.3f, less than half of %.3f, and less than an even part", d.account, o.served(), all)
				}
				if d.account != "flood" && o.served() < 0.95 {
					t.Errorf("account %s was served %.3f, want all but a few of its requests, which are fewer than its part", d.account, o.served())
				}
			}
			if late := p.result("all").late; late > 0 {
				t.Errorf("%d requests waited until their latest start and were dropped", late)
			}
		})
	}
}
