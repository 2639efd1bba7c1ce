package room_test

import (
	"fmt"
	"math"
	"testing"

	"spanrill"
	"spanrill/coordination/room"
	"spanrill/rng"
)

// kind is a sort of chain: its engines, and its times for a prompt token and between tokens.
type kind struct {
	parts                                int
	capacity, read, step, stepPerRequest float64
}

var (
	quick    = kind{parts: 5, capacity: 81_000, read: 0.0136, step: 3.0, stepPerRequest: 0.016}
	reading  = kind{parts: 6, capacity: 60_000, read: 0.0114, step: 6.0, stepPerRequest: 0.038}
	slow     = kind{parts: 9, capacity: 105_000, read: 0.0347, step: 11, stepPerRequest: 0.06}
	allKinds = []kind{quick, quick, quick, reading, reading, reading, reading, slow, slow, slow, slow, slow, slow, slow}
)

const (
	meanPrompt                 = 770.0
	meanAnswer                 = 140.0 // as expected
	toldDelay  spanrill.Millis = 1250
	newsDelay  spanrill.Millis = 20 // of an engine's own figures and refusals
)

// testChain returns a chain whose engines have the numbers from first on.
func testChain(k kind, first uint32, zone string, slots int) spanrill.RoomChain {
	c := spanrill.RoomChain{Zone: zone, Slots: slots, StepMillis: k.step, StepMillisPerRequest: k.stepPerRequest, Penalty: 1}
	for i := range k.parts {
		c.Parts = append(c.Parts, spanrill.RoomPart{Engine: first + uint32(i), Capacity: k.capacity, Share: 1, ReadMillis: k.read / float64(k.parts)})
	}
	return c
}

// play is a service whose chains run requests, on simulated time. Engines refuse what they cannot
// hold.
type play struct {
	ledger  *room.Ledger
	chains  []spanrill.RoomChain
	random  *rng.Source
	now     spanrill.Millis
	agenda  map[spanrill.Millis][]func()
	holding map[uint32]spanrill.RoomUse
	nextID  uint64
	slots   int64   // of each first engine
	ungiven float64 // fraction of the requests that start without a grant
	guess   float64 // sizes that the ledger is told, over the true ones
	lacked  int     // requests that found no room since the ledger was last told

	counting                             bool
	refusedUngiven                       float64 // without a grant
	offered, served, sent, refused, busy float64 // busy is the most starts of a chain in a second, over its fair part
	starts                               map[uint32]float64
}

func newPlay(seed uint64, slots int, ungiven float64) *play {
	p := &play{
		ledger: room.NewLedger(), random: rng.New(seed), now: 100_000, agenda: map[spanrill.Millis][]func(){},
		holding: map[uint32]spanrill.RoomUse{}, starts: map[uint32]float64{}, slots: int64(slots), ungiven: ungiven, guess: 1,
	}
	for i, k := range allKinds {
		p.chains = append(p.chains, testChain(k, uint32(1+100*i), fmt.Sprint("z", i%4), slots))
	}
	p.ledger.SetChains(p.now, p.chains)
	return p
}

// meanFactor is the mean of what answerFactor returns.
var meanFactor = (math.Pow(2, 1.5) - math.Pow(2, -1.5)) / (3 * math.Ln2)

// answerFactor returns by what an answer differs from what is expected: 1 in the median, and more
// than 2 either way for a third.
func (p *play) answerFactor() float64 { return math.Pow(2, 3*p.random.Float64()-1.5) }

// rate returns how many requests of mean size a chain serves per second when it is full.
func rate(c spanrill.RoomChain) float64 {
	answer, read := meanAnswer*meanFactor, 0.0
	requests := min(c.Parts[0].Capacity/(meanPrompt+answer/2), float64(c.Slots))
	for _, part := range c.Parts {
		read += part.ReadMillis
	}
	return 1000 * requests / (meanPrompt*read + answer*(c.StepMillis+c.StepMillisPerRequest*(requests-1)))
}

func (p *play) maxRate() (sum float64) {
	for _, c := range p.chains {
		sum += rate(c)
	}
	return sum
}

func (p *play) after(d spanrill.Millis, do func()) {
	p.agenda[p.now+max(1, d)] = append(p.agenda[p.now+max(1, d)], do)
}

// advance plays that many seconds with that many requests per second.
func (p *play) advance(seconds int, perSecond float64) {
	next := float64(p.now)
	for end := p.now + spanrill.Millis(seconds)*spanrill.Second; p.now < end; p.now++ {
		for _, do := range p.agenda[p.now] {
			do()
		}
		delete(p.agenda, p.now)
		if p.now%250 == 0 {
			p.tell()
		}
		if p.now%50 == 0 {
			p.ledger.SetWaiting(p.now, p.lacked)
			p.lacked = 0
		}
		if p.now%spanrill.Second == 0 {
			p.countBusiest()
		}
		for ; next < float64(p.now+1); next -= 1000 / perSecond * math.Log(1-p.random.Float64()) {
			p.arrive()
		}
	}
}

// tell gives the ledger the sums of all daemons as of toldDelay ago.
func (p *play) tell() {
	asOf, uses := p.now, map[uint32]spanrill.RoomUse{}
	for id, use := range p.holding {
		uses[id] = use
	}
	p.after(toldDelay, func() { p.ledger.SetTold(p.now, asOf, uses) })
}

func (p *play) countBusiest() {
	total := 0.0
	for _, n := range p.starts {
		total += n
	}
	for _, c := range p.chains {
		if p.counting && total > 0 {
			p.busy = max(p.busy, p.starts[c.First()]/(total*rate(c)/p.maxRate()))
		}
	}
	clear(p.starts)
}

// arrive plays one request. It tries a second time if an engine refuses it.
func (p *play) arrive() {
	need := spanrill.RoomNeed{
		Prompt: int(meanPrompt * (0.4 + 1.2*p.random.Float64())), Answer: int(meanAnswer * (0.4 + 1.2*p.random.Float64())),
		Class: spanrill.Class(p.random.IntN(3)), Zone: fmt.Sprint("z", p.random.IntN(4)), Avoid: map[uint32]bool{},
	}
	answer := float64(need.Answer) * p.answerFactor()
	if p.counting {
		p.offered++
	}
	if p.random.Float64() < p.ungiven {
		p.send(p.drawByRoom(), need, answer, nil, nil)
		return
	}
	p.ask(need, answer, 2)
}

// ask asks the ledger for room and sends the request.
func (p *play) ask(need spanrill.RoomNeed, answer float64, tries int) {
	p.nextID++
	id := p.nextID
	guessed := need
	guessed.Prompt, guessed.Answer = int(p.guess*float64(need.Prompt)), int(p.guess*float64(need.Answer))
	first, ok := p.ledger.Give(p.now, id, guessed)
	if !ok {
		p.lacked++
	}
	if !ok || tries == 0 {
		p.ledger.Cancel(p.now, id)
		return
	}
	if p.counting {
		p.sent++
		p.starts[first]++
	}
	for _, c := range p.chains {
		if c.First() == first {
			p.send(c, need, answer, func() { p.ledger.End(p.now, id) }, func(engine uint32) {
				if p.counting {
					p.refused++
				}
				p.after(newsDelay, func() {
					p.ledger.RecordRefusal(p.now, engine)
					p.ledger.Cancel(p.now, id)
					need.Avoid[engine] = true
					p.ask(need, answer, tries-1)
				})
			})
		}
	}
}

// send sends a request to a chain, whose engines hold its tokens until it ends.
func (p *play) send(c spanrill.RoomChain, need spanrill.RoomNeed, answer float64, ended func(), refused func(uint32)) {
	tokens, read := int64(float64(need.Prompt)+answer/2), 0.0
	for _, part := range c.Parts {
		use := p.holding[part.Engine]
		if float64(use.Tokens+tokens) > part.Capacity || use.Calls >= p.slots {
			if refused != nil {
				refused(part.Engine)
			} else if p.counting {
				p.refusedUngiven++
			}
			return
		}
		read += part.ReadMillis
	}
	p.hold(c, tokens, 1)
	calls := p.holding[c.First()].Calls
	if at := p.now; refused != nil {
		p.after(newsDelay, func() { p.ledger.RecordEngineLoad(p.now, at, c.First(), int(calls)) })
	}
	if p.counting {
		p.served++
	}
	millis := float64(need.Prompt)*read + answer*(c.StepMillis+c.StepMillisPerRequest*float64(calls-1))
	p.after(spanrill.Millis(math.Ceil(millis)), func() { p.hold(c, -tokens, -1) })
	if ended != nil {
		p.after(spanrill.Millis(math.Ceil(millis))+newsDelay, ended)
	}
}

func (p *play) hold(c spanrill.RoomChain, tokens, calls int64) {
	for i, part := range c.Parts {
		use := p.holding[part.Engine]
		use.Tokens += tokens
		if i == 0 {
			use.Calls += calls
		}
		p.holding[part.Engine] = use
	}
}

// drawByRoom returns a chain at random, in proportion to the requests that it serves.
func (p *play) drawByRoom() spanrill.RoomChain {
	draw := p.random.Float64() * p.maxRate()
	for _, c := range p.chains {
		if draw -= rate(c); draw < 0 {
			return c
		}
	}
	return p.chains[0]
}

// loadCase is a load that the ledger has to serve.
type loadCase struct {
	share                             float64 // offered, of what the chains serve
	slots                             int
	ungiven                           float64 // fraction of the requests that start without a grant
	minServed, maxRefused, maxBusiest float64
}

var loadCases = []loadCase{
	{0.7, 192, 0, 0.9, 0.01, 1.5},
	{1.0, 192, 0, 0.9, 0.01, 1.5},
	{1.3, 192, 0, 0.9, 0.01, 1.5},
	{2.0, 192, 0, 0.9, 0.01, 1.5},
	{1.3, 60, 0, 0.9, 0.01, 1.5},
	{0.7, 192, 1.0 / 3, 0.8, 0.05, math.Inf(1)},
	{1.0, 192, 1.0 / 3, 0.8, 0.05, math.Inf(1)},
	{1.3, 192, 1.0 / 3, 0.8, 0.05, math.Inf(1)},
	{1.0, 60, 1.0 / 3, 0.8, 0.05, math.Inf(1)},
}

// Requests are served up to what the chains can serve, engines refuse hardly any, and no chain
// gets much more than its part in any second, with news of other daemons that is 1.25 s old. The
// first six seconds are not counted: while all chains are empty, the fast ones get more.
func TestLedgerServesSimulatedLoad(t *testing.T) {
	for _, c := range loadCases {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%.1f slots %d without grant %.2f seed %d", c.share, c.slots, c.ungiven, seed+1), func(t *testing.T) {
				t.Parallel()
				testLoad(t, c, newPlay(seed+1, c.slots, c.ungiven))
			})
		}
	}
}

func testLoad(t *testing.T, c loadCase, p *play) {
	t.Helper()
	const warmUp, seconds = 6, 5
	p.advance(warmUp, c.share*p.maxRate())
	p.counting = true
	p.advance(seconds, c.share*p.maxRate())
	served := p.served / min(p.offered, seconds*p.maxRate())
	refused := p.refused / p.sent
	t.Logf("%.0f offered, served %.3f of the bound, %.4f of sends refused, %.3f of those without a grant, busiest chain %.2f of its part", p.offered, served, refused, p.refusedUngiven/max(1, c.ungiven*p.offered), p.busy)
	if served < c.minServed || refused > c.maxRefused || p.busy > c.maxBusiest {
		t.Fatalf("want at least %.2f served, at most %.2f refused, and %.2f of its part", c.minServed, c.maxRefused, c.maxBusiest)
	}
}
