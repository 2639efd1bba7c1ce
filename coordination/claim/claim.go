// Package claim makes a call with an idempotency key run at most once.
//
// Before the call is handed to an upstream, its key is claimed: a record in a
// slot of the platform names the one attempt that may run it. Claims of a slot
// are gathered by one daemon and written together, since the platform takes
// about a hundred writes a second from the whole fleet. If that daemon cannot
// be reached, the claim is written directly, which is safe because each write
// is conditional.
//
// A call whose claim cannot be written is refused as not run. A caller that
// repeats a key gets the recorded outcome, or is told that it is unknown.
//
// # Usage
//
//	claims := claim.New(keeper, owners, clock)
//	answer, refusal := claims.Do(ctx, scope, key, req, run)
package claim

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
	"spanrill/state/record"
)

// Owners finds the daemon that gathers the claims of a slot.
type Owners interface {
	// Owner returns the peer address of the slot's daemon, or "" for this one.
	Owner(slot int) string
}

// Asker sends messages to peers.
type Asker interface {
	// Ask sends a request and decodes its reply.
	Ask(ctx context.Context, addr string, kind uint8, req, reply any) error
	// Tell sends a message that gets no reply.
	Tell(addr string, kind uint8, msg any) error
}

// Claims makes calls run at most once.
type Claims struct {
	keeper *Keeper
	owners Owners
	asker  Asker
	clock  spanrill.Clock
	random *rng.Source
	log    logrus.FieldLogger
}

// Option changes a default of New.
type Option func(*Claims)

// WithLogger sets where events go.
func WithLogger(log logrus.FieldLogger) Option {
	return func(c *Claims) { c.log = log }
}

const (
	askLimit   = 1500 * spanrill.Millis(1) // for the slot's daemon to answer
	claimLimit = 3 * spanrill.Second       // for a claim altogether
	// grantLimit is how old a grant may be when the call is handed on. It is
	// far below record.Lifetime, so that a daemon that was frozen does not act
	// on a grant that has expired.
	grantLimit    = 10 * spanrill.Second
	retryPlatform = 2 * spanrill.Second
	retryPending  = spanrill.Second
)

// New returns claims that are kept by keeper or by the owners of their slots.
func New(keeper *Keeper, owners Owners, asker Asker, clock spanrill.Clock, random *rng.Source, opts ...Option) *Claims {
	c := &Claims{keeper: keeper, owners: owners, asker: asker, clock: clock, random: random, log: logrus.StandardLogger()}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Run makes the call.
type Run func() (*spanrill.ServiceAnswer, *spanrill.Refusal)

// Do makes the call if its key is free, or returns the outcome of the call
// that had the key first.
func (c *Claims) Do(ctx context.Context, scope, key string, req *spanrill.ServiceRequest, run func() (*spanrill.ServiceAnswer, *spanrill.Refusal)) (*spanrill.ServiceAnswer, *spanrill.Refusal) {
	r := record.Record{
		Key: scope + "/" + key, Digest: digest(req), ClaimedAt: c.clock.Unix(),
		Attempt: fmt.Sprintf("%016x", c.random.Uint64()),
	}
	started := c.clock.Now()
	granted, first, err := c.claim(ctx, r)
	if err != nil {
		c.release(r)
		return nil, c.unclaimed(err)
	}
	if !granted {
		return c.repeat(r, first)
	}
	if c.clock.Now()-started > grantLimit {
		c.release(r)
		return nil, spanrill.NewRefusal(spanrill.ReasonPlatformDown, "the claim of the key came too late").WithRetryAfter(retryPlatform)
	}
	answer, refusal := run()
	c.settle(r, answer, refusal)
	return answer, refusal
}

func digest(req *spanrill.ServiceRequest) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(req.Method + "\x00" + req.Path + "\x00")
	_, _ = d.Write(req.Body)
	return d.Sum64()
}

// claim asks the slot's daemon, and writes directly if that one fails. Both
// claim for the same attempt, so that it does not matter if both succeed.
func (c *Claims) claim(ctx context.Context, r record.Record) (bool, record.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, claimLimit.Duration())
	defer cancel()
	slot := record.SlotOf(r.Key)
	if addr := c.owners.Owner(slot); addr != "" {
		granted, first, err := c.ask(ctx, addr, slot, r)
		if err == nil || errors.Is(err, spanrill.ErrUnavailable) {
			return granted, first, err
		}
	}
	return c.keeper.Claim(ctx, slot, r)
}

func (c *Claims) ask(ctx context.Context, addr string, slot int, r record.Record) (bool, record.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit.Duration())
	defer cancel()
	value, err := json.Marshal(r)
	if err != nil {
		return false, record.Record{}, fmt.Errorf("encode record: %w", err)
	}
	var reply peermsg.Claimed
	msg := &peermsg.Claim{Slot: slot, Record: value}
	if err := c.asker.Ask(ctx, addr, uint8(peermsg.KindClaim), msg, &reply); err != nil {
		return false, record.Record{}, fmt.Errorf("ask owner of slot: %w", err)
	}
	if reply.Failed != "" {
		return false, record.Record{}, errors.Wrap(spanrill.ErrUnavailable, reply.Failed)
	}
	var first record.Record
	if err := json.Unmarshal(reply.Record, &first); err != nil {
		return false, record.Record{}, fmt.Errorf("decode record: %w", err)
	}
	return reply.Granted, first, nil
}

// unclaimed refuses a call whose key could not be claimed. It was not handed
// to any upstream.
func (c *Claims) unclaimed(err error) *spanrill.Refusal {
	reason := spanrill.ReasonPlatformDown
	if errors.Is(err, ErrFull) || errors.Is(err, ErrBusy) {
		reason = spanrill.ReasonClaimsFull
	}
	return spanrill.NewRefusal(reason, "the idempotency key cannot be claimed: %v", err).WithRetryAfter(retryPlatform)
}

// repeat answers a caller whose key was claimed before.
func (c *Claims) repeat(mine, first record.Record) (*spanrill.ServiceAnswer, *spanrill.Refusal) {
	if first.Digest != mine.Digest {
		return nil, spanrill.NewRefusal(spanrill.ReasonKeyReused, "the idempotency key belongs to another request")
	}
	if answer := first.Answer(); answer != nil {
		answer.Headers = append(answer.Headers, spanrill.Header{Name: HeaderReplayed, Value: "true"})
		return answer, nil
	}
	if first.Ended {
		return nil, spanrill.NewRefusal(spanrill.ReasonUpstreamFailed, "the call with this key failed").
			WithOutcome(first.Outcome)
	}
	return nil, spanrill.NewRefusal(spanrill.ReasonClaimOutstanding, "an earlier call with this key has no outcome yet").
		WithOutcome(spanrill.OutcomeUnknown).WithRetryAfter(retryPending)
}

// HeaderReplayed marks an answer that was recorded for an earlier call.
const HeaderReplayed = "Idempotent-Replayed"

// release gives a key back that may have been claimed for a call that was not
// made.
func (c *Claims) release(r record.Record) {
	c.settle(r, nil, spanrill.NewRefusal(spanrill.ReasonPlatformDown, "not claimed"))
}

// settle records how the call ended.
func (c *Claims) settle(r record.Record, answer *spanrill.ServiceAnswer, refusal *spanrill.Refusal) {
	outcome := spanrill.OutcomeRan
	if refusal != nil {
		outcome = refusal.Outcome()
	}
	r.End(answer, outcome)
	slot := record.SlotOf(r.Key)
	if addr := c.owners.Owner(slot); addr != "" && c.tell(addr, slot, r) == nil {
		return
	}
	if !c.keeper.Settle(slot, r) {
		events.ClaimUnsettled.Log(c.log, logrus.Fields{"slot": slot, "outcome": outcome.String()})
	}
}

func (c *Claims) tell(addr string, slot int, r record.Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	return c.asker.Tell(addr, uint8(peermsg.KindSettle), &peermsg.Settle{Slot: slot, Record: value})
}

// Serve answers the claim of another daemon.
func (c *Claims) Serve(ctx context.Context, m *peermsg.Claim) *peermsg.Claimed {
	var r record.Record
	if err := json.Unmarshal(m.Record, &r); err != nil {
		return &peermsg.Claimed{Failed: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit.Duration())
	defer cancel()
	granted, first, err := c.keeper.Claim(ctx, m.Slot, r)
	if err != nil {
		return &peermsg.Claimed{Failed: err.Error()}
	}
	value, err := json.Marshal(first)
	if err != nil {
		return &peermsg.Claimed{Failed: err.Error()}
	}
	return &peermsg.Claimed{Granted: granted, Record: value}
}

// ServeSettle takes the settlement of another daemon.
func (c *Claims) ServeSettle(m *peermsg.Settle) {
	var r record.Record
	if json.Unmarshal(m.Record, &r) == nil {
		c.keeper.Settle(m.Slot, r)
	}
}
