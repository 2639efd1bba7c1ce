package gateway

import (
	"context"

	"spanrill"
)

// configProver asks the store and other daemons for proof that the configuration is the newest. It is a
// spanrill.ConfigProver.
type configProver struct{ g *Gateway }

// storeAnsweredTime is how long after its last answer to any daemon the store is taken to answer: several
// daemons have asked again by then.
const storeAnsweredTime = outageAge

// Prove wakes the component that polls the store and the one that polls peers, and waits for the first
// proof.
func (p configProver) Prove(ctx context.Context, since spanrill.Millis) bool {
	g := p.g
	if g.config.ConfirmedAt() >= since {
		return true
	}
	if p.inVain() {
		return false
	}
	g.configFollower.Wake()
	g.exchange.Wake()
	return g.config.AwaitConfirmation(ctx, since) == nil
}

// inVain reports whether the store answers neither this daemon nor others, so that no proof will come.
func (p configProver) inVain() bool { return p.g.storeSilent() && !p.StoreAnswers() }

// StoreAnswers reports whether the store has answered a daemon within storeAnsweredTime.
func (p configProver) StoreAnswers() bool {
	return p.g.clock.Now()-p.g.fleet.StoreAnsweredAt() <= storeAnsweredTime
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
