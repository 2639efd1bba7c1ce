package gateway

import (
	"context"

	"spanrill"
)

// configProver asks the store and other daemons for proof that the configuration is the newest. It is a
// spanrill.ConfigProver.
type configProver struct{ g *Gateway }

// Prove wakes the component that polls the store and the one that polls peers, and waits for the first
// proof.
func (p configProver) Prove(ctx context.Context, since spanrill.Millis) bool {
	g := p.g
	if g.config.ConfirmedAt() >= since {
		return true
	}
	if p.StoreSilent() {
		return false
	}
	g.configFollower.Wake()
	g.exchange.Wake()
	return g.config.AwaitConfirmation(ctx, since) == nil
}

// StoreSilent reports whether the store is known to answer no daemon.
func (p configProver) StoreSilent() bool { return p.g.storeAnswersNobody() }

// storeAnswersNobody reports whether the store has left calls of this daemon unanswered while this
// daemon ran, and no news of an answer to another one has come for as long as such news may take. That
// this daemon hears nothing is not enough: it may be the one that is slow.
func (g *Gateway) storeAnswersNobody() bool { return g.storeSilent() && !g.storeAnsweredLately() }

// storeAnsweredLately reports whether the store is known to have answered a daemon recently.
func (g *Gateway) storeAnsweredLately() bool {
	return g.running.Since(g.fleet.StoreAnsweredAt()) <= g.maxAnswerNewsAge()
}

// maxAnswerNewsAge returns how old the newest answer of the store is that a daemon knows of, while the
// store answers others: the first in rank asks, and news of its answer may be lost twice.
func (g *Gateway) maxAnswerNewsAge() spanrill.Millis {
	return g.entriesRefreshAge() + g.exchange.BroadcastTime() + rankDelay
}

// maxChangeAge returns how old the proof may be for decisions that a changed configuration must not be
// late for.
func (g *Gateway) maxChangeAge() spanrill.Millis { return g.settings.Bounds.Apply }

// maxKeyAge returns how old the proof may be when a request with a key is sent.
func (g *Gateway) maxKeyAge() spanrill.Millis {
	return max(1, g.settings.Bounds.Revoke-freshnessMargin)
}

// isProved reports whether the proof is recent enough for every decision.
func (g *Gateway) isProved() bool { return g.config.Age() <= g.maxChangeAge() }

// isKeyFresh reports whether the proof is recent enough to send requests with a key.
func (g *Gateway) isKeyFresh() bool { return g.config.Age() <= g.maxKeyAge() }
