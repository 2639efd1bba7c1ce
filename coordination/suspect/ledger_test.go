package suspect

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/clock"
)

// event is a crash under a content, or its complete answer, after a delay.
type event struct {
	delay        spanrill.Millis
	lostUpstream uint32 // upstream that crashes, or 0
	ranLong      bool   // the request has run there longer than FreshTime
	served       bool   // the request is answered completely
}

func (e event) apply(c *clock.Manual, l *Ledger, content Content) {
	c.Advance(e.delay)
	if e.served {
		l.RecordServed(content)
	}
	if e.lostUpstream != 0 {
		l.RecordLoss(content, Loss{Upstream: e.lostUpstream, At: c.Now(), Fresh: !e.ranLong})
	}
}

// The verdict on a content follows from the crashes under it, and does not affect other contents.
func TestVerdict(t *testing.T) {
	for _, c := range []struct {
		name            string
		events          []event
		refused, proved bool
	}{
		{"no crash", nil, false, false},
		{"one crash", []event{{lostUpstream: 1}}, false, false},
		{"one crash, reported by many requests", []event{{lostUpstream: 1}, {delay: 300, lostUpstream: 1}, {delay: 900, lostUpstream: 1}}, false, false},
		{"two crashes shortly after its start", []event{{lostUpstream: 1}, {delay: 200, lostUpstream: 2}}, true, false},
		{"one upstream that crashes twice", []event{{lostUpstream: 1}, {delay: 4000, lostUpstream: 1}}, true, false},
		{"two crashes, the first after a long run", []event{{lostUpstream: 1, ranLong: true}, {delay: 200, lostUpstream: 2}}, false, false},
		{"three crashes after long runs", []event{{lostUpstream: 1, ranLong: true}, {delay: 200, lostUpstream: 2, ranLong: true}, {delay: 200, lostUpstream: 3, ranLong: true}}, true, true},
		{"two crashes, then withholdTime", []event{{lostUpstream: 1}, {delay: 200, lostUpstream: 2}, {delay: withholdTime}}, false, false},
		{"three crashes, then withholdTime", []event{{lostUpstream: 1}, {delay: 200, lostUpstream: 2}, {delay: 200, lostUpstream: 3}, {delay: withholdTime}}, true, true},
		{"a third crash in its trial", []event{{lostUpstream: 1}, {delay: 200, lostUpstream: 2}, {delay: withholdTime, lostUpstream: 3}}, true, true},
		{"answered after two crashes", []event{{lostUpstream: 1}, {delay: 200, lostUpstream: 2}, {delay: 100, served: true}}, false, false},
		{"answered shortly before three crashes", []event{{served: true}, {delay: 100, lostUpstream: 1}, {delay: 100, lostUpstream: 2}, {delay: 100, lostUpstream: 3}}, false, false},
		{"answered long before three crashes", []event{{served: true}, {delay: 3 * servedSpan, lostUpstream: 1}, {delay: 100, lostUpstream: 2}, {delay: 100, lostUpstream: 3}}, true, true},
		{"proved, then provedTTL", []event{{lostUpstream: 1}, {lostUpstream: 2}, {lostUpstream: 3}, {delay: provedTTL}}, false, false},
		{"two crashes with suspectTTL in between", []event{{lostUpstream: 1}, {delay: suspectTTL, lostUpstream: 2}}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := clock.NewManual()
			l := New(now)
			for _, e := range c.events {
				e.apply(now, l, 7)
			}
			v := l.Begin(7).Check()
			if v.Refused() != c.refused || v.Proved() != c.proved || v.Refused() && v.RetryAfter() <= 0 {
				t.Fatalf("refused %t, proved %t, retry after %d ms; want the verdict of the case, and a Retry-After if refused", v.Refused(), v.Proved(), v.RetryAfter())
			}
			if other := l.Begin(8).Check(); other.Refused() {
				t.Fatal("another request is refused")
			}
		})
	}
}

// Requests that were withheld are tried one at a time; the others wait for the end of the trial.
func TestOneTrialAtATime(t *testing.T) {
	c := clock.NewManual()
	l := New(c)
	for content := range Content(3) {
		l.RecordLoss(content, Loss{Upstream: 1, At: c.Now(), Fresh: true})
		l.RecordLoss(content, Loss{Upstream: 2, At: c.Now(), Fresh: true})
	}
	c.Advance(withholdTime)
	first, second := l.Begin(0), l.Begin(1)
	if first.Check().Refused() || first.Check().Refused() || !second.Check().Refused() {
		t.Fatal("the first trial may not continue, or a second one starts; want one trial that continues")
	}
	first.End()
	if second.Check().Refused() {
		t.Fatal("no second trial after the end of the first")
	}
	second.End()
}

// testFleet is a fleet of ledgers that exchange news in rounds, each asking some others.
type testFleet struct {
	clock   *clock.Manual
	daemons []*Ledger
	round   int
}

const newsInterval spanrill.Millis = 250

func newTestFleet(n int) *testFleet {
	f := &testFleet{clock: clock.NewManual()}
	for range n {
		f.daemons = append(f.daemons, New(f.clock))
	}
	return f
}

// exchangeNews runs one round in which each daemon asks up to four others.
func (f *testFleet) exchangeNews() {
	f.round++
	f.clock.Advance(newsInterval)
	n := len(f.daemons)
	for i, d := range f.daemons {
		for k := range min(4, n-1) {
			other := f.daemons[(i+1+(f.round*31+k*k*17+k*7)%(n-1))%n]
			d.Merge(other.MarksFor(d.Digest()))
		}
	}
}

// A request arrives once a second, each time at another daemon if there are several, and crashes the
// engine that runs it with ten bystanders, two of which have just been sent there. However large the
// fleet is, provedThreshold engines crash, and no bystander is refused in the end: none is withheld
// for longer than the engines need to come back.
func TestLossesOfOneRequestAreBounded(t *testing.T) {
	for _, n := range []int{1, 7, 73, 300} {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			f := newTestFleet(n)
			crashed, bystander := uint32(0), Content(100)
			for second := range 120 {
				d := f.daemons[second*37%n]
				guard := d.Begin(1)
				if !guard.Check().Refused() {
					crashed++
					by := Loss{Upstream: crashed, At: f.clock.Now(), Fresh: true}
					d.RecordLoss(1, by)
					for k := range 10 {
						by.Fresh = k < 2
						f.daemons[(second+k)%n].RecordLoss(bystander, by)
						bystander++
					}
				}
				guard.End()
				for range 4 {
					f.exchangeNews()
				}
			}
			if crashed != provedThreshold {
				t.Errorf("%d engines crashed, want %d", crashed, provedThreshold)
			}
			for c := Content(100); c < bystander; c++ {
				if v := f.daemons[int(c)%n].Begin(c).Check(); v.Refused() {
					t.Fatalf("bystander %d is refused", c)
				}
			}
		})
	}
}

// Long after the last loss, a starting daemon learns from its peers as well as from the store which
// requests are withheld or proved.
func TestStartingDaemonLearnsBlockedContents(t *testing.T) {
	f := newTestFleet(2)
	for u := range uint32(3) {
		f.daemons[0].RecordLoss(1, Loss{Upstream: u, At: f.clock.Now(), Fresh: true})
	}
	f.clock.Advance(10 * announceTime)
	f.exchangeNews()
	restored := New(f.clock)
	restored.Merge(f.daemons[0].BlockedMarks())
	for name, l := range map[string]*Ledger{"news": f.daemons[1], "store": restored} {
		if !l.Begin(1).Check().Proved() {
			t.Errorf("%s: the request is not proved", name)
		}
	}
	if marks := f.daemons[0].MarksFor(f.daemons[1].Digest()); len(marks) > 0 {
		t.Errorf("%d marks are sent to a daemon that knows them, want none", len(marks))
	}
}

// The ledger, its news and the stored marks are bounded, whatever peers send.
func TestLedgerSizeIsBounded(t *testing.T) {
	c := clock.NewManual()
	l := New(c)
	for i := range 3 * maxContents {
		l.Merge([]Mark{{Content: Content(i), Upstream: uint32(i), Fresh: true}, {Content: 1, Upstream: uint32(i), Fresh: true}, {Content: 2, Age: -1}})
	}
	if n := len(l.suspects); n > maxContents {
		t.Errorf("%d contents are recorded, want at most maxContents", n)
	}
	if sent, stored := len(l.MarksFor(1)), len(l.BlockedMarks()); sent > maxNewsMarks || stored > maxStoredMarks {
		t.Errorf("%d marks sent and %d stored, want at most maxNewsMarks and maxStoredMarks", sent, stored)
	}
	if n := len(l.suspects[1].losses); n > maxLosses {
		t.Errorf("%d losses of one content, want at most maxLosses", n)
	}
}

// The content differs if any part of the request does, or if its parts are divided differently.
func TestContentIdentifiesRequest(t *testing.T) {
	same := ContentOf("a", "h", "/p", []byte("b"))
	if same != ContentOf("a", "h", "/p", []byte("b")) {
		t.Fatal("the same request has two contents")
	}
	for _, other := range []Content{
		ContentOf("b", "h", "/p", []byte("b")), ContentOf("a", "i", "/p", []byte("b")), ContentOf("a", "h", "/q", []byte("b")),
		ContentOf("a", "h", "/p", []byte("c")), ContentOf("ah", "", "/p", []byte("b")), ContentOf("a", "h/p", "", []byte("b")),
	} {
		if other == same {
			t.Fatal("two different requests have the same content")
		}
	}
}
