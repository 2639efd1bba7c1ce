package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"spanrill"
	"spanrill/standin/engine"
	"spanrill/standin/faultproxy"
	"spanrill/standin/platform"
)

// busy reports whether requests cross an engine.
func (f *fleet) busy(name string) bool {
	for d := range f.daemons {
		s, err := f.status(d)
		if err != nil {
			continue
		}
		for _, u := range s.Upstreams {
			if u.Name == name && u.InFlight > 0 {
				return true
			}
		}
	}
	return false
}

// leaveLimit is after how long a leaving upstream gets no new work.
const leaveLimit = 3 * time.Second

// An upstream says that it is leaving, while the box list shows it live for
// ten seconds more: after three seconds it gets no new work on any daemon, and
// what ran on it ends whole.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(f *fleet)
	}{
		{"by its own word", func(f *fleet) { f.engines["e2a"].SetFaults(engine.Faults{Leaving: true}) }},
		{"by the box list", func(f *fleet) { f.setState("e2a", spanrill.BoxLeaving) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, shape{daemons: 3, perStage: 2})
			if c.name == "by its own word" {
				f.platform.SetFaults(platform.Faults{BoxesDown: true})
			}
			var wg sync.WaitGroup
			wg.Go(func() {
				if whole := f.askAll(12, 250, nil); whole != 12 {
					t.Errorf("%d of 12 answers that ran are whole", whole)
				}
			})
			f.await("e2a works", func() bool { return f.busy("e2a") })
			c.leave(f)
			left := time.Now()
			f.await("no daemon counts e2a as usable", func() bool { return f.leaving("e2a") == len(f.daemons) })
			if took := time.Since(left); took > leaveLimit {
				t.Errorf("noticed everywhere after %v", took)
			}
			wg.Wait()
			before := f.requestsOver("e2a")
			if whole := f.askAll(24, 10, nil); whole != 24 {
				t.Errorf("%d of 24 answers afterwards are whole", whole)
			}
			if after := f.requestsOver("e2a"); after != before {
				t.Errorf("e2a got %d new requests", after-before)
			}
		})
	}
}

// setState changes a box in the box list.
func (f *fleet) setState(name string, state spanrill.BoxState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.boxes {
		if f.boxes[i].Name == name {
			f.boxes[i].State = state
		}
	}
	f.platform.SetBoxes(f.boxes)
}

// leaving counts the daemons that give an upstream no new work.
func (f *fleet) leaving(name string) int {
	n := 0
	for d := range f.daemons {
		s, err := f.status(d)
		if err != nil {
			continue
		}
		for _, u := range s.Upstreams {
			if u.Name == name && u.Leaving {
				n++
			}
		}
	}
	return n
}

// requestsOver counts the finished requests whose chain held the engine.
func (f *fleet) requestsOver(name string) int {
	n := 0
	for d := range f.daemons {
		_, body := get("http://" + f.daemons[d].settings.AdminListen + "/requests")
		n += strings.Count(body, name)
	}
	return n
}

// A rolling replacement of all daemons under load: no request is cut, none is
// told a lie, and every one that was refused was told when to come back.
func TestRollingReplacementCutsNothing(t *testing.T) {
	const daemons = 8
	f := newFleet(t, shape{daemons: daemons, perStage: 2, services: 2})
	var all []string
	for i := range daemons {
		all = append(all, fmt.Sprintf("d%d", i+1))
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var served, refused atomic.Int64
	var target atomic.Value // the daemons that the balancer sends to
	target.Store(all)
	for w := range 8 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				names := target.Load().([]string)
				f.oneRequest(names[(i+w)%len(names)], w, i, &served, &refused)
			}
		})
	}
	for _, name := range all {
		f.signal(name, syscall.SIGTERM)
		target.Store(without(all, name))
		f.awaitExit(name)
		f.start(name)
		f.await(name+" is back", func() bool {
			s, err := f.status(name)
			return err == nil && s.Ready && len(s.Peers) == daemons
		})
		target.Store(all)
	}
	close(stop)
	wg.Wait()
	if served.Load() < 200 {
		t.Errorf("only %d requests were served (%d refused)", served.Load(), refused.Load())
	}
}

func without(names []string, name string) []string {
	var left []string
	for _, n := range names {
		if n != name {
			left = append(left, n)
		}
	}
	return left
}

// oneRequest sends a chat or a reading and checks what it was told.
func (f *fleet) oneRequest(name string, worker, i int, served, refused *atomic.Int64) {
	if i%2 == 0 {
		id := fmt.Sprintf("r-%d-%d", worker, i)
		a := f.post(name, id, "")
		f.checkOnce(id, a)
		f.countAnswer(a, served, refused)
		return
	}
	c := chat{prompt: fmt.Sprintf("hive %d of %d", i, worker), seed: i, tokens: 20, stream: i%4 == 1}
	text, whole, a := f.ask(name, c)
	if a.status == http.StatusOK && (!whole || text != f.want(c)) {
		f.t.Errorf("%s cut a chat: %q", name, text)
	}
	f.countAnswer(a, served, refused)
}

func (f *fleet) countAnswer(a answer, served, refused *atomic.Int64) {
	switch {
	case a.err != nil:
		f.t.Errorf("a request got no answer: %v", a.err)
	case a.status == http.StatusOK:
		served.Add(1)
	case a.header.Get("Retry-After") == "":
		f.t.Errorf("refused with %d and not told when to come back: %s", a.status, a.body)
	default:
		refused.Add(1)
	}
}

// All holders of one range die. Another engine is ordered to load it, and the
// model is served again.
func TestLostLayersAreLoadedElsewhere(t *testing.T) {
	f := newFleet(t, shape{daemons: 3, perStage: 2})
	f.kill("e2a", "e2b")
	f.await("the model is served again", func() bool {
		_, whole, _ := f.ask("d1", chat{prompt: "hive", seed: 1, tokens: 4})
		return whole
	})
	if n := f.ordered(); n < 1 || n > 2 {
		t.Errorf("%d orders were given", n)
	}
	if whole := f.askAll(12, 20, nil); whole != 12 {
		t.Errorf("%d of 12 answers are whole", whole)
	}
}

// ordered counts the orders that took effect.
func (f *fleet) ordered() int {
	n := 0
	for _, e := range f.engines {
		n += len(e.Orders())
	}
	return n
}

// placer returns the daemon that holds the placement lease, and its term.
func (f *fleet) placer() (string, uint64) {
	for name := range f.daemons {
		if s, err := f.status(name); err == nil && s.PlacementTerm > 0 {
			return name, s.PlacementTerm
		}
	}
	return "", 0
}

// The holder of the placement lease is frozen past its end and thawed: another
// daemon holds the lease under a higher term, and no engine takes an order of
// the old one.
func TestFrozenLeaseHolderGivesNoOrders(t *testing.T) {
	f := newFleet(t, shape{daemons: 3, perStage: 2})
	var holder string
	var term uint64
	f.await("a daemon holds the lease", func() bool { holder, term = f.placer(); return holder != "" })
	f.signal(holder, syscall.SIGSTOP)
	f.kill("e2a", "e2b")
	frozen := f.daemons[holder]
	delete(f.daemons, holder)
	f.awaitLong("another daemon orders the layers", func() bool { return f.ordered() > 0 })
	f.check(frozen.cmd.Process.Signal(syscall.SIGCONT))
	f.daemons[holder] = frozen
	f.await("the old holder knows that it holds nothing", func() bool {
		s, err := f.status(holder)
		return err == nil && s.PlacementTerm == 0
	})
	for name, e := range f.engines {
		last := term
		for _, o := range e.Orders() {
			if o.Term <= term || o.Term < last {
				t.Errorf("%s took an order of term %d after term %d", name, o.Term, last)
			}
			last = o.Term
		}
	}
}

// awaitLong waits for what takes the whole time of a lease.
func (f *fleet) awaitLong(what string, holds func() bool) {
	f.t.Helper()
	limit := time.Now().Add(60 * time.Second)
	for !holds() {
		if time.Now().After(limit) {
			f.t.Fatalf("not in time: %s", what)
		}
		<-time.After(50 * time.Millisecond)
	}
}

// While the platform is out, slow or fails every other call, traffic goes on,
// and afterwards the calls stay under the platform's rates.
func TestTrafficGoesOnWithoutThePlatform(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults platform.Faults
	}{
		{"down", platform.Faults{Down: true}},
		{"slow", platform.Faults{DelayMillis: 1500}},
		{"every other call fails", platform.Faults{FailEvery: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, shape{daemons: 4, perStage: 2, services: 1})
			f.platform.SetFaults(c.faults)
			for i := range 3 {
				if whole := f.askAll(12, 20, nil); whole != 12 {
					t.Errorf("%d of 12 answers are whole", whole)
				}
				if a := f.post("d1", fmt.Sprint(i), ""); a.outcome != "ran" {
					t.Errorf("a reading without a key was told %q", a.outcome)
				}
			}
			f.platform.SetFaults(platform.Faults{})
			f.noStorm()
		})
	}
}

// Calls a second that four daemons may make of the platform, box lists aside.
const (
	mostWrites = 20
	mostReads  = 60
)

// noStorm counts the calls of two seconds after an outage.
func (f *fleet) noStorm() {
	f.t.Helper()
	before := f.platform.Calls()
	<-time.After(2 * time.Second) // the time over which calls are counted
	after := f.platform.Calls()
	writes := after.Writes - before.Writes
	reads := after.Reads + after.Watches - before.Reads - before.Watches
	if writes > 2*mostWrites || reads > 2*mostReads || after.Limited > 0 {
		f.t.Errorf("%d writes and %d reads in two seconds, %d refused for the rate", writes, reads, after.Limited)
	}
}

// Daemons that are parted into halves by frozen links between them go on
// serving, and find each other again.
func TestPartedDaemonsGoOn(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, perStage: 1, services: 1, noDaemons: true})
	// Each daemon is reached by its peers through a proxy, by its box entry.
	between := map[string]*faultproxy.Proxy{}
	for i := range f.boxes {
		b := &f.boxes[i]
		if b.Role != spanrill.RoleEntry {
			continue
		}
		p := faultproxy.New(b.PeerAddr)
		front, err := p.Listen(f.ip + ":0")
		f.check(err)
		t.Cleanup(p.Close)
		between[b.Name] = p
		b.PeerAddr = front
	}
	f.platform.SetBoxes(f.boxes)
	for name := range f.daemons {
		f.daemons[name].settings.PeerAdvertise = f.peerAddr(name)
		f.start(name)
	}
	f.awaitReady(2)
	for _, p := range between {
		p.SetFaults(faultproxy.Faults{Refuse: true})
		p.CloseConnections()
	}
	f.await("each daemon is alone", func() bool { return f.alive("d1") == 1 && f.alive("d2") == 1 })
	revision := f.edit(1)
	for name := range f.daemons {
		f.awaitRevision(name, revision)
		f.checkOnce("parted-"+name, f.post(name, "parted-"+name, "k-"+name))
		f.checkOnce("same", f.post(name, "same", "k-same"))
	}
	if f.runs("same") != 1 {
		t.Errorf("one key ran %d times in two halves", f.runs("same"))
	}
	for _, p := range between {
		p.SetFaults(faultproxy.Faults{})
	}
	f.awaitReady(2)
}

func (f *fleet) alive(name string) int {
	s, err := f.status(name)
	if err != nil {
		return 0
	}
	return len(s.Peers)
}

func (f *fleet) peerAddr(name string) string {
	for _, b := range f.boxes {
		if b.Name == name {
			return b.PeerAddr
		}
	}
	return ""
}
