package gateway

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/rng"
)

// Guards against store calls that grow with the number of daemons that start together. When each
// asked until it knew others, 30 daemons made 171 calls in four seconds and 300 made 2,514;
// now they make 22 and 11.
func TestStartTogether(t *testing.T) {
	for _, c := range []struct {
		daemons, calls int
		ready          spanrill.Millis
	}{{1, 30, 20}, {30, 45, 400}, {300, 45, 400}} {
		t.Run(fmt.Sprint(c.daemons, " daemons"), func(t *testing.T) {
			t.Parallel()
			f := newStartFleet(t, c.daemons, 1)
			f.run(4 * spanrill.Second)
			unready, last := f.unready()
			t.Logf("%d store calls, the last daemon was ready %d ms after its start", f.calls, last)
			if unready > 0 || last > c.ready || f.calls > c.calls {
				t.Fatalf("%d store calls, want at most %d; %d daemons are not ready, the last was after %d ms, want at most %d", f.calls, c.calls, unready, last, c.ready)
			}
		})
	}
}

// Guards against refused callers when all daemons start under load. Daemons must get configuration
// and upstreams before the requests that they hold are refused, with far fewer store calls than two
// each.
//
// When a daemon waited for gossip and exchange rounds, and asked the store itself after up to
// 2.5 s, 31 to 53 of 73 daemons could not answer within the time that requests are held although
// the store was available, the last after 772 to 798 ms; with two of three seeds unreachable,
// after more than 1.7 s. It took 11 to 18 calls; now it takes 17 to 88, and 140 if no seed runs.
func TestStartUnderLoad(t *testing.T) {
	const daemons, together = 73, 430
	for _, c := range []struct {
		name  string
		away  spanrill.Millis // the store is down until then, counted from the first start
		cut   int             // number of seeds that are unreachable
		calls int
		wait  spanrill.Millis // the longest from a daemon's first caller to its first answer
	}{
		{"the store is available", 0, 0, 95, 120},
		{"the store is down for 200 ms", 200, 0, 130, 330},
		{"the store is down for 800 ms", 800, 0, 520, 1100},
		{"two of three seeds are unreachable", 0, 2, 130, 130},
		{"all seeds are unreachable", 0, 3, 146, 130},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				f := newStartFleet(t, daemons, seed)
				f.withCallers = true
				f.startWithin(together, rng.New(seed))
				f.storeDown = func(now spanrill.Millis) bool { return now < startBegin+c.away }
				for _, d := range f.daemons[:c.cut] {
					d.startAt = startBegin + spanrill.Minute
				}
				f.run(2 * spanrill.Second)
				unready, last := f.unready()
				wait := last - firstCallerDelay
				t.Logf("%d store calls, callers wait for %d ms at most", f.calls, wait)
				if unready > c.cut || wait > c.wait || f.calls > c.calls {
					t.Errorf("seed %d: %d store calls, want at most %d; %d daemons are not ready; callers wait for %d ms, want at most %d", seed, f.calls, c.calls, unready, wait, c.wait)
				}
			}
		})
	}
}

// A daemon that starts while the store is down becomes ready with the data of its peers.
func TestStartWithoutStore(t *testing.T) {
	f := newStartFleet(t, 30, 2)
	late := f.daemons[29]
	late.startAt = startBegin + 4*spanrill.Second
	late.askStoreAt = late.startAt + latestFirstAsk
	f.storeDown = func(now spanrill.Millis) bool { return now >= late.startAt }
	f.run(6 * spanrill.Second)
	if unready, last := f.unready(); unready > 0 || last > 1500 {
		t.Fatalf("%d daemons are not ready, the last was after %d ms", unready, last)
	}
}

// If no seed can be reached, each daemon asks the store itself within latestFirstAsk.
func TestStartWithoutSeeds(t *testing.T) {
	f := newStartFleet(t, 30, 3)
	for _, seed := range f.daemons[:startSeeds] {
		seed.startAt = startBegin + spanrill.Minute
	}
	f.run(4 * spanrill.Second)
	if unready, last := f.unready(); unready != startSeeds || last > latestFirstAsk+simStep {
		t.Fatalf("%d daemons are not ready, want the %d seeds only; the last was after %d ms", unready, startSeeds, last)
	}
}

// Of daemons that cannot reach a seed few ask the store early, and each asks by latestFirstAsk.
func TestFirstAskDelay(t *testing.T) {
	if got := firstAskDelay(true, 1); got != 0 {
		t.Fatalf("a seed waits for %d ms, want 0", got)
	}
	for _, c := range []struct {
		draw float64
		want spanrill.Millis
	}{{1, latestFirstAsk}, {0.5, 2258}, {0.01, 889}, {0.001, 83}, {0.0001, 0}, {0, 0}} {
		if got := firstAskDelay(false, c.draw); got != c.want {
			t.Errorf("draw %v: delay %d ms, want %d", c.draw, got, c.want)
		}
	}
}

// The number of daemons that ask because the store does not answer others is at first the same in
// fleets of any size. In the end all ask.
func TestAskForOthersChance(t *testing.T) {
	const spread = 3 * newsRound
	for _, daemons := range []int{80, 300, 350} {
		asks := askForOthersChance(0, daemons, spread) * float64(daemons) * float64(spread/refreshPoll)
		if asks < askersForOthers*0.99 || asks > askersForOthers*1.01 {
			t.Errorf("%.1f of %d daemons ask in one broadcast time, want %.0f", asks, daemons, askersForOthers)
		}
		if askForOthersChance(allAskAfter, daemons, spread) != 1 {
			t.Errorf("not all of %d daemons ask after allAskAfter", daemons)
		}
	}
}

// Guards against outdated configuration while daemons join and the seeds are gone: daemons that
// have run for a while must keep asking the store by their ranks.
func TestRunningDaemonsAskWhileOthersJoin(t *testing.T) {
	f := newStartFleet(t, 30, 4)
	for i, late := range f.daemons[20:] {
		late.startAt = startBegin + maxStartTime + spanrill.Second*spanrill.Millis(i+1)
		late.startedAt, late.askStoreAt = late.startAt, late.startAt+latestFirstAsk
	}
	f.run(maxStartTime)
	for _, seed := range f.daemons[:startSeeds] {
		seed.startAt = startBegin + spanrill.Minute // stopped from now on
	}
	f.run(5 * spanrill.Second) // until they are considered dead
	for range 50 {
		f.run(100)
		for _, d := range f.daemons[startSeeds:20] {
			if age := d.config.Age(); age > 2400 {
				t.Fatalf("%s confirmed its configuration %d ms ago", d.peers.name, age)
			}
		}
	}
}
