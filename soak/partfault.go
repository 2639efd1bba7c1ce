package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"spanrill"
	"spanrill/platform/platformtest"
	"spanrill/rng"
	"spanrill/task"
)

// Rules about parts of prompts that crash engines.
const (
	rulePartSends  = "few requests with a part that crashes engines"
	rulePartBeside = "requests beside a part that crashes engines are served"
)

const (
	// partFaultTime is how long a part crashes engines: until sound requests are checked, and then half
	// of that.
	partFaultTime = 3 * partSoundAfter / 2
	// partInterval is the pause between two requests with the part, and partRestart the time after
	// which another engine stands in place of one that crashed.
	partInterval = 150 * time.Millisecond
	partRestart  = 1500 * time.Millisecond
	// maxPartCrashes is the number of crashes after which no more than maxPartSends requests with the
	// part may be sent, from partSendsAfter on by daemons that are not disturbed. No more engines than
	// both together may crash.
	maxPartCrashes = 5
	maxPartSends   = 3
	partSendsAfter = 3 * time.Second
	// partSoundAfter is how long after the fifth crash, or the last one, requests without the part must
	// not be refused because of parts. minPartSound is the number of requests from which on this is
	// checked, and maxPartRefused the largest share that may be refused.
	partSoundAfter = 2 * partSendsAfter
	minPartSound   = 20
	maxPartRefused = 0.05
)

// sharedPart is the part of all prompts that callers share.
const sharedPart = "a0"

// faultyPrompts are the parts of prompts with a faulty part, %s, by Step.Variant.
var faultyPrompts = [variantCount]string{"%s:40,a0:40", "a0:40,%s:40", "a0:40,a1:40,%s:40", "a0:40,a2:40,a3:40,%s:40,a4:40,a5:40"}

// partFault is a period in which a part crashed engines.
type partFault struct {
	part     string
	from, to time.Time
}

// partFaultStep makes a new part crash engines and sends requests with it.
func (r *run) partFaultStep(ctx context.Context, s Step) error {
	r.mu.Lock()
	part := fmt.Sprintf("bad%d", len(r.partFaults))
	fault := partFault{part: part, from: time.Now()}
	r.partFaults = append(r.partFaults, fault)
	index := len(r.partFaults) - 1
	r.mu.Unlock()
	r.env.setFatalParts(ctx, r, r.activeParts(part, true)...)
	random := rng.New(r.options.Seed + uint64(s.Target))
	var calls task.Group
	for n := 0; time.Since(fault.from) < partFaultTime && ctx.Err() == nil; n++ {
		p, parts := r.daemons[random.IntN(len(r.daemons))], fmt.Sprintf(faultyPrompts[s.Variant], part)+fmt.Sprintf(",%x:200", n)
		call := callRecord{id: fmt.Sprintf("%s-%d", part, n), path: platformtest.StreamPath, daemon: p, key: r.env.key(n), sent: time.Now(), body: fmt.Sprintf("%s %d", part, n)}
		calls.Start(ctx, call.id, func(ctx context.Context) error { return r.callWithPart(ctx, call, parts) })
		wait(ctx, partInterval)
	}
	if err := calls.Wait(); err != nil {
		return fmt.Errorf("send requests with part %s: %w", part, err)
	}
	r.mu.Lock()
	r.partFaults[index].to = time.Now()
	r.mu.Unlock()
	r.env.setFatalParts(ctx, r, r.activeParts(part, false)...)
	return nil
}

// callWithPart sends a request whose prompt has the given parts and records the reply.
func (r *run) callWithPart(ctx context.Context, call callRecord, parts string) error {
	caller := platformtest.NewCaller()
	defer caller.Close()
	caller.SetParts(parts)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callLimit)
	defer cancel()
	call.reply = caller.Call(ctx, call.daemon.listenAddr, call.path, call.id, call.key, call.body, callDeadline)
	r.partRecords.add(call)
	return nil
}

// activeParts adds a part to those that crash engines now, or removes it, and returns all.
func (r *run) activeParts(part string, active bool) (all []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if active {
		r.fatalParts[part] = true
	} else {
		delete(r.fatalParts, part)
	}
	for p := range r.fatalParts {
		all = append(all, p)
	}
	return all
}

// setFatalParts sets the parts that crash engines. Another engine takes the place of one that crashed.
func (env *environment) setFatalParts(ctx context.Context, r *run, parts ...string) {
	env.fleet.SetPartCrash(func(e *platformtest.Engine) {
		slot, u := env.slotOf(e)
		if u == nil {
			e.Kill()
			return
		}
		r.killUpstream(u)
		u.link.Close() // a link that accepts connections would hide that the engine has ended
		time.AfterFunc(partRestart, func() {
			if ctx.Err() == nil {
				_ = env.replaceUpstream(slot) // it fails only if this machine has no more ports
			}
		})
	})
	env.fleet.SetFatalParts(parts...)
}

// slotOf returns the slot of an engine, or nil if it has been replaced.
func (env *environment) slotOf(e *platformtest.Engine) (int, *upstream) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for slot, u := range env.upstreams {
		if u.engine == e {
			return slot, u
		}
	}
	return 0, nil
}

// partViolations checks both rules for each faulty part.
func (r *run) partViolations() (found []Violation) {
	r.mu.Lock()
	faults := append([]partFault(nil), r.partFaults...)
	r.mu.Unlock()
	for _, fault := range faults {
		crashes := r.crashesUnder(fault.part)
		if len(crashes) == 0 {
			continue
		}
		if len(crashes) > maxPartCrashes+maxPartSends {
			found = append(found, Violation{Rule: rulePartSends, Description: fmt.Sprintf("%d engines crashed under part %s", len(crashes), fault.part)})
		}
		if sends := r.sendsAfter(fault.part, crashes); sends > maxPartSends {
			found = append(found, Violation{Rule: rulePartSends, Description: fmt.Sprintf("%d requests with part %s were sent later than %v after the fifth of %d crashes", sends, fault.part, partSendsAfter, len(crashes))})
		}
		from := crashes[min(len(crashes), maxPartCrashes)-1].Add(partSoundAfter)
		if sent, refused := r.refusedBeside(from, fault.to); sent >= minPartSound && float64(refused) > maxPartRefused*float64(sent) {
			found = append(found, Violation{Rule: rulePartBeside, Description: fmt.Sprintf("%d of %d requests without part %s were refused because of parts", refused, sent, fault.part)})
		}
	}
	return found
}

// crashesUnder returns when engines crashed under a part.
func (r *run) crashesUnder(part string) (times []time.Time) {
	for _, crash := range r.env.fleet.PartCrashes() {
		if crash.Has(part) {
			times = append(times, crash.At)
		}
	}
	return times
}

// sendsAfter counts the requests with a part that were sent by daemons that were not disturbed and
// reached engines later than partSendsAfter after the fifth crash.
func (r *run) sendsAfter(part string, crashes []time.Time) (sends int) {
	if len(crashes) < maxPartCrashes {
		return 0
	}
	from := crashes[maxPartCrashes-1].Add(partSendsAfter)
	daemons := map[string]*process{}
	for _, call := range r.partRecords.list() {
		daemons[call.id] = call.daemon
	}
	for _, arrival := range r.env.fleet.Arrivals() {
		p := daemons[arrival.ID]
		if p == nil || !strings.HasPrefix(arrival.ID, part+"-") || arrival.At.Before(from) {
			continue
		}
		if !r.wasDisturbed(p, arrival.At.Add(-undisturbedTime), arrival.At) && !r.wasStoreDisturbed(arrival.At.Add(-undisturbedTime), arrival.At) {
			sends++
		}
	}
	return sends
}

// refusedBeside counts the streams that callers requested between two times at daemons that were not
// disturbed, and how many of them were refused because of parts.
func (r *run) refusedBeside(from, to time.Time) (sent, refused int) {
	for _, call := range r.records.list() {
		if call.path != platformtest.StreamPath || call.sent.Before(from) || call.sent.After(to) || r.wasDisturbed(call.daemon, call.sent.Add(-undisturbedTime), call.sent) {
			continue
		}
		sent++
		if call.reply.Status == http.StatusServiceUnavailable && (strings.Contains(call.reply.Body, spanrill.ReasonPartWithheld.Code()) || strings.Contains(call.reply.Body, spanrill.ReasonPartSuspected.Code())) {
			refused++
		}
	}
	return sent, refused
}
