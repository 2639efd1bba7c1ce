package exchange

import (
	"math"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// A daemon that does not know yet what the platform's store holds asks the daemons that
// it was told of, by their addresses, without waiting until it has heard who they are:
// callers may be there already.
//
// Of 300 daemons that start within 300 ms the last was ready 826 ms after its start, and 49
// calls of the store were made in four seconds, when daemons waited for rounds of gossip
// and news; now it is 199 ms and 11 calls (TestStartTogether).

const (
	// firstGap is the pause behind the first question of a daemon that starts: a seed that
	// started with it has listed what the store holds by then, in ten times its usual
	// answer of 4 ms.
	firstGap spanrill.Millis = 40
	// gapGrowth lengthens each further pause up to that between rounds, so that hundreds
	// of daemons ask a seed that starts late five times each at most.
	gapGrowth = 1.5
	// seedRounds is in how many rounds the seeds are asked in this way: for half a second.
	// Who knows nothing by then hears of it from whom the seeds have told: a thousand
	// entries are 160 KB, and seeds that a hundred daemons ask again and again tell nobody.
	seedRounds = 5
	// seedsAsked is to how many seeds a daemon puts each of these questions: one of them
	// may be cut off.
	seedsAsked = 2
)

// informed reports whether this daemon knows a configuration and upstreams.
func (e *Exchange) informed() bool {
	select {
	case <-e.state.Fleet.Seen():
		return e.state.Config.Table() != nil
	default:
		return false
	}
}

// someSeeds returns a few of the daemons that this one was told of. Their names are not
// known, and their addresses stand for them.
func (e *Exchange) someSeeds() []target {
	seeds := append([]string(nil), e.state.Seeds...)
	few := min(seedsAsked, len(seeds))
	out := make([]target, few)
	for i := range few {
		k := i + e.random.IntN(len(seeds)-i)
		seeds[i], seeds[k] = seeds[k], seeds[i]
		out[i].member = peermsg.Member{Name: seeds[i], PeerAddr: seeds[i]}
	}
	return out
}

// Pause returns how long to wait before the next round.
func (e *Exchange) Pause() spanrill.Millis {
	if e.informed() || len(e.state.Seeds) == 0 {
		return gap*9/10 + spanrill.Millis(e.random.Float64()*float64(gap)/5)
	}
	pause := float64(firstGap) * math.Pow(gapGrowth, float64(e.early))
	e.early++
	return spanrill.Millis(min(pause, float64(gap)))
}
