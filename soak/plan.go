package soak

import (
	"sort"
	"time"

	"spanrill/rng"
)

// Kind names a kind of fault.
type Kind string

// The kinds of faults.
const (
	DaemonKilled         Kind = "daemon killed"           // SIGKILL, then restart
	DaemonStopped        Kind = "daemon stopped"          // SIGTERM, then restart
	DaemonFrozen         Kind = "daemon frozen"           // SIGSTOP, later SIGCONT
	DaemonReloaded       Kind = "daemon reloaded"         // SIGHUP: reloads its settings
	AllDaemonsKilled     Kind = "all daemons killed"      // one after another, each restarted
	StoreDown            Kind = "store down"              // answers 503
	StoreSilent          Kind = "store silent"            // accepts calls but does not answer
	StoreHistoryDropped  Kind = "store drops history"     // drops its history
	StoreAnswersLost     Kind = "store loses answers"     // of writes that took effect
	StoreRestored        Kind = "store restored"          // restored from an older copy
	StoreLinkCut         Kind = "link to store cut"       // the link of one daemon
	StoreLinkSilent      Kind = "link to store silent"    // open connections transfer nothing
	UpstreamLinkFaulty   Kind = "link to upstream faulty" // slow, cut, frozen or silent
	UpstreamCrashes      Kind = "upstream ends"           // crashes; another one starts later
	UpstreamRestarts     Kind = "upstream restarts"       // under the same name, holding nothing
	UpstreamRefuses      Kind = "upstream refuses"        // refuses requests and asks for a rest
	UpstreamLeaves       Kind = "upstream leaves"         // announces it in answers, in half of the variants also in its entry
	UpstreamFails        Kind = "upstream fails"          // answers 500
	UpstreamCutsStreams  Kind = "upstream breaks off"     // cuts streams in the middle
	UpstreamReportsMuted Kind = "upstream reports muted"  // leaves report calls unanswered but serves requests
	UpstreamLimits       Kind = "upstream sets limit"     // sets a limit on its request rate, changes and removes it
	ConfigChanges        Kind = "configuration changes"
	KeyWithdrawn         Kind = "key withdrawn"        // and a new one issued
	PartCrashesEngines   Kind = "part crashes engines" // requests with one part of their prompts crash the engines that answer them
	ConnectionsSkewed    Kind = "most connections at one daemon"
	DaemonPathCut        Kind = "path of daemon to upstreams" // cut to all upstreams, in several ways
	MostPathsCut         Kind = "paths of most daemons to upstreams"
)

// weights lists the relative frequency of each kind.
var weights = []weightedKind{
	{DaemonKilled, 3},
	{DaemonStopped, 3},
	{DaemonFrozen, 3},
	{DaemonReloaded, 1},
	{AllDaemonsKilled, 1},
	{StoreDown, 2},
	{StoreSilent, 2},
	{StoreHistoryDropped, 1},
	{StoreAnswersLost, 2},
	{StoreLinkCut, 2},
	{StoreLinkSilent, 2},
	{UpstreamLinkFaulty, 3},
	{UpstreamCrashes, 4},
	{UpstreamRestarts, 2},
	{UpstreamRefuses, 4},
	{UpstreamLeaves, 3},
	{UpstreamFails, 3},
	{UpstreamCutsStreams, 3},
	{UpstreamReportsMuted, 2},
	{ConfigChanges, 3},
	{KeyWithdrawn, 1},
}

// independentWeights lists the kinds that are drawn from a separate random source, so that they do
// not change the steps that a seed yields for the kinds in weights.
var independentWeights = []weightedKind{
	{UpstreamLimits, 1},
	{StoreRestored, 1},
}

// pathWeights lists the kinds that concern the paths of daemons. They too are drawn from a random
// source of their own.
var pathWeights = []weightedKind{
	{DaemonPathCut, 1},
}

// mostPathsWeights lists the kinds that cut the paths of more than half of the daemons, drawn likewise in
// some seeds.
var mostPathsWeights = []weightedKind{
	{MostPathsCut, 1},
}

// partWeights lists the kinds that concern parts of prompts, drawn likewise.
var partWeights = []weightedKind{
	{PartCrashesEngines, 1},
}

// skewWeights lists the kinds that concern which daemons callers connect to, drawn likewise.
var skewWeights = []weightedKind{
	{ConnectionsSkewed, 1},
}

type weightedKind struct {
	kind   Kind
	weight int
}

// Step is one fault of a plan.
//
// Target selects a daemon, link or upstream, modulo their number.
type Step struct {
	At       time.Duration `json:"at"`  // since the callers started
	Duration time.Duration `json:"for"` // how long the fault lasts
	Kind     Kind          `json:"kind"`
	Target   int           `json:"target"`
	Variant  int           `json:"way"` // selects one of the forms of the fault
}

const (
	// stepGap is the mean pause between two faults. With the mean duration of a fault, a little
	// over two faults are active at a time.
	stepGap = 900 * time.Millisecond
	// independentGap is the mean pause between two faults of independentWeights.
	independentGap = 3 * time.Second
	// independentSeedOffset is added to the seed of the random source for independentWeights.
	independentSeedOffset = 1 << 32
	// pathGap is the mean pause between two faults of pathWeights, and pathSeedOffset is added to the
	// seed of their random source.
	pathGap        = 4 * time.Second
	pathSeedOffset = 1 << 33
	// mostPathsGap and mostPathsSeedOffset are the same for mostPathsWeights, which are drawn for odd seeds.
	mostPathsGap        = 6 * time.Second
	mostPathsSeedOffset = 1 << 36
	mostPathsSeeds      = 2
	// partGap and partSeedOffset are the same for partWeights.
	partGap        = 10 * time.Second
	partSeedOffset = 1 << 34
	// skewGap and skewSeedOffset are the same for skewWeights.
	skewGap        = 6 * time.Second
	skewSeedOffset = 1 << 35
	// shortestFault and longestFault bound the duration of a fault: from less than one round of
	// exchange with peers to almost as long as a daemon accepts keys without proof that its
	// configuration is current, which is a little less than revokeTime.
	shortestFault = 200 * time.Millisecond
	longestFault  = 4 * time.Second
	// repeatShare is the share of steps that are repeated twice, repeatGap apart, on the next
	// targets.
	repeatShare = 0.2
	repeatGap   = 350 * time.Millisecond
	// variantCount is the number of values of Step.Variant.
	variantCount = 4
)

// Plan returns the faults of a run in order. The result depends on the seed and the length alone.
func Plan(seed uint64, length time.Duration) []Step {
	steps := append(drawSteps(rng.New(seed), weights, stepGap, length), drawSteps(rng.New(seed+independentSeedOffset), independentWeights, independentGap, length)...)
	steps = append(steps, drawSteps(rng.New(seed+pathSeedOffset), pathWeights, pathGap, length)...)
	steps = append(steps, drawSteps(rng.New(seed+partSeedOffset), partWeights, partGap, length)...)
	steps = append(steps, drawSteps(rng.New(seed+skewSeedOffset), skewWeights, skewGap, length)...)
	if seed%mostPathsSeeds == 1 {
		steps = append(steps, drawSteps(rng.New(seed+mostPathsSeedOffset), mostPathsWeights, mostPathsGap, length)...)
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].At < steps[j].At })
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
		s := Step{At: at, Kind: drawKind(r, kinds), Target: r.IntN(1 << 16), Variant: r.IntN(variantCount)}
		s.Duration = shortestFault + time.Duration(r.Float64()*r.Float64()*float64(longestFault-shortestFault))
		steps = append(steps, s)
		if r.Float64() < repeatShare {
			for n := range 2 {
				repeated := s
				repeated.At += time.Duration(n+1) * repeatGap
				repeated.Target += n + 1
				steps = append(steps, repeated)
			}
		}
	}
}

// drawKind draws a kind with a probability proportional to its weight.
func drawKind(r *rng.Source, kinds []weightedKind) Kind {
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
