package config

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/checked"
	"spanrill/clock"
	"spanrill/protocol/objectapi"
	"spanrill/standin/platform"
	"spanrill/standin/platform/platformtest"
	"spanrill/transport/httpcall"
)

var (
	model    = Name{Kind: KindModel, Name: "advice"}
	site     = Name{Kind: KindSite, Name: "quebec"}
	template = Name{Kind: KindTemplate, Name: "keeper"}
)

func account(i int) Name { return Name{Kind: KindAccount, Name: fmt.Sprintf("a%d", i)} }

func accountDoc(n Name, template string) json.RawMessage {
	return fmt.Appendf(nil, `{"name":%q,"template":%q,"key_hashes":[]}`, n.Name, template)
}

func templateDoc(name string, priority int) json.RawMessage {
	return fmt.Appendf(nil, `{"name":%q,"models":[{"model":"advice","priority":%d,"site":"quebec"}]}`, name, priority)
}

func baseDocs() map[Name]json.RawMessage {
	return map[Name]json.RawMessage{
		model:    json.RawMessage(`{"name":"advice","version":"1","layers":24}`),
		site:     json.RawMessage(`{"name":"quebec","availability_zones":["hall-un"],"fences":"all"}`),
		template: templateDoc("keeper", 4),
	}
}

// harness runs a platform and creates clients of it.
type harness struct {
	t        *testing.T
	platform *platform.Platform
	addr     string
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	p, addr := platformtest.Start(t)
	return &harness{t: t, platform: p, addr: addr}
}

func (h *harness) store() spanrill.ObjectStore {
	return objectapi.New(h.addr, httpcall.New(), objectapi.WithTimeout(500))
}

func (h *harness) commit(docs map[Name]json.RawMessage) Edit {
	h.t.Helper()
	edit, err := h.tryCommit(Change{Author: "test", Documents: docs})
	if err != nil {
		h.t.Fatal(err)
	}
	return edit
}

func (h *harness) tryCommit(c Change) (Edit, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return NewEditor(h.store()).Commit(ctx, c)
}

// startFollower starts a follower, and fails the test if a new snapshot of it does not have a
// higher revision than the one before.
func (h *harness) startFollower() *Follower {
	log := logrus.New()
	log.SetOutput(io.Discard)
	last := uint64(0)
	f := NewFollower(h.store(), WithLogger(log), WithOnChange(func(s *Snapshot) {
		if s.Revision() <= last {
			h.t.Errorf("revision went from %d to %d, want a higher one", last, s.Revision())
		}
		last = s.Revision()
	}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	h.t.Cleanup(func() { cancel(); <-done })
	return f
}

func (h *harness) waitUntil(awaited string, isMet func() bool) {
	h.t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !isMet() {
		if time.Now().After(deadline) {
			h.t.Fatalf("timed out waiting for: %s", awaited)
		}
		<-time.After(5 * time.Millisecond)
	}
}

func (h *harness) waitForRevision(f *Follower, revision uint64) {
	h.t.Helper()
	h.waitUntil(fmt.Sprintf("revision %d", revision), func() bool { return f.Revision() >= revision })
}

// Concurrent edits of different accounts do not overwrite one another: each accepted edit is in the
// final configuration.
func TestConcurrentEditsAreAllKept(t *testing.T) {
	h := newHarness(t)
	h.commit(baseDocs())
	f := h.startFollower()
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() { h.commit(map[Name]json.RawMessage{account(i): accountDoc(account(i), "keeper")}) })
	}
	wg.Wait()
	h.waitForRevision(f, 13)
	for i := range 12 {
		if f.Current().Account(account(i).Name) == nil {
			t.Errorf("the accepted edit of %s is lost", account(i))
		}
	}
}

// Of several operators that edit the same value, the first succeeds. The others get a Conflict with
// both values.
func TestConflictReportsBothVersions(t *testing.T) {
	h := newHarness(t)
	docs := baseDocs()
	h.commit(docs)
	base := HashDocument(docs[template])
	commits, conflicts := 0, 0
	for i := range 4 {
		_, err := h.tryCommit(Change{
			Author:    fmt.Sprintf("operator-%d", i),
			Documents: map[Name]json.RawMessage{template: templateDoc("keeper", i+5)},
			Base:      map[Name]string{template: base},
		})
		var conflict *Conflict
		switch {
		case err == nil:
			commits++
		case errors.As(err, &conflict) && conflict.Theirs != nil && conflict.Mine != nil && conflict.Edit.Author == "operator-0":
			conflicts++
		default:
			t.Errorf("operator %d: got error %v, want none or a Conflict with both values and the edit of operator-0", i, err)
		}
	}
	if commits != 1 || conflicts != 3 {
		t.Fatalf("%d edits accepted and %d conflicts, want 1 and 3", commits, conflicts)
	}
}

// One operator removes a template while another adds an account that uses it. Exactly one edit is
// accepted, so that no revision has an account without its template.
func TestTemplateRemovalConflictsWithAccountCreation(t *testing.T) {
	for i := range 8 {
		h := newHarness(t)
		h.commit(baseDocs())
		f := h.startFollower()
		var wg sync.WaitGroup
		var removeErr, addErr error
		wg.Go(func() { _, removeErr = h.tryCommit(Change{Documents: map[Name]json.RawMessage{template: nil}}) })
		wg.Go(func() {
			_, addErr = h.tryCommit(Change{Documents: map[Name]json.RawMessage{account(1): accountDoc(account(1), "keeper")}})
		})
		wg.Wait()
		if (removeErr == nil) == (addErr == nil) {
			t.Fatalf("round %d: remove %v, add %v: exactly one must be accepted", i, removeErr, addErr)
		}
		h.waitForRevision(f, 2)
	}
}

// If the platform loses requests or answers, or returns stale reads, the editor still reports
// correctly whether an edit was accepted.
func TestUncertainWritesAreReportedCorrectly(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults platform.Faults
	}{
		{"answers lost", platform.Faults{LoseAnswers: 5}},
		{"requests lost", platform.Faults{LoseRequests: 5}},
		{"every third call fails", platform.Faults{FailEvery: 3}},
		{"stale reads", platform.Faults{StaleReads: 3}},
		{"stale reads and lost answers", platform.Faults{StaleReads: 2, LoseAnswers: 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.commit(baseDocs())
			h.commit(map[Name]json.RawMessage{account(0): accountDoc(account(0), "keeper")})
			accepted := map[Name]bool{}
			for i := range 10 {
				h.platform.SetFaults(c.faults)
				n := account(i + 1)
				_, err := h.tryCommit(Change{Documents: map[Name]json.RawMessage{n: accountDoc(n, "keeper")}})
				accepted[n] = err == nil
			}
			h.platform.SetFaults(platform.Faults{})
			head, docs := h.readConfig()
			h.checkHistory(head)
			for n, reported := range accepted {
				if stored := docs[n] != nil; stored != reported {
					t.Errorf("%s: reported as accepted %v, stored %v", n, reported, stored)
				}
			}
		})
	}
}

// checkHistory fails the test if an edit was accepted twice.
func (h *harness) checkHistory(head *Head) {
	h.t.Helper()
	seen := map[string]bool{}
	for _, e := range head.Recent {
		if seen[e.EditID] {
			h.t.Errorf("edit %s was accepted twice", e.EditID)
		}
		seen[e.EditID] = true
	}
}

func (h *harness) readConfig() (*Head, Documents) {
	h.t.Helper()
	head, _, err := ReadHead(context.Background(), h.store())
	if err != nil {
		h.t.Fatal(err)
	}
	docs, err := ReadDocuments(context.Background(), h.store(), head)
	if err != nil {
		h.t.Fatal(err)
	}
	return head, docs
}

// An older head from a peer does not replace the configuration in force.
func TestOlderHeadFromPeerIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.commit(baseDocs())
	old, _ := h.readConfig()
	h.commit(map[Name]json.RawMessage{account(1): accountDoc(account(1), "keeper")})
	f := h.startFollower()
	h.waitForRevision(f, 2)
	if err := f.Offer(context.Background(), old); err != nil {
		t.Fatal(err)
	}
	if f.Revision() != 2 {
		t.Fatalf("revision %d after an older head was offered, want 2", f.Revision())
	}
}

// Stale reads of an older head do not replace the configuration in force.
func TestStaleReadsAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.commit(baseDocs())
	f := h.startFollower()
	for i := range 10 {
		h.platform.SetFaults(platform.Faults{StaleReads: 2})
		edit := h.commit(map[Name]json.RawMessage{account(i): accountDoc(account(i), "keeper")})
		h.waitForRevision(f, edit.Revision)
	}
}

// The platform's head is restored to an older copy, and operators go on editing. No daemon goes
// back to an older revision, and edits before and after the restore are kept.
func TestRestoredHeadLosesNoEdit(t *testing.T) {
	for _, editsAfter := range []int{0, 1, 4} {
		t.Run(fmt.Sprintf("%d edits after the restore", editsAfter), func(t *testing.T) {
			h := newHarness(t)
			h.commit(baseDocs())
			for i := range 3 {
				h.commit(map[Name]json.RawMessage{account(i): accountDoc(account(i), "keeper")})
			}
			f := h.startFollower()
			h.waitForRevision(f, 4)
			h.platform.SetFaults(platform.Faults{FreezeWatch: true, FailEvery: 1})
			if err := h.platform.Restore(HeadKey, 2); err != nil {
				t.Fatal(err)
			}
			h.platform.SetFaults(platform.Faults{FreezeWatch: true})
			for i := range editsAfter {
				n := account(100 + i)
				h.commit(map[Name]json.RawMessage{n: accountDoc(n, "keeper")})
			}
			h.platform.SetFaults(platform.Faults{})
			h.waitUntil("all edits in force", func() bool {
				return f.Current().Account("a2") != nil && (editsAfter == 0 || f.Current().Account(account(99+editsAfter).Name) != nil)
			})
			h.waitUntil("all edits on the platform", func() bool {
				_, docs := h.readConfig()
				return docs[account(2)] != nil
			})
			fresh := h.startFollower()
			h.waitUntil("all edits on a new daemon", func() bool {
				return fresh.Current() != nil && fresh.Current().Account("a2") != nil
			})
		})
	}
}

// A watch that never reports a change does not keep a daemon from learning of an edit.
func TestSilentWatchIsDetected(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the longest watch")
	}
	h := newHarness(t)
	h.commit(baseDocs())
	f := h.startFollower()
	h.waitForRevision(f, 1)
	h.platform.SetFaults(platform.Faults{FreezeWatch: true})
	edit := h.commit(map[Name]json.RawMessage{account(1): accountDoc(account(1), "keeper")})
	h.waitForRevision(f, edit.Revision)
}

func TestInvalidEditsAreRejected(t *testing.T) {
	h := newHarness(t)
	h.commit(baseDocs())
	for _, c := range []struct {
		name string
		docs map[Name]json.RawMessage
		want []string
	}{
		{"account without its template", map[Name]json.RawMessage{account(1): accountDoc(account(1), "nobody")}, []string{"account/a1", "/template", "keeper"}},
		{"unknown parameter", map[Name]json.RawMessage{
			account(1): json.RawMessage(`{"name":"a1","template":"keeper","key_hashes":[],"parameters":{"speed":1}}`),
		}, []string{"/parameters/speed", "has no such parameter"}},
		{"undeclared parameter", map[Name]json.RawMessage{
			template: json.RawMessage(`{"name":"keeper","models":[{"model":"advice","priority":"$speed","site":"quebec"}]}`),
		}, []string{"/models/0/priority", "declares no parameter"}},
		{"no such model and site", map[Name]json.RawMessage{
			template: json.RawMessage(`{"name":"keeper","models":[{"model":"x","priority":1,"site":"y"}]}`),
		}, []string{"/models/0/model", "advice", "/models/0/site", "quebec"}},
		{"model in use removed", map[Name]json.RawMessage{model: nil}, []string{"template/keeper"}},
		{"priority out of range", map[Name]json.RawMessage{template: templateDoc("keeper", 10)}, []string{"priority", "9"}},
		{"unknown field", map[Name]json.RawMessage{
			site: json.RawMessage(`{"name":"quebec","availability_zones":["hall-un"],"fences":"all","zone":"x"}`),
		}, []string{"/zone", "unknown field", "availability_zones"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := h.tryCommit(Change{Documents: c.docs})
			var problems checked.Problems
			if !errors.As(err, &problems) {
				t.Fatalf("got error %v, want checked.Problems", err)
			}
			for _, part := range c.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q does not contain %q", err, part)
				}
			}
		})
	}
	if head, _ := h.readConfig(); head.Revision != 1 {
		t.Fatalf("an invalid edit was accepted: revision %d", head.Revision)
	}
}

func TestParametersAreResolved(t *testing.T) {
	docs := Documents(baseDocs())
	docs[template] = json.RawMessage(`{"name":"keeper",
		"parameters":{"p":{"type":"integer","default":2},"s":{"type":"string","default":"quebec"},"rps":{"type":"integer","default":7}},
		"models":[{"model":"advice","priority":"$p","site":"$s"}],"limits":{"requests_per_second":"$rps"}}`)
	docs[account(1)] = json.RawMessage(`{"name":"a1","template":"keeper","key_hashes":[],"parameters":{"p":9}}`)
	s, err := Build(1, "x", docs)
	if err != nil {
		t.Fatal(err)
	}
	g := s.Account("a1")
	if g.Model("advice").Priority() != 9 || g.Model("advice").Site().Name != "quebec" || g.Limits().RequestsPerSecond() != 7 {
		t.Fatalf("resolved to %+v and %+v, want priority 9, site quebec and 7 requests per second", g.Model("advice"), g.Limits())
	}
}

// In an outage of ten minutes on a manual clock, eight daemons keep their configuration and call
// the platform rarely. Afterwards they load a new edit after one backoff, without a burst of reads.
func TestPlatformOutageOfTenMinutes(t *testing.T) {
	const daemons = 8
	h := newHarness(t)
	h.commit(baseDocs())
	c := clock.NewManual()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); c.Advance(spanrill.Minute); running.Wait() })
	log := logrus.New()
	log.SetOutput(io.Discard)
	var followers []*Follower
	for range daemons {
		f := NewFollower(h.store(), WithClock(c), WithLogger(log))
		followers = append(followers, f)
		running.Go(func() { _ = f.Run(ctx) })
	}
	for _, f := range followers {
		h.waitForRevision(f, 1)
	}
	h.platform.SetFaults(platform.Faults{Down: true})
	h.endWatches()
	before := h.platform.Calls()
	const seconds = 600
	for range seconds {
		c.AwaitTimers(daemons)
		c.Advance(spanrill.Second)
	}
	c.AwaitTimers(daemons)
	calls := h.platform.Calls()
	if n := calls.Reads + calls.Watches - before.Reads - before.Watches; n > seconds*daemons/4 {
		t.Errorf("%d calls in %d seconds of outage, want at most one in 4 s for each daemon", n, seconds)
	}
	for _, f := range followers {
		if f.Revision() != 1 {
			t.Fatal("revision 1 is no longer in force after the outage")
		}
	}
	h.platform.SetFaults(platform.Faults{})
	edit := h.commit(map[Name]json.RawMessage{account(1): accountDoc(account(1), "keeper")})
	before = h.platform.Calls()
	c.Advance(maxBackoff)
	for _, f := range followers {
		h.waitForRevision(f, edit.Revision)
	}
	calls = h.platform.Calls()
	if n := calls.Reads - before.Reads; n > 10*daemons {
		t.Errorf("%d reads after the outage, want at most 10 for each daemon", n)
	}
}

// endWatches writes the head in the store while the platform is down, so that pending watches end
// and the followers notice the outage.
func (h *harness) endWatches() {
	h.t.Helper()
	if err := h.platform.Restore(HeadKey, 0); err != nil {
		h.t.Fatal(err)
	}
}
