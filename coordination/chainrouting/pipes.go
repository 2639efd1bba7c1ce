package chainrouting

import (
	"sync"
	"sync/atomic"

	"spanrill"
	"spanrill/coordination/cost"
)

// pipes counts the requests of this daemon whose paths cross between two availability zones. All
// crossings of a pair of zones share one pipe (a network link of limited bandwidth), which a few
// prompts can fill, so a path that crosses takes only as many requests as the pipe can carry.
type pipes struct {
	daemons atomic.Int64 // daemons that share the pipes
	counts  sync.Map     // spanrill.ZonePair to *atomic.Int64
}

// eachCrossing calls f for each hop of a path between availability zones.
func eachCrossing(parts []Part, f func(spanrill.ZonePair)) {
	for i := 1; i < len(parts); i++ {
		a, b := parts[i-1].Upstream.Zone(), parts[i].Upstream.Zone()
		if a != b {
			f(spanrill.ZonePairOf(a, b))
		}
	}
}

func (p *pipes) add(parts []Part, n int64) {
	eachCrossing(parts, func(pair spanrill.ZonePair) { p.counter(pair).Add(n) })
}

func (p *pipes) counter(pair spanrill.ZonePair) *atomic.Int64 {
	c, ok := p.counts.Load(pair)
	if !ok {
		c, _ = p.counts.LoadOrStore(pair, &atomic.Int64{})
	}
	return c.(*atomic.Int64) //nolint:forcetypeassert // the map holds nothing else
}

// maxPipeUse is the fraction of a pipe that requests may use. A fuller pipe delays tokens, which
// queue behind prompts, but where all other paths are full, a delayed request is better than a
// refused one.
const maxPipeUse = 0.8

// pipesHaveRoom reports whether the pipes of a path can carry one more request that takes that
// many milliseconds. It assumes that every other daemon uses them as much as this one.
func (s *search) pipesHaveRoom(parts []Part, millis float64) bool {
	perRequest := cost.PipeMillis(s.model, s.model.MeanPromptTokens+s.model.MeanAnswerTokens)
	if perRequest <= 0 {
		return true
	}
	limit := maxPipeUse * millis / perRequest / float64(max(1, s.pipes.daemons.Load()))
	fits := true
	needed := map[spanrill.ZonePair]int64{}
	eachCrossing(parts, func(pair spanrill.ZonePair) {
		needed[pair]++
		fits = fits && float64(s.pipes.counter(pair).Load()+needed[pair]) <= max(1, limit)
	})
	return fits
}
