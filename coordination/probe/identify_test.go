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

// names answers for addresses, as a test sets it.
type names struct {
	mu    sync.Mutex
	name  string // "" for no answer
	asked int
}

func (n *names) Identify(context.Context, string, string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked++
	if n.name == "" {
		return "", errors.New("no answer")
	}
	return n.name, nil
}

// An address that two entries name is asked until it answers, each half second once.
func TestAddressIsAskedWhoItIs(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, said := clock.NewManual(), &names{}
	table := fleet.New(c, nil, fleet.WithLogger(log))
	entry := func(name string) spanrill.EngineEntry {
		return spanrill.EngineEntry{ID: name, Service: "s", Addr: "1:1"}
	}
	table.Merge(fleet.Knowledge{Entries: []spanrill.EngineEntry{entry("old")}, At: 1, Change: 1}, 0)
	table.Merge(fleet.Knowledge{Entries: []spanrill.EngineEntry{entry("old"), entry("new")}, At: 2, Change: 2}, 0)
	n := NewNames(said, c, log, func(string) string { return "/healthz" })
	ask := func(want int, who string) {
		t.Helper()
		n.Ask(context.Background(), table)
		n.Wait()
		if said.asked != want || table.View().ByAddr("1:1").Name() != who {
			t.Fatalf("asked %d times, want %d; %s is at the address, want %s", said.asked, want, table.View().ByAddr("1:1").Name(), who)
		}
	}
	ask(1, "old")
	ask(1, "old")
	c.Advance(againAfter)
	ask(2, "old")
	table.Notice("1:1", spanrill.Notice{Rest: restsAgain}, c.Now())
	c.Advance(againAfter)
	ask(2, "old")
	c.Advance(restsAgain)
	said.name = "new"
	ask(3, "new")
	c.Advance(againAfter)
	ask(3, "new")
}
