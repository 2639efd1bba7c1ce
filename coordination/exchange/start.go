package exchange

import (
	"math"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// A starting daemon that has no configuration and entries yet asks its seeds by address, without
// waiting for gossip to name them: callers may be waiting already.
//
// With 300 daemons that start within 300 ms, the last one is ready 199 ms after its start, and
// the store receives 11 calls (TestStartTogether). Waiting for rounds of gossip and news instead
// takes 826 ms and 49 calls in four seconds.

const (
	// firstPause is the pause after the first request of a starting daemon: by then a seed that
	// started with it has listed the store, which usually takes 4 ms.
	firstPause spanrill.Millis = 40
	// pauseGrowth is the factor from one pause to the next, up to the pause between rounds, so that
	// hundreds of daemons ask a seed that starts late at most five times each.
	pauseGrowth = 1.5
	// seedRounds is the number of rounds in which seeds are asked in this way: half a second. After
	// that, a daemon without data gets it from any peer that has it, because a thousand entries are
	// 160 KB, and seeds that a hundred daemons keep asking answer none of them.
	seedRounds = 5
	// seedsPerRound is how many seeds a daemon asks in each of these rounds. It is more than one,
	// because a seed may be unreachable.
	seedsPerRound = 2
)

// initialized reports whether this daemon has a configuration and a list of upstreams.
func (e *Exchange) initialized() bool {
	select {
	case <-e.state.Fleet.Ready():
		return e.state.Config.Table() != nil
	default:
		return false
	}
}

// randomSeeds returns a few random seeds. Their names are unknown, so their addresses serve as
// names.
func (e *Exchange) randomSeeds() []recipient {
	seeds := append([]string(nil), e.state.Seeds...)
	count := min(seedsPerRound, len(seeds))
	out := make([]recipient, count)
	for i := range count {
		j := i + e.random.IntN(len(seeds)-i)
		seeds[i], seeds[j] = seeds[j], seeds[i]
		out[i].member = peermsg.Member{Name: seeds[i], PeerAddr: seeds[i]}
	}
	return out
}

// NextPause returns how long to wait before the next round. While a daemon with seeds has no
// configuration and entries, the pauses start short and grow with each call.
func (e *Exchange) NextPause() spanrill.Millis {
	if e.initialized() || len(e.state.Seeds) == 0 {
		return roundInterval*9/10 + spanrill.Millis(e.random.Float64()*float64(roundInterval)/5)
	}
	pause := float64(firstPause) * math.Pow(pauseGrowth, float64(e.startRounds))
	e.startRounds++
	return spanrill.Millis(min(pause, float64(roundInterval)))
}
