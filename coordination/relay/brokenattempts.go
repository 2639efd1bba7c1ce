package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/quarantine"
	"spanrill/coordination/suspect"
	"spanrill/events"
	"spanrill/state/fleet"
)

// brokenAttempts finds out which upstreams have crashed while they ran a request. A broken
// connection is not enough evidence, because it may have been reset while the upstream works on. An
// upstream counts as crashed when nothing listens at its address any more, or when it has been
// restarted.
type brokenAttempts struct {
	mu      sync.Mutex
	pending []brokenAttempt   // attempts whose cause of failure is not known yet
	names   map[uint32]string // of upstreams that have crashed here, by their hashes, for operators
}

// brokenAttempt is an attempt that broke off at an upstream.
type brokenAttempt struct {
	upstream    *fleet.Upstream
	content     suspect.Content
	requestID   string
	parts       []quarantine.Part // of the prompt
	trials      []quarantine.Part // those of which the attempt was a trial
	account     quarantine.Account
	brokeAt     spanrill.Millis
	streamedFor spanrill.Millis // time from the attempt's first to its last event, or 0 before it
	leaving     bool            // the upstream had announced that it leaves
}

const (
	// maxCauseWait is how long a broken attempt is pending at most. The entry of an upstream that
	// went silent is removed after three missed reports, and a restarted upstream has a new entry
	// after 3 to 5 s.
	maxCauseWait = 10 * spanrill.Second
	// maxBrokenAttempts is the maximum number of pending broken attempts. It exceeds the number of
	// requests that a daemon runs concurrently.
	maxBrokenAttempts = 2048
)

// upstreamState reports whether the upstream has crashed or is alive. Both are false while neither
// is known. A leaving upstream that was removed and does not answer counts as alive, because it ends as
// planned.
func (a *brokenAttempt) upstreamState() (crashed, alive bool) {
	u := a.upstream
	listens := u.LastListening() > a.brokeAt
	switch {
	case u.Ended():
		return true, false
	case u.Removed() && (u.Dead() || !listens):
		return !a.leaving, a.leaving
	case u.Dead():
		return false, false // a process that is stopped still listens
	}
	return false, listens
}

// add records a broken attempt and reports whether another one with the same content is pending.
func (b *brokenAttempts) add(attempt brokenAttempt) (repeated bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	repeated = slices.ContainsFunc(b.pending, func(other brokenAttempt) bool { return other.content == attempt.content })
	if len(b.pending) < maxBrokenAttempts {
		b.pending = append(b.pending, attempt)
	}
	return repeated
}

// take removes the broken attempts whose cause is known, or that are older than maxCauseWait, and
// returns those whose upstreams have crashed.
func (b *brokenAttempts) take(now spanrill.Millis) (crashes []brokenAttempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.pending[:0]
	for _, attempt := range b.pending {
		crashed, alive := attempt.upstreamState()
		switch {
		case crashed:
			crashes = append(crashes, attempt)
		case !alive && now-attempt.brokeAt < maxCauseWait:
			kept = append(kept, attempt)
		}
	}
	clear(b.pending[len(kept):])
	b.pending = kept
	return crashes
}

// recordBrokenAttempt records that an attempt at the upstream broke off or was continued elsewhere.
// Only the upstream that the attempt was sent to is recorded, and no later engine of its path: when
// part of a fleet fails, several of them are lost together, and each stream would count for all.
//
// It also tests immediately whether the upstream still accepts connections, so that a crash is known
// before the request reaches the next one. If an attempt with the same content broke off before,
// recordBrokenAttempt waits for the result.
func (q *request) recordBrokenAttempt(u *fleet.Upstream, streamedFor spanrill.Millis) {
	if q.brokenOn[u] {
		return
	}
	if q.brokenOn == nil {
		q.brokenOn = map[*fleet.Upstream]bool{}
	}
	q.brokenOn[u] = true
	r := q.relay
	broken := brokenAttempt{
		upstream: u, content: q.content, requestID: q.head.ID, brokeAt: r.Clock.Now(), streamedFor: streamedFor, leaving: u.Leaving(),
		parts: q.partGuard.Parts(), trials: q.partGuard.Trials(), account: q.partGuard.Account(),
	}
	repeated := r.brokenAttempts.add(broken)
	if u.Dead() && !u.Ended() && !r.isPathLost(u) {
		r.recordPartCrashes([]brokenAttempt{broken}, true)
	}
	repeated = repeated || r.Suspects.Verdict(q.content).Losses() > 0
	check := func() {
		r.Prober.CheckListening(context.WithoutCancel(q.ctx), u)
		r.reportCrashes()
	}
	if repeated {
		check()
		return
	}
	go check()
}

// isPathLost reports whether this daemon has lost its network path to an upstream, so that the silence
// of the upstream tells nothing about it.
func (r *Relay) isPathLost(u *fleet.Upstream) bool {
	if r.Paths == nil {
		return false
	}
	_, lost := r.Paths.LostSince(u.Addr())
	return lost
}

// reportCrashes records and logs the upstreams that were found to have crashed while they ran a
// request.
func (r *Relay) reportCrashes() {
	now := r.Clock.Now()
	crashes := r.brokenAttempts.take(now)
	r.recordPartCrashes(crashes, false)
	for _, attempt := range crashes {
		r.Meters.UpstreamCrashes.Inc()
		r.brokenAttempts.recordName(attempt.upstream)
		r.logCrash(&attempt, now)
		if r.Parts.IsExplained(nameHash(attempt.upstream), attempt.brokeAt) {
			continue
		}
		verdict := r.Suspects.RecordLoss(attempt.content, suspect.Loss{
			Upstream: nameHash(attempt.upstream), At: attempt.brokeAt, Fresh: attempt.streamedFor <= suspect.FreshTime,
		})
		if verdict.Refused() {
			r.OnSuspected(attempt.content)
			events.RequestSuspected.Log(r.Log, logrus.Fields{
				"content": attempt.content.String(), "request": attempt.requestID, "losses": verdict.Losses(), "proved": verdict.Proved(),
			})
		}
	}
}

func (r *Relay) logCrash(attempt *brokenAttempt, now spanrill.Millis) {
	r.failureLog.Log(events.UpstreamCrashed, r.Log, func() logrus.Fields {
		return logrus.Fields{
			"upstream": attempt.upstream.ID(), "addr": attempt.upstream.Addr(), "request": attempt.requestID, "content": attempt.content.String(),
			"parts": joinParts(attempt.parts), "ran_ms": attempt.streamedFor, "found_after_ms": now - attempt.brokeAt,
		}
	})
}

// maxCrashedNames bounds the names that are kept of upstreams that have crashed.
const maxCrashedNames = 1024

// recordName keeps the name of an upstream that has crashed.
func (b *brokenAttempts) recordName(u *fleet.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.names) >= maxCrashedNames {
		clear(b.names)
	}
	b.names[nameHash(u)] = u.Name()
}

// UpstreamName returns the name of an upstream that has crashed, or its hash if it is not known here.
func (r *Relay) UpstreamName(hash uint32) string {
	r.brokenAttempts.mu.Lock()
	defer r.brokenAttempts.mu.Unlock()
	if name := r.brokenAttempts.names[hash]; name != "" {
		return name
	}
	return fmt.Sprintf("%08x", hash)
}

// nameHash returns a hash of the upstream's name, which is the same on all daemons. Losses of an
// upstream that was restarted under its name are told apart by their times.
func nameHash(u *fleet.Upstream) uint32 { return uint32(xxhash.Sum64String(u.Name())) }

// requestContent returns the content that identifies what the request asks for, for the ledger of
// suspects.
func (q *request) requestContent() suspect.Content {
	account := ""
	if q.account != nil {
		account = q.account.Name
	}
	header := &q.http.Request.Header
	return suspect.ContentOf(account, string(header.Host()), string(header.RequestURI()), q.body)
}

// checkSuspect returns a refusal if the request is withheld because upstreams have crashed while
// they ran it, or nil.
func (q *request) checkSuspect() *spanrill.Refusal {
	verdict := q.guard.Check()
	if !verdict.Refused() {
		return nil
	}
	reason := spanrill.ReasonSuspected
	if verdict.Proved() {
		reason = spanrill.ReasonCrashesUpstreams
	}
	return spanrill.NewRefusal(reason, "%d upstreams have crashed while running this request", verdict.Losses()).WithRetryAfter(verdict.RetryAfter())
}

// isSuspectRefusal reports whether a refusal was made by checkSuspect.
func isSuspectRefusal(refusal *spanrill.Refusal) bool {
	return refusal.Reason() == spanrill.ReasonSuspected || refusal.Reason() == spanrill.ReasonCrashesUpstreams
}

// recordServed records that an upstream has answered the request completely.
func (q *request) recordServed() { q.relay.Suspects.RecordServed(q.content) }

// streamingTime returns the time from the first to the last event of the running attempt, or 0 before it.
// The silence that follows does not count: an engine that falls silent may have stopped with its last
// event.
func (g *generation) streamingTime() spanrill.Millis {
	if g.firstEventAt == 0 {
		return 0
	}
	return g.lastEventAt - g.firstEventAt
}
