package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"spanrill"
	"spanrill/platform/platformtest"
	"spanrill/rng"
)

// Each version of the configuration has a route that is named after it, so that answers tell by which
// version they were given. Routes of odd versions are removed by the next version, those of even
// versions are kept while keptVersions newer ones have routes.
const keptVersions = 40

// versionPath is the path of the route of a version.
func versionPath(version int) string { return fmt.Sprintf("/version-%d/", version) }

// addVersionRoutes adds the routes of a version to its configuration.
func addVersionRoutes(config map[string]any, version int) {
	routes := config["routes"].([]any)
	for v := version; v > max(0, version-2*keptVersions); v-- {
		if v == version || v%2 == 0 {
			routes = append(routes, platformtest.Route(fmt.Sprintf("version-%d", v), versionPath(v), platformtest.PlainService, "safe", normalRouteTimeout, map[string]any{"auth_exempt": true}))
		}
	}
	config["routes"] = routes
}

// versionCall is a request on the route of a version, and whether that route exists in every version
// that daemons may use.
type versionCall struct {
	callRecord
	exists bool
}

// runVersionCaller sends requests on routes that all daemons must know, and on routes that none of them
// may know any more.
func (r *run) runVersionCaller(ctx context.Context) error {
	caller := platformtest.NewCaller()
	defer caller.Close()
	random := rng.New(r.options.Seed + versionSeedOffset)
	for i := 0; ctx.Err() == nil; i++ {
		exists := random.IntN(2) == 0
		if version := r.env.settledVersion(exists); version > 0 {
			p := r.daemons[random.IntN(len(r.daemons))]
			call := versionCall{callRecord{id: fmt.Sprintf("version-%d", i), path: versionPath(version), daemon: p, sent: time.Now(), body: "version"}, exists}
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callLimit)
			call.reply = caller.Call(callCtx, p.listenAddr, call.path, call.id, "", call.body, callDeadline)
			cancel()
			r.mu.Lock()
			r.versionCalls = append(r.versionCalls, call)
			r.mu.Unlock()
		}
		wait(ctx, 2*callPause)
	}
	return nil
}

// versionSeedOffset separates the draws of the caller from those of others.
const versionSeedOffset = 1 << 36

// settledVersion returns the newest version whose route must be known everywhere, or the newest one whose
// route must be gone everywhere, because the version that added or removed it was written applyDeadline
// ago. It returns 0 if there is none.
func (env *environment) settledVersion(exists bool) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	for v := len(env.versionTimes); v > 0; v-- {
		switch {
		case v%2 != 0 || time.Since(env.versionTimes[v-1]) < applyDeadline:
		case exists:
			return v
		default:
			return v - 1 // removed by v
		}
	}
	return 0
}

// versionViolations returns the answers by versions that had been replaced for too long. A final refusal
// of a route that exists is wrong whatever happens to the daemon, unless the store itself went back.
func (r *run) versionViolations() []Violation {
	var all []Violation
	r.mu.Lock()
	calls := slices.Clone(r.versionCalls)
	r.mu.Unlock()
	for _, call := range calls {
		description := ""
		switch stale := call.sent.Add(-undisturbedTime - applyDeadline); {
		case call.exists && call.reply.Status == http.StatusNotFound && !r.wasStoreRestored(stale, call.sent.Add(call.reply.Elapsed)):
			description = "a route was refused for good"
		case !call.exists && call.reply.Signed && call.reply.Status == http.StatusOK && !r.wasDisturbed(call.daemon, call.sent.Add(-undisturbedTime), call.sent) && !r.wasStoreDisturbed(stale, call.sent):
			description = "a removed route was served"
		case call.exists && strings.Contains(call.reply.Body, spanrill.ReasonConfigStale.Code()) && !r.wasDisturbed(call.daemon, call.sent.Add(-undisturbedTime), call.sent) && !r.wasStoreDisturbed(stale, call.sent):
			description = "a route was refused for the moment for lack of proof"
		}
		if description != "" {
			all = append(all, Violation{
				Rule: ruleVersions, Request: call.id, Daemon: call.daemon.name, At: call.sent.Sub(r.startTime).Round(time.Millisecond),
				Description: fmt.Sprintf("%s, %v after the change was written: %s, status %d", description, applyDeadline, call.path, call.reply.Status),
			})
		}
	}
	return all
}

// recordRestore records that the store goes back to an older copy within the given time.
func (r *run) recordRestore(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restores = append(r.restores, interval{time.Now(), time.Now().Add(d)})
}

// wasStoreRestored reports whether the store went back to an older copy between two times.
func (r *run) wasStoreRestored(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return overlapAny(r.restores, from, to)
}
