package granting

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
)

// lossyCaller is a daemon whose messages get lost. Its requests run for runTime once they have room.
type lossyCaller struct {
	name    string
	waits   map[uint64]spanrill.Millis // latest start, by id
	runs    map[uint64]spanrill.Millis // end, by id
	classes map[uint64]int
	ended   []uint64
}

// lossy drives a Room with callers over a network that loses messages.
type lossy struct {
	*plays
	random  *rng.Source
	loss    float64 // fraction of messages
	callers []*lossyCaller
	lastID  uint64
	asked   [spanrill.ClassCount]int
	ran     [spanrill.ClassCount]int
	running int
}

const runTime = spanrill.Second

func newLossy(t *testing.T, callers int, loss float64, opts []RoomOption, capacities ...float64) *lossy {
	l := &lossy{plays: newPlays(t, opts, capacities...), random: rng.New(1), loss: loss}
	for i := range callers {
		l.callers = append(l.callers, &lossyCaller{
			name: fmt.Sprint(i), waits: map[uint64]spanrill.Millis{}, runs: map[uint64]spanrill.Millis{}, classes: map[uint64]int{},
		})
	}
	return l
}

func (l *lossy) lost() bool { return l.random.Float64() < l.loss }

func (l *lossy) run(c *lossyCaller, id uint64) {
	delete(c.waits, id)
	c.runs[id] = l.now + runTime
	l.ran[c.classes[id]]++
	l.running++
}

// send asks for a request. The reply may get lost; the caller then forgets the request.
func (l *lossy) send(c *lossyCaller, class int) {
	l.lastID++
	req := roomRequest(c.name, l.lastID)
	req.Class, req.MaxWait = class, 400
	c.classes[req.ID] = class
	l.asked[class]++
	if l.lost() {
		return
	}
	reply, notices := l.room.Request(l.now, req)
	switch {
	case l.lost():
	case reply.State == stateGranted:
		l.run(c, req.ID)
	case reply.State == stateWaiting:
		c.waits[req.ID] = l.now + req.MaxWait
	}
	l.receive(notices)
}

func (l *lossy) receive(notices []Notice) {
	for _, n := range notices {
		if l.lost() {
			continue
		}
		var i int
		if _, err := fmt.Sscan(n.Addr, &i); err != nil {
			l.Fatal(err)
		}
		if i >= len(l.callers) {
			continue // it was killed
		}
		c, id := l.callers[i], n.Message.ID
		if _, waits := c.waits[id]; waits && n.Message.State == stateGranted {
			l.run(c, id)
		}
		delete(c.waits, id)
	}
}

// end ends requests that have run, and those that have waited in vain.
func (l *lossy) end(c *lossyCaller) {
	for id, at := range c.runs {
		if at <= l.now {
			delete(c.runs, id)
			c.ended = append(c.ended, id)
			l.running--
		}
	}
	for id, latest := range c.waits {
		if latest <= l.now {
			delete(c.waits, id)
			c.ended = append(c.ended, id)
		}
	}
}

func (l *lossy) sendReport(c *lossyCaller, complete bool) {
	r := &peermsg.RoomReport{Daemon: c.name, Ended: c.ended, Complete: complete}
	c.ended = nil
	if complete {
		for id := range c.runs {
			r.Held = append(r.Held, id)
		}
		for id := range c.waits {
			r.Held = append(r.Held, id)
		}
	}
	if !l.lost() {
		l.receive(l.room.Report(l.now, r))
	}
}

// play plays a time in steps of 10 ms, with so many new requests in each, and returns the mean and
// the highest number of running requests.
func (l *lossy) play(d spanrill.Millis, perStep int) (mean float64, most int) {
	steps, sum := 0, 0
	for end := l.now + d; l.now < end; steps++ {
		l.now += 10
		for range perStep {
			l.send(l.callers[l.random.IntN(len(l.callers))], []int{0, 1, 6}[l.random.IntN(3)])
		}
		for i, c := range l.callers {
			l.end(c)
			if phase := l.now + spanrill.Millis(10*i); phase%100 == 0 {
				l.sendReport(c, phase%1000 == 0)
			}
		}
		if l.now%50 == 0 {
			l.receive(l.room.Tick(l.now))
		}
		sum += l.running
		most = max(most, l.running)
	}
	return float64(sum) / float64(steps), most
}

// Guards against losing room, or giving it twice, when messages get lost under a load of twice what
// fits, and against serving patient requests before urgent ones. One message in fifty is lost: up to
// 4 % of the starts lose their reply or notice, and 2 % of the ends their report. A loss holds room
// for up to 1.4 s, until the next report that names what is held; with runs of 1 s that is a tenth of
// the room. Reports every 100 ms leave another tenth unused.
func TestLoadWithLostMessages(t *testing.T) {
	const fit = 200
	l := newLossy(t, 40, 0.02, noAhead(), 100*fit/2, 100*fit/2)
	mean, most := l.play(6*spanrill.Second, 2*fit/100)
	served := func(class int) float64 { return float64(l.ran[class]) / float64(l.asked[class]) }
	t.Logf("%.0f of %d requests at once in the mean, %d at most; served by class %.2f %.2f %.2f", mean, fit, most, served(0), served(1), served(6))
	const want = 0.9 * 0.9 * fit
	if most > fit || mean < want {
		t.Errorf("%.0f requests at once in the mean, %d at most, want %.0f or more and at most %d", mean, most, want, fit)
	}
	if served(0) < 0.8 || served(0) < served(1) || served(1) < served(6) {
		t.Errorf("served by class %.2f %.2f %.2f, want the most urgent nearly all, in order", served(0), served(1), served(6))
	}
	l.play(5*spanrill.Second, 0)
	if l.room.Len() != 0 || len(l.ledger.grants) != 0 {
		t.Errorf("%d claims and %d grants after all have ended, want 0", l.room.Len(), len(l.ledger.grants))
	}
}

// Guards against room that daemons which are killed keep from others.
func TestLoadAfterDaemonsDie(t *testing.T) {
	const fit = 200
	l := newLossy(t, 30, 0, noAhead(), 100*fit)
	l.play(3*spanrill.Second, 2*fit/100)
	for _, c := range l.callers[20:] {
		l.running -= len(c.runs)
	}
	l.callers = l.callers[:20]
	l.play(reportTimeout+2*advanceInterval, 2*fit/100)
	mean, most := l.play(2*spanrill.Second, 2*fit/100)
	t.Logf("%.0f of %d requests at once in the mean, %d at most", mean, fit, most)
	if most > fit || mean < 0.9*fit {
		t.Errorf("%.0f requests at once in the mean, %d at most, want %.0f or more and at most %d", mean, most, 0.9*fit, fit)
	}
}
