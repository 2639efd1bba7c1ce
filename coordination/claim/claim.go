// Package claim ensures that a call with an idempotency key runs at most once.
//
// Before a call is sent to an upstream, its key is claimed: a record in one of the platform's
// objects, the slots, names the only attempt that may run the call. One daemon collects the claims
// of a slot and writes them in batches, because the platform accepts about a hundred writes
// a second from the whole fleet. If that daemon is unreachable, the claim is written directly.
// This is safe because each write is conditional.
//
// A call whose claim cannot be written is refused with the outcome not-run. A caller that repeats
// a key gets the recorded outcome, or the outcome unknown if none is recorded yet.
//
// # Usage
//
//	claims := claim.New(keeper, owners, messenger, clock, random)
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

// Owners determines which daemon writes the claims of a slot.
type Owners interface {
	// Owner returns the peer address of the daemon that owns a slot, or "" for this daemon.
	Owner(slot int) string
}

// Messenger sends messages to peers.
type Messenger interface {
	// Request sends a request and decodes its reply.
	Request(ctx context.Context, addr string, kind uint8, req, reply any) error
	// Send sends a message without a reply.
	Send(addr string, kind uint8, msg any) error
}

// Claims claims the keys of calls, so that each call runs at most once.
type Claims struct {
	keeper    *Keeper
	owners    Owners
	messenger Messenger
	clock     spanrill.Clock
	random    *rng.Source
	log       logrus.FieldLogger
}

// Option changes a default of New.
type Option func(*Claims)

// WithLogger sets the logger for events.
func WithLogger(log logrus.FieldLogger) Option {
	return func(c *Claims) { c.log = log }
}

const (
	requestTimeout = 1500 * spanrill.Millis(1) // for the answer of the slot's owner
	claimTimeout   = 3 * spanrill.Second       // for the whole claim
	// maxGrantAge is the longest time from the start of a claim until its call may still be sent to
	// an upstream. It is far below record.Lifetime, so that a daemon that was frozen does not send
	// a call whose claim has expired.
	maxGrantAge        = 10 * spanrill.Second
	platformRetryAfter = 2 * spanrill.Second
	pendingRetryAfter  = spanrill.Second
)

// New returns claims that are written by the owners of their slots, or by keeper.
func New(keeper *Keeper, owners Owners, messenger Messenger, clock spanrill.Clock, random *rng.Source, opts ...Option) *Claims {
	c := &Claims{keeper: keeper, owners: owners, messenger: messenger, clock: clock, random: random, log: logrus.StandardLogger()}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Run is a function that makes the call.
type Run func() (*spanrill.ServiceAnswer, *spanrill.Refusal)

// Do claims the key and makes the call. If the key is already claimed, it returns the outcome of
// the call that claimed it first.
func (c *Claims) Do(ctx context.Context, scope, key string, req *spanrill.ServiceRequest, run func() (*spanrill.ServiceAnswer, *spanrill.Refusal)) (*spanrill.ServiceAnswer, *spanrill.Refusal) {
	r := record.Record{
		Key: scope + "/" + key, Digest: digest(req), ClaimedAt: c.clock.Unix(),
		Attempt: fmt.Sprintf("%016x", c.random.Uint64()),
	}
	started := c.clock.Now()
	granted, first, err := c.claim(ctx, r)
	if err != nil {
		c.release(r)
		return nil, c.refuseUnclaimed(err)
	}
	if !granted {
		return c.answerRepeat(r, first)
	}
	if c.clock.Now()-started > maxGrantAge {
		c.release(r)
		return nil, spanrill.NewRefusal(spanrill.ReasonPlatformDown, "claiming the idempotency key took too long").WithRetryAfter(platformRetryAfter)
	}
	answer, refusal := run()
	c.recordOutcome(r, answer, refusal)
	return answer, refusal
}

func digest(req *spanrill.ServiceRequest) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(req.Method + "\x00" + req.Path + "\x00")
	_, _ = d.Write(req.Body)
	return d.Sum64()
}

// claim asks the slot's owner, and writes the claim directly if the owner does not answer. Both
// claim the key for the same attempt, so that both may succeed. It reports whether the key was
// granted, and returns the record that holds the key.
func (c *Claims) claim(ctx context.Context, r record.Record) (bool, record.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	slot := record.SlotOf(r.Key)
	if addr := c.owners.Owner(slot); addr != "" {
		granted, first, err := c.claimAtOwner(ctx, addr, slot, r)
		if err == nil || errors.Is(err, spanrill.ErrUnavailable) {
			return granted, first, err
		}
	}
	return c.keeper.Claim(ctx, slot, r)
}

func (c *Claims) claimAtOwner(ctx context.Context, addr string, slot int, r record.Record) (bool, record.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	value, err := json.Marshal(r)
	if err != nil {
		return false, record.Record{}, fmt.Errorf("encode record: %w", err)
	}
	var reply peermsg.ClaimReply
	msg := &peermsg.Claim{Slot: slot, Record: value}
	if err := c.messenger.Request(ctx, addr, uint8(peermsg.KindClaim), msg, &reply); err != nil {
		return false, record.Record{}, fmt.Errorf("ask owner of slot: %w", err)
	}
	if reply.Failure != "" {
		return false, record.Record{}, errors.Wrap(spanrill.ErrUnavailable, reply.Failure)
	}
	var first record.Record
	if err := json.Unmarshal(reply.Record, &first); err != nil {
		return false, record.Record{}, fmt.Errorf("decode record: %w", err)
	}
	return reply.Granted, first, nil
}

// refuseUnclaimed returns the refusal of a call whose key could not be claimed. The call was not
// sent to any upstream.
func (c *Claims) refuseUnclaimed(err error) *spanrill.Refusal {
	reason := spanrill.ReasonPlatformDown
	if errors.Is(err, ErrFull) || errors.Is(err, ErrBusy) {
		reason = spanrill.ReasonClaimsFull
	}
	return spanrill.NewRefusal(reason, "the idempotency key cannot be claimed: %v", err).WithRetryAfter(platformRetryAfter)
}

// answerRepeat returns the recorded outcome of a key that was claimed before.
func (c *Claims) answerRepeat(requested, first record.Record) (*spanrill.ServiceAnswer, *spanrill.Refusal) {
	if first.Digest != requested.Digest {
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
		WithOutcome(spanrill.OutcomeUnknown).WithRetryAfter(pendingRetryAfter)
}

// HeaderReplayed is the header of an answer that was recorded for an earlier call with the same key.
const HeaderReplayed = "Idempotent-Replayed"

// release frees a key that may have been claimed for a call that was not made.
func (c *Claims) release(r record.Record) {
	c.recordOutcome(r, nil, spanrill.NewRefusal(spanrill.ReasonPlatformDown, "not claimed"))
}

// recordOutcome records the outcome of a call, at the slot's owner or directly.
func (c *Claims) recordOutcome(r record.Record, answer *spanrill.ServiceAnswer, refusal *spanrill.Refusal) {
	outcome := spanrill.OutcomeRan
	if refusal != nil {
		outcome = refusal.Outcome()
	}
	r.End(answer, outcome)
	slot := record.SlotOf(r.Key)
	if addr := c.owners.Owner(slot); addr != "" && c.sendOutcomeToOwner(addr, slot, r) == nil {
		return
	}
	if !c.keeper.RecordOutcome(slot, r) {
		events.ClaimUnsettled.Log(c.log, logrus.Fields{"slot": slot, "outcome": outcome.String()})
	}
}

func (c *Claims) sendOutcomeToOwner(addr string, slot int, r record.Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	return c.messenger.Send(addr, uint8(peermsg.KindClaimOutcome), &peermsg.ClaimOutcome{Slot: slot, Record: value})
}

// HandleClaim answers the claim of another daemon.
func (c *Claims) HandleClaim(ctx context.Context, m *peermsg.Claim) *peermsg.ClaimReply {
	var r record.Record
	if err := json.Unmarshal(m.Record, &r); err != nil {
		return &peermsg.ClaimReply{Failure: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	granted, first, err := c.keeper.Claim(ctx, m.Slot, r)
	if err != nil {
		return &peermsg.ClaimReply{Failure: err.Error()}
	}
	value, err := json.Marshal(first)
	if err != nil {
		return &peermsg.ClaimReply{Failure: err.Error()}
	}
	return &peermsg.ClaimReply{Granted: granted, Record: value}
}

// HandleOutcome records the outcome that another daemon sent.
func (c *Claims) HandleOutcome(m *peermsg.ClaimOutcome) {
	var r record.Record
	if json.Unmarshal(m.Record, &r) == nil {
		c.keeper.RecordOutcome(m.Slot, r)
	}
}
