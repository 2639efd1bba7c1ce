package relay

import (
	"context"

	"spanrill"
)

// chooseConfig sets the configuration by which the request is handled, and the age of the proof that it
// is the newest. If the proof is too old, it waits for a newer one first.
func (q *request) chooseConfig() {
	r := q.relay
	if now := r.Clock.Now(); now-r.Config.ConfirmedAt() > r.options.MaxChangeAge {
		wait := maxProofWait
		if q.head.Deadline > 0 {
			wait = min(wait, q.head.Deadline)
		}
		ctx, cancel := context.WithTimeout(context.Background(), wait.Duration())
		r.Proof.Prove(ctx, now+wait-r.options.MaxChangeAge)
		cancel()
	}
	config := r.Config.Snapshot()
	q.table, q.proofAge = config.Table(), r.Clock.Now()-config.ConfirmedAt()
}

// maxProofWait is how long a request waits for a proof. It covers a call of the store on a connection
// that has gone silent, which is repeated after 250 ms.
const maxProofWait spanrill.Millis = 300

// mayRoute reports whether the request may be routed by its configuration. An old proof is enough while
// the store is known to answer no daemon, so that no other configuration is in force, or has an older
// version.
func (q *request) mayRoute() bool {
	r := q.relay
	return q.proofAge <= r.options.MaxChangeAge || r.Proof.StoreSilent() || r.Config.StoreHasOlder()
}

// mayUseKeys reports whether a request with a key may be sent with a proof of that age.
func (q *request) mayUseKeys(proofAge spanrill.Millis) bool {
	return proofAge <= q.relay.options.MaxKeyAge
}

// finalRefusal returns a refusal that the newest configuration requires, or one that asks the caller to
// retry if the proof is so old that a newer configuration may allow the request.
func (q *request) finalRefusal(proofAge spanrill.Millis, refusal *spanrill.Refusal) *spanrill.Refusal {
	if proofAge > q.relay.options.MaxChangeAge {
		return staleConfigRefusal(proofAge)
	}
	q.proofAge = proofAge
	return refusal
}

// isFinalByConfig reports whether a refusal is a final one that the configuration requires.
func isFinalByConfig(refusal *spanrill.Refusal) bool {
	switch refusal.Reason() {
	case spanrill.ReasonUnknownRoute, spanrill.ReasonBadKey, spanrill.ReasonBodyTooLarge:
		return true
	}
	return false
}

// noProver is the prover of a relay without a store.
type noProver struct{}

func (noProver) Prove(context.Context, spanrill.Millis) bool { return false }
func (noProver) StoreSilent() bool                           { return true }

// staleConfigRefusal returns the refusal of a request for which the proof of the configuration is too
// old.
func staleConfigRefusal(proofAge spanrill.Millis) *spanrill.Refusal {
	if proofAge >= -spanrill.Never {
		return spanrill.NewRefusal(spanrill.ReasonConfigStale, "configuration was never confirmed").WithRetryAfter(staleRetryAfter)
	}
	return spanrill.NewRefusal(spanrill.ReasonConfigStale, "configuration was last confirmed %d ms ago", proofAge).
		WithRetryAfter(staleRetryAfter)
}
