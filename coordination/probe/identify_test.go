package probe

import (
	"context"
	"io"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/state/fleet"
)

// fakeIdentifier answers with the same name for every address, and counts queries.
type fakeIdentifier struct {
	mu      sync.Mutex
	name    string // "" for no answer
	queries int
}

func (f *fakeIdentifier) Identify(context.Context, string, string) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queries++
	if f.name == "" {
		return "", errors.New("no answer")
	}
	return f.name, nil
}

// An address that two entries claim is queried until it answers, at most once in each
// recheckInterval, and less often while the upstream rests.
func TestAddressIsQueriedUntilItAnswers(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, identifier := clock.NewManual(), &fakeIdentifier{}
	table := fleet.New(c, nil, fleet.WithLogger(log))
	entry := func(name string) spanrill.EngineEntry {
		return spanrill.EngineEntry{ID: name, Service: "s", Addr: "1:1"}
	}
	table.Merge(fleet.Update{Entries: []spanrill.EngineEntry{entry("old")}, Revision: 1, LastChange: 1}, 0)
	table.Merge(fleet.Update{Entries: []spanrill.EngineEntry{entry("old"), entry("new")}, Revision: 2, LastChange: 2}, 0)
	resolver := NewAddressResolver(identifier, c, log, func(string) string { return "/healthz" })
	check := func(wantQueries int, wantName string) {
		t.Helper()
		resolver.Resolve(context.Background(), table)
		resolver.Wait()
		if identifier.queries != wantQueries || table.View().ByAddr("1:1").Name() != wantName {
			t.Fatalf("%d queries, want %d; upstream at the address: %s, want %s", identifier.queries, wantQueries, table.View().ByAddr("1:1").Name(), wantName)
		}
	}
	check(1, "old")
	check(1, "old")
	c.Advance(recheckInterval)
	check(2, "old")
	table.HandleNotice("1:1", spanrill.Notice{Rest: restingInterval}, c.Now())
	c.Advance(recheckInterval)
	check(2, "old")
	c.Advance(restingInterval)
	identifier.name = "new"
	check(3, "new")
	c.Advance(recheckInterval)
	check(3, "new")
}
