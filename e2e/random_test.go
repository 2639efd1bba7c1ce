package e2e

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"spanrill/standin/engine"
	"spanrill/standin/faultproxy"
	"spanrill/standin/platform"
	"spanrill/standin/service"
)

// Environment variables of the randomized test.
const (
	envSeed    = "SPANRILL_SEED"    // seed of the faults
	envSeconds = "SPANRILL_SECONDS" // how long faults are injected
)

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// faultInjector injects faults that are determined by its seed.
type faultInjector struct {
	f      *fleet
	random *rand.Rand
	edits  int
}

// TestRandomFaults injects overlapping random faults for a bounded time while
// callers check their answers. The seed is fixed in CI and logged.
func TestRandomFaults(t *testing.T) {
	seed, seconds := envInt(envSeed, 1), envInt(envSeconds, 10)
	t.Logf("%s=%d %s=%d", envSeed, seed, envSeconds, seconds)
	f := newFleet(t, shape{daemons: 3, enginesPerStage: 3, services: 2})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for w := range 6 {
		wg.Go(func() { f.runCheckedLoad(w, stop) })
	}
	wg.Go(func() { f.watchRevisions(stop) })
	c := &faultInjector{f: f, random: rand.New(rand.NewPCG(uint64(seed), 0))}
	for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); {
		c.injectTwo()
	}
	close(stop)
	wg.Wait()
	f.awaitReady(3)
	if complete := f.askConcurrently(12, 10, nil); complete != 12 {
		t.Errorf("after the faults %d of 12 answers are complete", complete)
	}
}

// runCheckedLoad sends requests until stop is closed and checks each answer.
func (f *fleet) runCheckedLoad(worker int, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		name := fmt.Sprintf("d%d", 1+(i+worker)%3)
		if i%3 == 0 {
			id := fmt.Sprintf("x-%d-%d", worker, i)
			f.checkOutcome(id, f.postReading(name, id, "k-"+id))
			f.checkOutcome(id, f.postReading(fmt.Sprintf("d%d", 1+(i+worker+1)%3), id, "k-"+id))
			continue
		}
		c := chat{prompt: fmt.Sprintf("hive %d of %d", i, worker), seed: i + 1, tokens: 30, stream: i%2 == 0}
		f.askAndCheck(name, c)
	}
}

// watchRevisions fails the test if the revision of a running daemon decreases.
func (f *fleet) watchRevisions(stop <-chan struct{}) {
	last := map[string]uint64{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for name := range f.daemons {
			s, err := f.status(name)
			if err != nil || !s.Ready {
				delete(last, name) // a restarted daemon starts without a revision
				continue
			}
			if s.Revision < last[name] {
				f.t.Errorf("%s went from revision %d to %d", name, last[name], s.Revision)
			}
			last[name] = s.Revision
		}
	}
}

// injectTwo injects two faults, waits and removes them.
func (c *faultInjector) injectTwo() {
	faults := []func() func(){
		c.cutUpstream, c.freezeUpstream, c.slowUpstream, c.loseServiceAnswers,
		c.failPlatform, c.losePlatformAnswers, c.freezeDaemon, c.killDaemon, c.corruptTokens, c.editConfig,
	}
	endFirst, endSecond := faults[c.random.IntN(len(faults))](), faults[c.random.IntN(6)]()
	<-time.After(time.Duration(100+c.random.IntN(500)) * time.Millisecond)
	endFirst()
	endSecond()
}

func (c *faultInjector) upstream() string {
	names := make([]string, 0, len(c.f.boxes))
	for _, b := range c.f.boxes {
		if c.f.proxies[b.Name] != nil {
			names = append(names, b.Name)
		}
	}
	return names[c.random.IntN(len(names))]
}

func (c *faultInjector) engine() *engine.Engine {
	return c.f.engines[fmt.Sprintf("e%d%c", 1+c.random.IntN(3), 'a'+c.random.IntN(3))]
}

func (c *faultInjector) daemon() string { return fmt.Sprintf("d%d", 1+c.random.IntN(3)) }

// proxyFault injects a fault into the proxy of a random upstream.
func (c *faultInjector) proxyFault(fault faultproxy.Faults) func() {
	p := c.f.proxies[c.upstream()]
	p.SetFaults(fault)
	return func() { p.SetFaults(faultproxy.Faults{}) }
}

func (c *faultInjector) cutUpstream() func() {
	p := c.f.proxies[c.upstream()]
	p.SetFaults(faultproxy.Faults{Refuse: true})
	p.CloseConnections()
	return func() { p.SetFaults(faultproxy.Faults{}) }
}

func (c *faultInjector) freezeUpstream() func() { return c.proxyFault(faultproxy.Faults{Freeze: true}) }

func (c *faultInjector) slowUpstream() func() {
	return c.proxyFault(faultproxy.Faults{DelayMillis: 20})
}

func (c *faultInjector) loseServiceAnswers() func() {
	s := c.f.services["s1"]
	s.SetFaults(service.Faults{LoseAnswers: 3})
	return func() { s.SetFaults(service.Faults{}) }
}

func (c *faultInjector) failPlatform() func() {
	c.f.platform.SetFaults(platform.Faults{Down: c.random.IntN(2) == 0, FailEvery: 2})
	return func() { c.f.platform.SetFaults(platform.Faults{}) }
}

func (c *faultInjector) losePlatformAnswers() func() {
	c.f.platform.SetFaults(platform.Faults{LoseAnswers: 2, LoseRequests: 1, StaleReads: 1})
	return func() { c.f.platform.SetFaults(platform.Faults{}) }
}

func (c *faultInjector) corruptTokens() func() {
	e := c.engine()
	e.SetFaults(engine.Faults{DoubleTokens: true, DropToken: 9})
	return func() { e.SetFaults(engine.Faults{}) }
}

func (c *faultInjector) freezeDaemon() func() {
	name := c.daemon()
	c.f.signal(name, syscall.SIGSTOP)
	return func() { c.f.signal(name, syscall.SIGCONT) }
}

func (c *faultInjector) killDaemon() func() {
	name := c.daemon()
	c.f.signal(name, syscall.SIGKILL)
	<-c.f.daemons[name].exited
	return func() { c.f.start(name) }
}

func (c *faultInjector) editConfig() func() {
	c.edits++
	c.f.editAccount(c.edits)
	return func() {}
}
