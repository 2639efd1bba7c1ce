package granting

import (
	"fmt"
	"maps"
	"math"
	"testing"

	"spanrill"
	"spanrill/coordination/admission"
	"spanrill/coordination/returns"
	"spanrill/coordination/room"
	"spanrill/rng"
)

const (
	simToldDelay    spanrill.Millis = 1250 // of the sums of all daemons
	simToldInterval spanrill.Millis = 250
	simUnresponsive                 = spanrill.Second     // until a daemon that does not answer is known to be so
	simDead                         = 4 * spanrill.Second // until it is taken for dead
	simLearning                     = spanrill.Second     // until a daemon that starts knows the others, and they know it
	simDeadline                     = 15 * spanrill.Second
	simAccounts                     = 20
)

// simTargets are the objectives for the first event by class, from the caller's first send.
var simTargets = []spanrill.Millis{500, 500, 1000}

// simCaller is a request of a caller. It returns once at the time that it is told, unless the
// simulation says otherwise.
type simCaller struct {
	class    spanrill.Class
	account  string
	content  uint64
	prompt   int
	answer   int     // expected tokens
	real     float64 // tokens
	sentAt   spanrill.Millis
	eventAt  spanrill.Millis // first event, or 0
	refusals int
}

func (c *simCaller) inTime() bool { return c.eventAt > 0 && c.eventAt-c.sentAt <= simTargets[c.class] }

// simStart is one send of a request to engines.
type simStart struct {
	at      spanrill.Millis
	first   uint32
	refused bool
}

// sim is a fleet of daemons, with their real granting daemons, engines and callers, on simulated time.
type sim struct {
	*testing.T
	random   *rng.Source
	now      spanrill.Millis
	agenda   map[spanrill.Millis][]func()
	engines  simEngines
	chains   []spanrill.RoomChain
	before   []spanrill.RoomChain // as daemons know them that have not learned of a change
	changed  spanrill.Millis
	daemons  []*simDaemon
	byName   map[string]*simDaemon
	order    func(d *simDaemon) []*simDaemon // preference for granting, as a daemon believes
	isCut    func(a, b *simDaemon) bool
	cutAt    spanrill.Millis
	gossip   bool // daemons hear of those that they do not reach from others
	newsLost bool
	told     map[uint32]spanrill.RoomUse
	toldAsOf spanrill.Millis
	newLine  func() spanrill.StartLine
	planner  func(p *returns.Planner) spanrill.ReturnPlanner
	retries  int
	bySecond float64 // requests per second that the chains serve

	callers []*simCaller
	starts  []simStart
	returns []spanrill.Millis
	hung    int // sends that were decided later than 100 ms after their objective
}

func newSim(t *testing.T, seed uint64, daemons int) *sim {
	s := &sim{
		T: t, random: rng.New(seed), now: 100_000, agenda: map[spanrill.Millis][]func(){}, chains: simChains(), byName: map[string]*simDaemon{},
		engines: simEngines{holding: map[uint32]spanrill.RoomUse{}, gone: map[uint32]bool{}},
		isCut:   func(*simDaemon, *simDaemon) bool { return false }, retries: 1,
		newLine: func() spanrill.StartLine { return admission.NewLine() },
	}
	s.order = func(*simDaemon) []*simDaemon { return s.daemons[:min(4, len(s.daemons))] }
	s.bySecond = simMaxRate(s.chains)
	for i := range daemons {
		s.daemons = append(s.daemons, newSimDaemon(s, i, s.now-2*simLearning))
	}
	return s
}

func (s *sim) parts() Parts {
	return Parts{
		NewLedger:  func() spanrill.RoomLedger { return room.NewLedger() },
		NewLine:    func() spanrill.StartLine { return s.newLine() },
		NewReturns: s.newReturns,
	}
}

func (s *sim) newReturns() spanrill.ReturnPlanner {
	p := returns.New(s.random.Float64, returns.WithPart(0), returns.WithAllRecognized())
	if s.planner != nil {
		return s.planner(p)
	}
	return p
}

func (s *sim) after(d spanrill.Millis, do func()) {
	at := s.now + max(1, d)
	s.agenda[at] = append(s.agenda[at], do)
}

// delay is the time of a message one way.
func (s *sim) delay() spanrill.Millis { return 1 + spanrill.Millis(s.random.IntN(3)) }

// send delivers a message, unless it gets lost. A frozen daemon receives it when it is thawed.
func (s *sim) send(from, to *simDaemon, receive func()) {
	if from != to && s.isCut(from, to) {
		return
	}
	s.after(s.delay(), func() { to.receive(receive) })
}

// play plays a time with so many requests, as a part of what the chains serve.
func (s *sim) play(d spanrill.Millis, load float64) {
	next := float64(s.now)
	mean := 1000 / (load * s.bySecond)
	for end := s.now + d; s.now < end; s.now++ {
		for _, do := range s.agenda[s.now] {
			do()
		}
		delete(s.agenda, s.now)
		if s.now%simToldInterval == 0 {
			s.tell()
		}
		for _, d := range s.daemons {
			d.poll()
		}
		for ; next < float64(s.now+1); next -= mean * math.Log(1-s.random.Float64()) {
			s.arrive()
		}
	}
}

// tell tells all daemons what requests hold now, after the time that sums take.
func (s *sim) tell() {
	asOf, uses := s.now, maps.Clone(s.engines.holding)
	s.after(simToldDelay, func() {
		if !s.newsLost {
			s.told, s.toldAsOf = uses, asOf
		}
	})
}

func (s *sim) arrive() {
	between := func(mean float64) float64 { return mean * (0.4 + 1.2*s.random.Float64()) }
	c := &simCaller{
		class: spanrill.Class(s.random.IntN(len(simTargets))), account: fmt.Sprint("account ", s.random.IntN(simAccounts)),
		content: uint64(len(s.callers) + 1), prompt: int(between(simMeanPrompt)), answer: int(between(simMeanAnswer)), sentAt: s.now,
	}
	c.real = float64(c.answer) * simFactor(s.random)
	s.callers = append(s.callers, c)
	s.enter(c)
}

// enter sends a request to a daemon that is drawn. Callers try again until one is up.
func (s *sim) enter(c *simCaller) {
	d := s.daemons[s.random.IntN(len(s.daemons))]
	if d.down > 0 && !d.frozen {
		s.after(minSpreadRetry, func() { s.enter(c) })
		return
	}
	s.send(d, d, func() { d.enter(&simSend{caller: c, arrived: s.now, avoid: map[uint32]bool{}}) })
}

// refused tells a caller that it is refused.
func (s *sim) refused(c *simCaller, retryAfter spanrill.Millis) {
	c.refusals++
	if c.refusals > s.retries {
		return
	}
	s.after(retryAfter+s.delay(), func() {
		s.returns = append(s.returns, s.now)
		s.enter(c)
	})
}

// maxPlays is how many plays run at once. Each keeps a core busy for seconds, and with one on each core
// the tests of other packages, which run real processes, get none in time.
const maxPlays = 4

var playSlots = make(chan struct{}, maxPlays)

// parallelPlay lets a test run beside others, of which maxPlays run at once.
func parallelPlay(t *testing.T) {
	t.Helper()
	t.Parallel()
	playSlots <- struct{}{}
	t.Cleanup(func() { <-playSlots })
}
