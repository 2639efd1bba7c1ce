package exchange

import "spanrill"

// SumsAsOf returns the time as of which the figures that this daemon has for the load of the others
// are complete: what they have started since may be missing. It is 0 while there are no figures.
func (e *Exchange) SumsAsOf() spanrill.Millis { return spanrill.Millis(e.sumsAsOf.Load()) }

// sumsTime returns the time as of which the sum returned by peerSum is complete. In a small fleet that
// is when the daemon that was asked the longest ago was asked. Daemons that do not answer any more are
// not counted, since what they have started is known as far as it ever will be. The caller must hold
// e.mu.
func (e *Exchange) sumsTime(now spanrill.Millis) spanrill.Millis {
	if e.AggregationRounds() > 1 {
		if best := e.fullestTree(now); best >= 0 {
			return e.sums.totals[best].addedUpAt
		}
		return 0
	}
	if e.otherCount.Load() == 0 {
		return now
	}
	oldest := spanrill.Millis(0)
	for _, last := range e.newsByPeer {
		if now-last.askedAt <= retryCountTTL && (oldest == 0 || last.askedAt < oldest) {
			oldest = last.askedAt
		}
	}
	return oldest
}
