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

// world is a platform and clients of it.
type world struct {
	t        *testing.T
	platform *platform.Platform
	addr     string
}

func newWorld(t *testing.T) *world {
	t.Helper()
	p, addr := platformtest.Start(t)
	return &world{t: t, platform: p, addr: addr}
}

func (w *world) store() spanrill.ObjectStore {
	return objectapi.New(w.addr, httpcall.New(), objectapi.WithTimeout(500))
}

func (w *world) commit(docs map[Name]json.RawMessage) Edit {
	w.t.Helper()
	edit, err := w.tryCommit(Change{Author: "test", Documents: docs})
	if err != nil {
		w.t.Fatal(err)
	}
	return edit
}

func (w *world) tryCommit(c Change) (Edit, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return NewEditor(w.store()).Commit(ctx, c)
}

// follow starts a follower that fails the test if its revision ever falls.
func (w *world) follow() *Follower {
	log := logrus.New()
	log.SetOutput(io.Discard)
	last := uint64(0)
	f := NewFollower(w.store(), WithLogger(log), WithOnChange(func(s *Snapshot) {
		if s.Revision() <= last {
			w.t.Errorf("revision fell from %d to %d", last, s.Revision())
		}
		last = s.Revision()
	}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	w.t.Cleanup(func() { cancel(); <-done })
	return f
}

func (w *world) await(what string, holds func() bool) {
	w.t.Helper()
	limit := time.Now().Add(15 * time.Second)
	for !holds() {
		if time.Now().After(limit) {
			w.t.Fatalf("not in time: %s", what)
		}
		<-time.After(5 * time.Millisecond)
	}
}

func (w *world) awaitRevision(f *Follower, revision uint64) {
	w.t.Helper()
	w.await(fmt.Sprintf("revision %d", revision), func() bool { return f.Revision() >= revision })
}

// Operators race on one template and on accounts; every edit told as accepted
// is there at the end.
func TestRacingEditsAreAllKept(t *testing.T) {
	w := newWorld(t)
	w.commit(baseDocs())
	f := w.follow()
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() { w.commit(map[Name]json.RawMessage{account(i): accountDoc(account(i), "keeper")}) })
	}
	wg.Wait()
	w.awaitRevision(f, 13)
	for i := range 12 {
		if f.Current().Account(account(i).Name) == nil {
			t.Errorf("the accepted edit of %s is lost", account(i))
		}
	}
}

// Of two operators that started from the same value one wins, and the other is
// shown both sides.
func TestLoserOfARaceSeesTheConflict(t *testing.T) {
	w := newWorld(t)
	docs := baseDocs()
	w.commit(docs)
	base := HashDocument(docs[template])
	won, lost := 0, 0
	for i := range 4 {
		_, err := w.tryCommit(Change{
			Author:    fmt.Sprintf("operator-%d", i),
			Documents: map[Name]json.RawMessage{template: templateDoc("keeper", i+5)},
			Base:      map[Name]string{template: base},
		})
		var conflict *Conflict
		switch {
		case err == nil:
			won++
		case errors.As(err, &conflict) && conflict.Theirs != nil && conflict.Mine != nil && conflict.Edit.Author == "operator-0":
			lost++
		default:
			t.Errorf("operator %d got %v", i, err)
		}
	}
	if won != 1 || lost != 3 {
		t.Fatalf("%d won and %d lost", won, lost)
	}
}

// One operator removes a template while another adds an account that uses it.
// Whoever is first, no revision holds an account without its template.
func TestTemplateAndItsAccountCannotBreakEachOther(t *testing.T) {
	for i := range 8 {
		w := newWorld(t)
		w.commit(baseDocs())
		f := w.follow()
		var wg sync.WaitGroup
		var removeErr, addErr error
		wg.Go(func() { _, removeErr = w.tryCommit(Change{Documents: map[Name]json.RawMessage{template: nil}}) })
		wg.Go(func() {
			_, addErr = w.tryCommit(Change{Documents: map[Name]json.RawMessage{account(1): accountDoc(account(1), "keeper")}})
		})
		wg.Wait()
		if (removeErr == nil) == (addErr == nil) {
			t.Fatalf("round %d: remove %v, add %v: exactly one must be accepted", i, removeErr, addErr)
		}
		w.awaitRevision(f, 2)
	}
}

// A write took effect while its answer was lost, or was lost itself: the editor
// tells the truth.
func TestLostAnswersAreSettled(t *testing.T) {
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
			w := newWorld(t)
			w.commit(baseDocs())
			w.commit(map[Name]json.RawMessage{account(0): accountDoc(account(0), "keeper")})
			accepted := map[Name]bool{}
			for i := range 10 {
				w.platform.SetFaults(c.faults)
				n := account(i + 1)
				_, err := w.tryCommit(Change{Documents: map[Name]json.RawMessage{n: accountDoc(n, "keeper")}})
				accepted[n] = err == nil
			}
			w.platform.SetFaults(platform.Faults{})
			head, docs := w.read()
			w.checkHistory(head)
			for n, told := range accepted {
				if there := docs[n] != nil; there != told {
					t.Errorf("%s: told accepted %v, is there %v", n, told, there)
				}
			}
		})
	}
}

// checkHistory fails the test if an edit was accepted twice.
func (w *world) checkHistory(head *Head) {
	w.t.Helper()
	seen := map[string]bool{}
	for _, e := range head.Recent {
		if seen[e.EditID] {
			w.t.Errorf("edit %s was accepted twice", e.EditID)
		}
		seen[e.EditID] = true
	}
}

func (w *world) read() (*Head, Documents) {
	w.t.Helper()
	head, _, err := ReadHead(context.Background(), w.store())
	if err != nil {
		w.t.Fatal(err)
	}
	docs, err := ReadDocuments(context.Background(), w.store(), head)
	if err != nil {
		w.t.Fatal(err)
	}
	return head, docs
}

// A peer that offers an older head does not take a daemon back.
func TestOlderHeadOfAPeerIsIgnored(t *testing.T) {
	w := newWorld(t)
	w.commit(baseDocs())
	old, _ := w.read()
	w.commit(map[Name]json.RawMessage{account(1): accountDoc(account(1), "keeper")})
	f := w.follow()
	w.awaitRevision(f, 2)
	if err := f.Offer(context.Background(), old); err != nil {
		t.Fatal(err)
	}
	if f.Revision() != 2 {
		t.Fatalf("revision fell to %d", f.Revision())
	}
}

// Reads that show an older head do not take a daemon back.
func TestStaleReadsDoNotRevert(t *testing.T) {
	w := newWorld(t)
	w.commit(baseDocs())
	f := w.follow()
	for i := range 10 {
		w.platform.SetFaults(platform.Faults{StaleReads: 2})
		edit := w.commit(map[Name]json.RawMessage{account(i): accountDoc(account(i), "keeper")})
		w.awaitRevision(f, edit.Revision)
	}
}

// An older head is put back on the platform, and operators go on editing. No
// daemon goes back, and neither the edits before nor those after are lost.
func TestRestoredHeadLosesNoEdit(t *testing.T) {
	for _, between := range []int{0, 1, 4} {
		t.Run(fmt.Sprintf("%d edits after the restore", between), func(t *testing.T) {
			w := newWorld(t)
			w.commit(baseDocs())
			for i := range 3 {
				w.commit(map[Name]json.RawMessage{account(i): accountDoc(account(i), "keeper")})
			}
			f := w.follow()
			w.awaitRevision(f, 4)
			w.platform.SetFaults(platform.Faults{FreezeWatch: true, FailEvery: 1})
			if err := w.platform.Restore(HeadKey, 2); err != nil {
				t.Fatal(err)
			}
			w.platform.SetFaults(platform.Faults{FreezeWatch: true})
			for i := range between {
				n := account(100 + i)
				w.commit(map[Name]json.RawMessage{n: accountDoc(n, "keeper")})
			}
			w.platform.SetFaults(platform.Faults{})
			w.await("all edits are in force", func() bool {
				return f.Current().Account("a2") != nil && (between == 0 || f.Current().Account(account(99+between).Name) != nil)
			})
			w.await("the platform has them too", func() bool {
				_, docs := w.read()
				return docs[account(2)] != nil
			})
			fresh := w.follow()
			w.await("a new daemon has them", func() bool {
				return fresh.Current() != nil && fresh.Current().Account("a2") != nil
			})
		})
	}
}

// A watch that has silently died does not keep an edit from a daemon.
func TestDeadWatchIsNoticed(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the longest watch")
	}
	w := newWorld(t)
	w.commit(baseDocs())
	f := w.follow()
	w.awaitRevision(f, 1)
	w.platform.SetFaults(platform.Faults{FreezeWatch: true})
	edit := w.commit(map[Name]json.RawMessage{account(1): accountDoc(account(1), "keeper")})
	w.awaitRevision(f, edit.Revision)
}

func TestInvalidEditsAreRefusedWhole(t *testing.T) {
	w := newWorld(t)
	w.commit(baseDocs())
	for _, c := range []struct {
		name string
		docs map[Name]json.RawMessage
		want []string
	}{
		{"account of no template", map[Name]json.RawMessage{account(1): accountDoc(account(1), "nobody")}, []string{"account/a1", "/template", "keeper"}},
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
			_, err := w.tryCommit(Change{Documents: c.docs})
			var problems checked.Problems
			if !errors.As(err, &problems) {
				t.Fatalf("got %v, want problems", err)
			}
			for _, part := range c.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("%q does not name %q", err, part)
				}
			}
		})
	}
	if head, _ := w.read(); head.Revision != 1 {
		t.Fatalf("an invalid edit was accepted: revision %d", head.Revision)
	}
}

func TestParametersResolve(t *testing.T) {
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
		t.Fatalf("resolved to %+v %+v", g.Model("advice"), g.Limits())
	}
}

// Eight daemons over an outage of ten minutes of driven time: they go on with
// what is in force, ask the platform seldom, and have the edit made after it
// soon, without a storm.
func TestTenMinutesWithoutThePlatform(t *testing.T) {
	const daemons = 8
	w := newWorld(t)
	w.commit(baseDocs())
	c := clock.NewManual()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); c.Advance(spanrill.Minute); running.Wait() })
	log := logrus.New()
	log.SetOutput(io.Discard)
	var all []*Follower
	for range daemons {
		f := NewFollower(w.store(), WithClock(c), WithLogger(log))
		all = append(all, f)
		running.Go(func() { _ = f.Run(ctx) })
	}
	for _, f := range all {
		w.awaitRevision(f, 1)
	}
	w.platform.SetFaults(platform.Faults{Down: true})
	w.commitWatchers() // ends the watches that wait
	before := w.platform.Calls()
	const seconds = 600
	for range seconds {
		c.AwaitAlarms(daemons)
		c.Advance(spanrill.Second)
	}
	c.AwaitAlarms(daemons)
	calls := w.platform.Calls()
	if n := calls.Reads + calls.Watches - before.Reads - before.Watches; n > seconds*daemons/4 {
		t.Errorf("%d calls in %d seconds of outage", n, seconds)
	}
	for _, f := range all {
		if f.Revision() != 1 {
			t.Fatal("the configuration in force was dropped")
		}
	}
	w.platform.SetFaults(platform.Faults{})
	edit := w.commit(map[Name]json.RawMessage{account(1): accountDoc(account(1), "keeper")})
	before = w.platform.Calls()
	c.Advance(maxBackoff)
	for _, f := range all {
		w.awaitRevision(f, edit.Revision)
	}
	calls = w.platform.Calls()
	if n := calls.Reads - before.Reads; n > 10*daemons {
		t.Errorf("%d reads after the outage", n)
	}
}

// commitWatchers changes the head while the platform is down for others, so
// that waiting watches end and see the outage.
func (w *world) commitWatchers() {
	w.t.Helper()
	if err := w.platform.Restore(HeadKey, 0); err != nil {
		w.t.Fatal(err)
	}
}
