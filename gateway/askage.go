package gateway

import "spanrill"

// askDelay returns how long to wait before checking again whether this daemon has to ask the store,
// or 0 if it has to ask now. Age is the age of its data, refreshAge the age at which the first in
// rank asks, bound the age that must not be exceeded, and ageOfRank when a daemon with a rank asks.
func (g *Gateway) askDelay(age, refreshAge, bound spanrill.Millis, ageOfRank askAgeFunc) spanrill.Millis {
	if age < refreshAge {
		return untilAge(age, refreshAge)
	}
	askAgeAt := func(draw float64) spanrill.Millis { return lateAskAge(refreshAge, bound, 1-draw) }
	if !g.waitsForSeeds() {
		rank, broadcastTime := g.askRank(), g.exchange.BroadcastTime()
		askAgeAt = func(draw float64) spanrill.Millis { return ageOfRank(refreshAge, bound, rank, broadcastTime, draw) }
	}
	if age >= askAgeAt(g.random.Float64()) {
		return 0
	}
	return untilAge(age, askAgeAt(0))
}

// untilAge returns how long to wait until data of the given age may be old enough to ask the
// store. Ranks change, so the wait is one exchange round at most.
func untilAge(age, target spanrill.Millis) spanrill.Millis {
	return min(newsRound, max(refreshPoll, target-age))
}

// lateAskAge returns the age of its data at which a daemon that relies on others asks the store
// itself: in the last second that the bound allows. Before the trees are complete, news takes 1
// to 2 s to reach a fleet of 300.
func lateAskAge(refreshAge, bound spanrill.Millis, draw float64) spanrill.Millis {
	latestAge := bound - askMargin
	return max(refreshAge, latestAge-spanrill.Millis(draw*float64(min(spanrill.Second, latestAge/latestAskDivisor))))
}

// askAgeFunc returns the age of its data at which a daemon asks the store: the first in rank at
// refreshAge, the others later, when news of the first one's answer should have arrived, and all of
// them in time for the bound. Draw, from 0 to 1, spreads daemons of the same rank.
type askAgeFunc func(refreshAge, bound spanrill.Millis, rank int, broadcastTime spanrill.Millis, draw float64) spanrill.Millis

// askAge is the askAgeFunc for entries of upstreams. If news normally arrives before, all daemons ask at
// half of the bound, since requests do not wait for newer entries.
func askAge(refreshAge, bound spanrill.Millis, rank int, broadcastTime spanrill.Millis, draw float64) spanrill.Millis {
	latestAge := min(max(bound/latestAskDivisor, refreshAge+broadcastTime+newsRound), bound-askMargin)
	return ageByRank(refreshAge, latestAge, rank, broadcastTime, draw)
}

// configAskAge is the askAgeFunc for the configuration. Requests wait for a newer proof if theirs is too
// old, so that a daemon may wait for the news of others nearly until the bound.
func configAskAge(refreshAge, bound spanrill.Millis, rank int, broadcastTime spanrill.Millis, draw float64) spanrill.Millis {
	return ageByRank(refreshAge, bound-askMargin, rank, broadcastTime, draw)
}

// ageByRank returns the age at which a daemon of a rank asks the store. That is latestAge and rankStep at
// most.
func ageByRank(refreshAge, latestAge spanrill.Millis, rank int, broadcastTime spanrill.Millis, draw float64) spanrill.Millis {
	if rank == 0 {
		return refreshAge
	}
	ageOfRank := refreshAge + broadcastTime - newsRound + rankDelay + rankStep*spanrill.Millis(rank-1)
	return min(ageOfRank, latestAge) + spanrill.Millis(draw*float64(rankStep))
}
