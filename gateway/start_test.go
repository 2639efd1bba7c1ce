package gateway

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/rng"
)

// Guards against store calls that grow with the number of daemons that start together. 30 daemons
// make 22 calls in four seconds and 300 make 11. If each asks the store until it knows others, they
// make 171 and 2,514.
func TestStartTogether(t *testing.T) {
	for _, c := range []struct {
		daemons, maxCalls int
		maxReadyTime      spanrill.Millis
	}{{1, 30, 20}, {30, 45, 400}, {300, 45, 400}} {
		t.Run(fmt.Sprint(c.daemons, " daemons"), func(t *testing.T) {
			t.Parallel()
			f := newStartFleet(t, c.daemons, 1)
			f.run(4 * spanrill.Second)
			unready, last := f.unready()
			t.Logf("%d store calls, the last daemon was ready %d ms after its start", f.storeCalls, last)
			if unready > 0 || last > c.maxReadyTime || f.storeCalls > c.maxCalls {
				t.Fatalf("%d store calls, want at most %d; %d daemons are not ready, want 0; the last was ready after %d ms, want at most %d", f.storeCalls, c.maxCalls, unready, last, c.maxReadyTime)
			}
		})
	}
}

// Guards against refused callers when all daemons start under load. Daemons must get configuration
// and upstreams before the requests that they hold are refused, with far fewer store calls than two
// for each daemon: 73 daemons make 17 to 88, and 140 if no seed runs.
//
// If a daemon waits for gossip and exchange rounds, and asks the store itself only after up to
// 2.5 s, 11 to 18 calls suffice. But then 31 to 53 of the 73 daemons answer too late although the
// store is available: the last after 772 to 798 ms, and with two of three seeds unreachable after
// more than 1.7 s.
func TestStartUnderLoad(t *testing.T) {
	const daemons, startWindow = 73, 430
	for _, c := range []struct {
		name             string
		storeDownFor     spanrill.Millis // from the first start
		unreachableSeeds int             // number of seeds that do not run
		maxCalls         int
		maxWait          spanrill.Millis // the longest from a daemon's first caller to its first answer
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
				f.startWithin(startWindow, rng.New(seed))
				f.storeDown = func(now spanrill.Millis) bool { return now < startBegin+c.storeDownFor }
				for _, d := range f.daemons[:c.unreachableSeeds] {
					d.startAt = startBegin + spanrill.Minute
				}
				f.run(2 * spanrill.Second)
				unready, last := f.unready()
				wait := last - firstCallerDelay
				t.Logf("%d store calls, callers wait for %d ms at most", f.storeCalls, wait)
				if unready > c.unreachableSeeds || wait > c.maxWait || f.storeCalls > c.maxCalls {
					t.Errorf("seed %d: %d store calls, want at most %d; %d daemons are not ready, want only the unreachable seeds; callers wait for %d ms, want at most %d", seed, f.storeCalls, c.maxCalls, unready, wait, c.maxWait)
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
		t.Fatalf("%d daemons are not ready, want 0; the last was ready %d ms after its start, want at most 1500", unready, last)
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
		t.Fatalf("%d daemons are not ready, want the %d seeds only; the last was ready %d ms after its start, want at most latestFirstAsk", unready, startSeeds, last)
	}
}

// Of the daemons that cannot reach a seed, few ask the store early, and all ask by latestFirstAsk.
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

// While the store does not answer some daemons, the number of others that ask for them is the same
// at first in fleets of any size. After allAskAfter all ask.
func TestAskForOthersChance(t *testing.T) {
	const broadcastTime = 3 * newsRound
	for _, daemons := range []int{80, 300, 350} {
		asks := askForOthersChance(0, daemons, broadcastTime) * float64(daemons) * float64(broadcastTime/refreshPoll)
		if asks < askersForOthers*0.99 || asks > askersForOthers*1.01 {
			t.Errorf("%.1f of %d daemons ask at first in one broadcast time, want %.0f", asks, daemons, askersForOthers)
		}
		if askForOthersChance(allAskAfter, daemons, broadcastTime) != 1 {
			t.Errorf("fleet of %d daemons: the chance to ask after allAskAfter is not 1", daemons)
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
				t.Fatalf("%s last confirmed its configuration %d ms ago, want at most 2400", d.peers.name, age)
			}
		}
	}
}
