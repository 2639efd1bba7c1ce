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
	inj := &faultInjector{f: f, random: rand.New(rand.NewPCG(uint64(seed), 0))}
	for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); {
		inj.injectTwo()
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
				f.t.Errorf("the revision of %s decreased from %d to %d", name, last[name], s.Revision)
			}
			last[name] = s.Revision
		}
	}
}

// injectTwo injects two faults, waits and removes them. The second one is drawn
// from the first six in the list: faults of upstreams, services and the platform.
func (inj *faultInjector) injectTwo() {
	faults := []func() func(){
		inj.cutUpstream, inj.freezeUpstream, inj.slowUpstream, inj.loseServiceAnswers,
		inj.failPlatform, inj.losePlatformAnswers, inj.freezeDaemon, inj.killDaemon, inj.corruptTokens, inj.editConfig,
	}
	endFirst, endSecond := faults[inj.random.IntN(len(faults))](), faults[inj.random.IntN(6)]()
	<-time.After(time.Duration(100+inj.random.IntN(500)) * time.Millisecond)
	endFirst()
	endSecond()
}

func (inj *faultInjector) upstream() string {
	names := make([]string, 0, len(inj.f.boxes))
	for _, b := range inj.f.boxes {
		if inj.f.proxies[b.Name] != nil {
			names = append(names, b.Name)
		}
	}
	return names[inj.random.IntN(len(names))]
}

func (inj *faultInjector) engine() *engine.Engine {
	return inj.f.engines[fmt.Sprintf("e%d%c", 1+inj.random.IntN(3), 'a'+inj.random.IntN(3))]
}

func (inj *faultInjector) daemon() string { return fmt.Sprintf("d%d", 1+inj.random.IntN(3)) }

// proxyFault injects a fault into the proxy of a random upstream.
func (inj *faultInjector) proxyFault(fault faultproxy.Faults) func() {
	p := inj.f.proxies[inj.upstream()]
	p.SetFaults(fault)
	return func() { p.SetFaults(faultproxy.Faults{}) }
}

func (inj *faultInjector) cutUpstream() func() {
	p := inj.f.proxies[inj.upstream()]
	p.SetFaults(faultproxy.Faults{Refuse: true})
	p.CloseConnections()
	return func() { p.SetFaults(faultproxy.Faults{}) }
}

func (inj *faultInjector) freezeUpstream() func() {
	return inj.proxyFault(faultproxy.Faults{Freeze: true})
}

func (inj *faultInjector) slowUpstream() func() {
	return inj.proxyFault(faultproxy.Faults{DelayMillis: 20})
}

func (inj *faultInjector) loseServiceAnswers() func() {
	s := inj.f.services["s1"]
	s.SetFaults(service.Faults{LoseAnswers: 3})
	return func() { s.SetFaults(service.Faults{}) }
}

func (inj *faultInjector) failPlatform() func() {
	inj.f.platform.SetFaults(platform.Faults{Down: inj.random.IntN(2) == 0, FailEvery: 2})
	return func() { inj.f.platform.SetFaults(platform.Faults{}) }
}

func (inj *faultInjector) losePlatformAnswers() func() {
	inj.f.platform.SetFaults(platform.Faults{LoseAnswers: 2, LoseRequests: 1, StaleReads: 1})
	return func() { inj.f.platform.SetFaults(platform.Faults{}) }
}

func (inj *faultInjector) corruptTokens() func() {
	e := inj.engine()
	e.SetFaults(engine.Faults{DoubleTokens: true, DropToken: 9})
	return func() { e.SetFaults(engine.Faults{}) }
}

func (inj *faultInjector) freezeDaemon() func() {
	name := inj.daemon()
	inj.f.signal(name, syscall.SIGSTOP)
	return func() { inj.f.signal(name, syscall.SIGCONT) }
}

func (inj *faultInjector) killDaemon() func() {
	name := inj.daemon()
	inj.f.signal(name, syscall.SIGKILL)
	<-inj.f.daemons[name].exited
	return func() { inj.f.start(name) }
}

func (inj *faultInjector) editConfig() func() {
	inj.edits++
	inj.f.editAccount(inj.edits)
	return func() {}
}
