package soak

import (
	"sort"
	"time"

	"spanrill/rng"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	DaemonKilled   Kind = "daemon killed"        // and started again
	DaemonStopped  Kind = "daemon stopped"       // as planned, and started again
	DaemonFrozen   Kind = "daemon frozen"        // stands still
	DaemonTold     Kind = "daemon told"          // that its settings have changed
	AllKilled      Kind = "all daemons killed"   // at once
	StoreDown      Kind = "store down"           // answers 503
	StoreSilent    Kind = "store silent"         // answers nothing
	StoreForgets   Kind = "store forgets"        // its history
	StoreLoses     Kind = "store loses answers"  // of writes that it has done
	StoreRestored  Kind = "store restored"       // from an older copy
	StoreLinkCut   Kind = "link to store cut"    // of one daemon
	StoreLinkMute  Kind = "link to store mute"   // open connections carry nothing more
	UpstreamLinks  Kind = "link to upstream bad" // slow, cut or mute
	UpstreamEnds   Kind = "upstream ends"        // as a crash, another one comes later
	UpstreamAgain  Kind = "upstream restarts"    // under its name, holding nothing
	UpstreamFull   Kind = "upstream refuses"     // and asks for rest
	UpstreamLeaves Kind = "upstream leaves"      // says so in answers, then in its entry
	UpstreamFails  Kind = "upstream fails"       // answers 500
	UpstreamBreaks Kind = "upstream breaks off"  // in the middle of streams
	UpstreamMute   Kind = "upstream mute"        // to questions, and works on
	UpstreamLimits Kind = "upstream sets limit"  // on its request rate, changes and removes it
	ConfigChanges  Kind = "configuration changes"
	KeyWithdrawn   Kind = "key withdrawn" // and another one given out
)

// weights is how often each kind comes, compared with the others.
var weights = []weightedKind{
	{DaemonKilled, 3},
	{DaemonStopped, 3},
	{DaemonFrozen, 3},
	{DaemonTold, 1},
	{AllKilled, 1},
	{StoreDown, 2},
	{StoreSilent, 2},
	{StoreForgets, 1},
	{StoreLoses, 2},
	{StoreLinkCut, 2},
	{StoreLinkMute, 2},
	{UpstreamLinks, 3},
	{UpstreamEnds, 4},
	{UpstreamAgain, 2},
	{UpstreamFull, 4},
	{UpstreamLeaves, 3},
	{UpstreamFails, 3},
	{UpstreamBreaks, 3},
	{UpstreamMute, 2},
	{ConfigChanges, 3},
	{KeyWithdrawn, 1},
}

// independentWeights lists the kinds that are drawn from a separate random source, so that they do
// not change the steps that a seed yields for the kinds in weights.
var independentWeights = []weightedKind{
	{UpstreamLimits, 1},
	{StoreRestored, 1},
}

type weightedKind struct {
	kind   Kind
	weight int
}

// Step is one fault of a plan.
type Step struct {
	At     time.Duration `json:"at"`     // since callers began
	For    time.Duration `json:"for"`    // until it is over
	Kind   Kind          `json:"kind"`   //
	Target int           `json:"target"` // which of those that there are, counted round
	Way    int           `json:"way"`    // which of several forms it takes
}

const (
	// stepGap is the mean pause between two faults: with the mean length of a fault a little
	// over two are under way at a time.
	stepGap = 900 * time.Millisecond
	// independentGap is the mean pause between two faults of independentWeights.
	independentGap = 3 * time.Second
	// independentSeedOffset is added to the seed of the random source for independentWeights.
	independentSeedOffset = 1 << 32
	// shortestFault and longestFault bound how long one lasts: from less than a round of news
	// to longer than a key may be used without a proof.
	shortestFault = 200 * time.Millisecond
	longestFault  = 4 * time.Second
	// seriesShare of the steps come again, twice, close behind each other.
	seriesShare = 0.2
	seriesGap   = 350 * time.Millisecond
	// ways is the number of forms that a step may take.
	ways = 4
)

// Plan returns the faults of a run in their order. It follows from the seed and the length
// alone.
func Plan(seed uint64, length time.Duration) []Step {
	steps := append(drawSteps(rng.New(seed), weights, stepGap, length), drawSteps(rng.New(seed+independentSeedOffset), independentWeights, independentGap, length)...)
	sort.SliceStable(steps, func(i, k int) bool { return steps[i].At < steps[k].At })
	return steps
}

// drawSteps draws the steps for the given kinds, with the mean pause gap between them. Repeated
// steps may be out of order.
func drawSteps(r *rng.Source, kinds []weightedKind, gap, length time.Duration) (steps []Step) {
	for at := time.Duration(0); ; {
		at += time.Duration(2 * r.Float64() * float64(gap))
		if at >= length {
			return steps
		}
		s := Step{At: at, Kind: draw(r, kinds), Target: r.IntN(1 << 16), Way: r.IntN(ways)}
		s.For = shortestFault + time.Duration(r.Float64()*r.Float64()*float64(longestFault-shortestFault))
		steps = append(steps, s)
		if r.Float64() < seriesShare {
			for n := range 2 {
				again := s
				again.At += time.Duration(n+1) * seriesGap
				again.Target += n + 1
				steps = append(steps, again)
			}
		}
	}
}

func draw(r *rng.Source, kinds []weightedKind) Kind {
	sum := 0
	for _, w := range kinds {
		sum += w.weight
	}
	n := r.IntN(sum)
	for _, w := range kinds {
		if n < w.weight {
			return w.kind
		}
		n -= w.weight
	}
	return kinds[0].kind
}
