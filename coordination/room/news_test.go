package room_test

import (
	"math"
	"testing"

	"spanrill"
	"spanrill/coordination/room"
)

// news is what a test tells a ledger that has given room to two of nine requests.
type news func(l *room.Ledger, now spanrill.Millis)

func told(age spanrill.Millis, tokens, calls int64) news {
	return func(l *room.Ledger, now spanrill.Millis) {
		l.SetTold(now, now-age, map[uint32]spanrill.RoomUse{1: {Tokens: tokens, Calls: calls}, 2: {Tokens: tokens}, 3: {Tokens: tokens}, 99: {Tokens: tokens}})
	}
}

func reported(age spanrill.Millis, engine uint32, requests int) news {
	return func(l *room.Ledger, now spanrill.Millis) { l.RecordEngineLoad(now, now-age, engine, requests) }
}

func setChains(l *room.Ledger, now spanrill.Millis) {
	l.SetChains(now, []spanrill.RoomChain{testChain(plain, 1, "a", 0)})
}

func TestNewsOfOtherLoad(t *testing.T) {
	const long, longest = math.MaxInt64, spanrill.Millis(math.MaxInt64)
	for _, c := range []struct {
		name string
		news []news
		wait spanrill.Millis // before room is given again
		want int             // further requests that get room, of seven
	}{
		{"none", nil, 0, 7},
		{"own load only", []news{told(500, 2000, 2)}, 0, 7},
		{"own load of before the starts", []news{told(1500, 0, 0)}, 0, 7},
		{"others before the starts", []news{told(1500, 3000, 3)}, 0, 4},
		{"others after the starts", []news{told(500, 5000, 5)}, 0, 4},
		{"newer", []news{told(600, 5000, 5), told(500, 2000, 2)}, 0, 7},
		{"older", []news{told(500, 2000, 2), told(600, 5000, 5)}, 0, 7},
		{"lapsed", []news{told(500, 5000, 5)}, 2100, 7},
		{"engine", []news{reported(20, 1, 5)}, 0, 4},
		{"engine and daemons", []news{told(500, 4000, 4), reported(20, 1, 5)}, 0, 4},
		{"engine before the starts", []news{reported(1100, 1, 6)}, 0, 4},
		{"engine has fewer", []news{reported(20, 1, 0)}, 0, 7},
		{"engine fades", []news{reported(0, 1, 6)}, 1000, 5},
		{"engine lapsed", []news{reported(0, 1, 5)}, 2000, 7},
		{"engine, newer", []news{reported(20, 1, 5), reported(10, 1, 2)}, 0, 7},
		{"engine, older", []news{reported(10, 1, 2), reported(20, 1, 5)}, 0, 7},
		{"engine, chains set again", []news{reported(20, 1, 5), setChains}, 0, 4},
		{"engine behind the first", []news{reported(20, 2, 5)}, 0, 7},
		{"unknown engine", []news{reported(20, 99, 5)}, 0, 7},
		{"negative", []news{told(500, -long, -long), reported(0, 1, -5)}, 0, 7},
		{"future", []news{told(-1, 9000, 9), reported(-1, 1, 9), told(-longest/2, 9000, 9)}, 0, 7},
		{"very old", []news{told(5000, 9000, 9), reported(5000, 1, 9), told(longest, 9000, 9), func(l *room.Ledger, now spanrill.Millis) {
			l.SetTold(now, math.MinInt64, map[uint32]spanrill.RoomUse{1: {Tokens: long}})
		}}, 0, 7},
		{"too many at an engine", []news{reported(0, 1, math.MaxInt)}, 0, 7},
		{"huge", []news{told(500, long, long)}, 0, 0},
		{"huge, then true", []news{told(500, long, long), told(400, 2100, 2)}, 0, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger(testChain(plain, 1, "a", 0))
			l.Give(start, 1, thousand)
			l.Give(start, 2, thousand)
			now := start + spanrill.Second
			for _, tell := range c.news {
				tell(l, now)
			}
			if got := giveAll(l, now+c.wait, 2, thousand); got != c.want {
				t.Errorf("%d further requests got room, want %d; %+v", got, c.want, l.Chains(now))
			}
		})
	}
}

// A ledger that has just begun knows of the load of others how many requests an engine has, and of the
// chains how long they hold it: after a refusal it soon fills the room that becomes free.
func TestRefusalOnLoadOfOthers(t *testing.T) {
	l := newLedger(testChain(kind{3, 100_000, 0.001, 5, 0}, 1, "a", 0))
	need := spanrill.RoomNeed{Prompt: 900, Answer: 200, Class: 1}
	uses := map[uint32]spanrill.RoomUse{}
	for engine := range uint32(3) {
		uses[1+engine] = spanrill.RoomUse{Tokens: 40_000, Calls: 40}
	}
	l.SetTold(start, start, uses)
	for id := range uint64(20) {
		l.Give(start, id+1, need)
	}
	l.End(start+500, 1)
	l.RecordRefusal(start+500, 2)
	given := 0
	for now := start + 500; now < start+1000; now += 5 {
		if _, ok := l.Give(now, uint64(now), need); ok {
			given++
		}
	}
	if given < 25 {
		t.Errorf("%d requests got room in half a second after a refusal, want at least 25", given)
	}
}

// While load of others only ends, it ends in the ledger also if the first requests ask after the last sums.
func TestDrainingBeforeFirstRequest(t *testing.T) {
	l := room.NewLedger()
	l.SetChains(start, []spanrill.RoomChain{testChain(kind{3, 100_000, 0.001, 5, 0}, 1, "a", 0)})
	uses := map[uint32]spanrill.RoomUse{}
	for engine := range uint32(3) {
		uses[1+engine] = spanrill.RoomUse{Tokens: 90_000, Calls: 90}
	}
	l.SetTold(start, start, uses)
	l.SetDraining(start, start)
	for id := range uint64(2) {
		l.Give(start+500*spanrill.Millis(id), id, spanrill.RoomNeed{Prompt: 900, Answer: 200})
	}
	if fill := l.Chains(start + 500)[0].Fill; fill > 0.7 {
		t.Errorf("fill %.2f half a second later, want at most 0.70 where a request takes about a second", fill)
	}
}
