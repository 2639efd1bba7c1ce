package room_test

import (
	"math"
	"testing"

	"spanrill"
	"spanrill/coordination/room"
	"spanrill/rng"
)

const start = 100 * spanrill.Second

// plain is a chain of three engines for 10,000 tokens each.
var plain = kind{parts: 3, capacity: 10_000, read: 0.03, step: 10, stepPerRequest: 0.1}

// thousand takes 1,000 tokens.
var thousand = spanrill.RoomNeed{Prompt: 900, Answer: 200, Class: 1, Zone: "a"}

// newLedger returns a ledger that knows of requests of class 0.
func newLedger(chains ...spanrill.RoomChain) *room.Ledger {
	l := room.NewLedger()
	l.Give(start, math.MaxUint64, urgent(thousand))
	l.SetChains(start, chains)
	return l
}

// giveAll gives room until there is none, and returns how many requests got it. Their ids follow
// from.
func giveAll(l *room.Ledger, now spanrill.Millis, from uint64, need spanrill.RoomNeed) (count int) {
	for ; count < 1000; count++ {
		if _, ok := l.Give(now, from+uint64(count)+1, need); !ok {
			break
		}
	}
	return count
}

func urgent(need spanrill.RoomNeed) spanrill.RoomNeed {
	need.Class = 0
	return need
}

func TestRoomOfChains(t *testing.T) {
	half, cramped := testChain(plain, 1, "a", 0), testChain(plain, 1, "a", 0)
	half.Parts[2].Share, half.Parts[2].Capacity = 0.5, 4_000
	cramped.Parts[1].Capacity = 5_000
	huge := thousand
	huge.Prompt = 9_500
	for _, c := range []struct {
		name  string
		chain spanrill.RoomChain
		need  spanrill.RoomNeed
		want  int // requests that get room
	}{
		{"fill of others", testChain(plain, 1, "a", 0), thousand, 9},
		{"engine behind the first", cramped, thousand, 4},
		{"share", half, thousand, 7},
		{"slots", testChain(plain, 1, "a", 3), thousand, 3},
		{"too large for all but the most urgent", testChain(plain, 1, "a", 0), huge, 0},
		{"too large for others only", testChain(plain, 1, "a", 0), urgent(huge), 1},
		{"avoided", testChain(plain, 1, "a", 0), spanrill.RoomNeed{Avoid: map[uint32]bool{2: true}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger(c.chain)
			if can := l.CanEver(c.need); can != (c.want > 0) {
				t.Errorf("CanEver %v", can)
			}
			if got := giveAll(l, start, 0, c.need); got != c.want {
				t.Errorf("%d requests got room, want %d", got, c.want)
			}
			if c.want == 0 {
				return
			}
			l.End(start+10, 1)
			l.End(start+10, 1)
			if got := giveAll(l, start+10, 5000, c.need); got != 1 {
				t.Errorf("%d requests got the room of one that ended", got)
			}
		})
	}
}

func TestChoice(t *testing.T) {
	reads, steps := testChain(reading, 1, "a", 0), testChain(quick, 11, "a", 0)
	for i := range reads.Parts {
		reads.Parts[i].ReadMillis = 0.001
	}
	near, far := testChain(plain, 1, "a", 0), testChain(plain, 11, "b", 0)
	slower, bridged, failing := testChain(plain, 21, "a", 0), testChain(plain, 31, "a", 0), testChain(plain, 41, "a", 0)
	slower.StepMillis, bridged.Bridged, failing.Penalty = 10.5, true, 1.2
	stepping, thinking := testChain(kind{1, 1e6, 0.5, 5, 0}, 1, "a", 0), testChain(kind{1, 1e6, 0.01, 60, 0}, 11, "a", 0)
	for _, c := range []struct {
		name   string
		chains []spanrill.RoomChain
		need   spanrill.RoomNeed
		want   uint32
	}{
		{"long prompt", []spanrill.RoomChain{steps, reads}, spanrill.RoomNeed{Prompt: 8000, Answer: 5, Zone: "a"}, 1},
		{"long answer", []spanrill.RoomChain{reads, steps}, spanrill.RoomNeed{Prompt: 100, Answer: 500, Zone: "a"}, 11},
		{"own zone", []spanrill.RoomChain{far, near}, thousand, 1},
		{"zone counts little", []spanrill.RoomChain{far, testChain(kind{3, 10_000, 0.03, 12, 0.1}, 21, "a", 0)}, thousand, 11},
		{"slower", []spanrill.RoomChain{slower, near}, thousand, 1},
		{"bridged", []spanrill.RoomChain{bridged, near}, thousand, 1},
		{"failing", []spanrill.RoomChain{failing, near}, thousand, 1},
		{"pause met", []spanrill.RoomChain{stepping, thinking}, spanrill.RoomNeed{Prompt: 1000, Answer: 5, Events: 4, Pause: 100, Zone: "a"}, 1},
		{"no pause", []spanrill.RoomChain{stepping, thinking}, spanrill.RoomNeed{Prompt: 1000, Answer: 5, Events: 4, Zone: "a"}, 11},
		{"patience met", []spanrill.RoomChain{stepping, thinking}, spanrill.RoomNeed{Prompt: 1000, Answer: 500, Patient: 300, Zone: "a"}, 11},
		{"objective missed by all", []spanrill.RoomChain{thinking}, spanrill.RoomNeed{Prompt: 10, Events: 4, Pause: 100, Patient: 1}, 11},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, ok := newLedger(c.chains...).Give(start, 1, c.need); !ok || got != c.want {
				t.Errorf("chain %d, want %d", got, c.want)
			}
		})
	}
}

// Prompts wait for those that an engine reads already.
func TestReadingPrompts(t *testing.T) {
	l := newLedger(testChain(kind{2, 1e6, 0.2, 1, 0}, 1, "a", 0))
	need := spanrill.RoomNeed{Prompt: 1000, Zone: "a"}
	for id, want := range []spanrill.Millis{201, 301, 401} {
		if got := l.FirstEvent(start, need); got != want {
			t.Errorf("first event of request %d after %d, want %d", id, got, want)
		}
		l.Give(start, uint64(id), need)
	}
	l.End(start+10, 2)
	if got := l.FirstEvent(start+100, need); got != 301 {
		t.Errorf("first event after %d when one of three has left and 100 ms have passed", got)
	}
	if got := l.FirstEvent(start+spanrill.Second, need); got != 201 {
		t.Errorf("first event after %d when all prompts have been read", got)
	}
}

// An engine that refused gets nothing until a tenth of its requests will have ended, then a
// few, and all that it has room for within a second.
func TestRefusal(t *testing.T) {
	l := newLedger(testChain(kind{2, 100_000, 0.001, 5, 0}, 1, "a", 0))
	for id := range uint64(80) {
		l.Give(start, id, thousand)
	}
	for id := range uint64(40) { // 40 requests a second with 40 running: each takes a second
		l.End(start+spanrill.Millis(id)*25, id)
	}
	now := start + spanrill.Second
	l.RecordRefusal(now, 2)
	l.RecordRefusal(now, 99)
	starts := map[spanrill.Millis]int{}
	for d := range 2 * spanrill.Second {
		starts[d/100] += giveAll(l, now+d, uint64(1000*(d+1)), spanrill.RoomNeed{Prompt: 1000})
	}
	if starts[0] != 0 || starts[1] > 5 || starts[2] > 5 {
		t.Errorf("starts in steps of 100 ms: %v", starts)
	}
	total := 0
	for step := range spanrill.Millis(10) {
		total += starts[step]
	}
	if total < 54 {
		t.Errorf("%d of 55 requests got room within a second", total)
	}
}

// Two chains share their last engine. It is never filled beyond its capacity, and room stays
// accounted when a chain goes and returns.
func TestSharedEngine(t *testing.T) {
	a, b := testChain(plain, 1, "a", 0), testChain(plain, 11, "b", 0)
	b.Parts[2] = a.Parts[2]
	l, random := newLedger(a, b), rng.New(1)
	held := map[uint64]float64{}
	for id := range uint64(5000) {
		now, total := start+spanrill.Millis(id), 0.0
		switch id % 500 {
		case 100:
			l.SetChains(now, []spanrill.RoomChain{b})
		case 200:
			l.SetChains(now, nil)
		case 300:
			l.SetChains(now, []spanrill.RoomChain{a, b})
		}
		need := spanrill.RoomNeed{Prompt: random.IntN(2000), Answer: random.IntN(1000), Class: spanrill.Class(random.IntN(3))}
		if _, ok := l.Give(now, id, need); ok {
			held[id] = float64(need.Prompt) + float64(need.Answer)/2
		}
		for other, tokens := range held {
			if total += tokens; random.IntN(20) == 0 {
				l.End(now, other)
				delete(held, other)
				total -= tokens
			}
		}
		if total > 10_000 {
			t.Fatalf("the shared engine holds %.0f of 10000 tokens", total)
		}
	}
	for id := range held {
		l.End(start+5000, id)
	}
	if s := l.Chains(start + 5000); len(s) != 2 || s[0].Fill != 0 || s[0].Given != s[1].Given {
		t.Errorf("after the end of all: %+v", s)
	}
}

// A chain disappears while requests hold its room.
func TestChainDisappears(t *testing.T) {
	a, b := testChain(plain, 1, "a", 0), testChain(plain, 11, "b", 0)
	l := newLedger(a)
	giveAll(l, start, 0, thousand)
	l.SetChains(start+10, []spanrill.RoomChain{b})
	if got := giveAll(l, start+10, 10, thousand); got != 9 {
		t.Errorf("%d requests got room on the other chain", got)
	}
	l.End(start+20, 1)
	l.SetChains(start+4000, []spanrill.RoomChain{b})
	l.SetChains(start+5000, []spanrill.RoomChain{a, b})
	if got := giveAll(l, start+5000, 20, thousand); got != 1 {
		t.Errorf("%d requests got the room that one left", got)
	}
}

func TestImplausibleChains(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	for name, spoil := range map[string]func(*spanrill.RoomChain){
		"no engines":        func(c *spanrill.RoomChain) { c.Parts = nil },
		"no capacity":       func(c *spanrill.RoomChain) { c.Parts[1].Capacity = 0 },
		"negative capacity": func(c *spanrill.RoomChain) { c.Parts[1].Capacity = -1 },
		"huge capacity":     func(c *spanrill.RoomChain) { c.Parts[1].Capacity = 1e30 },
		"capacity NaN":      func(c *spanrill.RoomChain) { c.Parts[1].Capacity = nan },
		"share NaN":         func(c *spanrill.RoomChain) { c.Parts[1].Share = nan },
		"no share":          func(c *spanrill.RoomChain) { c.Parts[1].Share = 0 },
		"reads backwards":   func(c *spanrill.RoomChain) { c.Parts[1].ReadMillis = -1 },
		"steps never":       func(c *spanrill.RoomChain) { c.StepMillis = inf },
		"penalty NaN":       func(c *spanrill.RoomChain) { c.Penalty = nan },
		"negative slots":    func(c *spanrill.RoomChain) { c.Slots = -1 },
		"engine twice":      func(c *spanrill.RoomChain) { c.Parts[1] = c.Parts[0] },
	} {
		t.Run(name, func(t *testing.T) {
			c := testChain(plain, 1, "a", 0)
			spoil(&c)
			l := newLedger(c, testChain(plain, 11, "b", 0))
			if first, ok := l.Give(start, 1, thousand); !ok || first != 11 || len(l.Chains(start)) != 1 {
				t.Errorf("chain %d, %v", first, ok)
			}
		})
	}
}

func TestEndRate(t *testing.T) {
	l := newLedger(testChain(kind{1, 1e6, 0, 0, 0}, 1, "a", 0))
	if got := l.EndRate(start); got != 0 {
		t.Errorf("%.1f before the first end", got)
	}
	for id := range uint64(500) {
		l.Give(start, id, thousand)
		l.End(start+spanrill.Millis(id)*10, id)
	}
	if got := l.EndRate(start + 5000); got < 95 || got > 105 {
		t.Errorf("%.1f a second, want 100", got)
	}
	if got := l.EndRate(start + 10_000); got > 1 {
		t.Errorf("%.1f a second, five seconds after the last", got)
	}
}

func TestChainsForOperators(t *testing.T) {
	l := newLedger(testChain(plain, 1, "a", 10))
	l.Give(start, 1, thousand)
	l.Give(start, 2, urgent(thousand))
	l.RecordEngineLoad(start+20, start+20, 1, 5)
	s := l.Chains(start + 20)[0]
	if s.First != 1 || s.Zone != "a" || s.Given[0] != 1 || s.Given[1] != 1 || s.Told != 3 || s.Fill != 0.5 || s.Fullest != 1 || s.Starting <= 0 {
		t.Errorf("%+v", s)
	}
}

// A request whose true size becomes known holds that on its chain. Only those that ran count as ended.
func TestResizeAndCancel(t *testing.T) {
	l := newLedger(testChain(plain, 1, "a", 0))
	giveAll(l, start, 0, thousand)
	small := spanrill.RoomNeed{Prompt: 100, Answer: 200, Class: 2}
	l.Resize(start+10, 1, small)
	l.Resize(start+10, 99, small)
	s := l.Chains(start + 10)[0]
	if s.Fill != 0.82 || s.Given[1] != 8 || s.Given[2] != 1 {
		t.Errorf("after a request became smaller: %+v", s)
	}
	if got := giveAll(l, start+10, 100, thousand); got != 1 {
		t.Errorf("%d requests got the room that became free, want 1", got)
	}
	for id := range uint64(200) {
		l.Cancel(start+20, id)
	}
	if s := l.Chains(start + 20)[0]; s.Fill != 0 || l.EndRate(start+20) != 0 {
		t.Errorf("%.1f ends a second after all were cancelled: %+v", l.EndRate(start+20), s)
	}
}

// A true size that becomes known is no start: it does not space those that follow after a refusal.
func TestResizeIsNoStart(t *testing.T) {
	l := newLedger(testChain(kind{2, 100_000, 0.001, 5, 0}, 1, "a", 0))
	l.Give(start, 1, thousand)
	l.RecordRefusal(start+1, 1)
	l.Resize(start+450, 1, thousand)
	if _, ok := l.Give(start+450, 2, thousand); !ok {
		t.Error("no room after the pause")
	}
}
