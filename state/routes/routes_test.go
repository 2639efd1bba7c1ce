package routes

import (
	"testing"

	"spanrill"
	"spanrill/clock"
)

func newTable(version int64, keys ...string) *Table {
	return New(&spanrill.RouteConfig{
		Version: version,
		Routes: []spanrill.Route{
			{Name: "all", Host: "h.example", Prefix: "/"},
			{Name: "a", Host: "h.example", Prefix: "/a/"},
			{Name: "ab", Host: "H.example", Prefix: "/a/b/"},
			{Name: "other", Host: "o.example", Prefix: "/a/"},
		},
		Accounts: []spanrill.Account{{Name: "x", Keys: keys}},
	})
}

func TestFindRoute(t *testing.T) {
	table := newTable(1)
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/b/c", "ab"},
		{"h.example", "/a/bc", "a"},
		{"h.example", "/a", "all"},
		{"H.EXAMPLE:8080", "/a/x", "a"},
		{"o.example", "/a/b/c", "other"},
		{"o.example", "/b/", ""},
		{"n.example", "/", ""},
	} {
		got := ""
		if r, ok := table.Find(c.host, c.path); ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestAccount(t *testing.T) {
	table := newTable(1, "k")
	if a, ok := table.Account("k"); !ok || a.Name != "x" {
		t.Fatal("key k is not found as a key of account x")
	}
	for _, key := range []string{"", "K", "other"} {
		if _, ok := table.Account(key); ok {
			t.Errorf("key %q is found, want no account", key)
		}
	}
}

func TestChooseService(t *testing.T) {
	r := &spanrill.Route{Shares: []spanrill.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for _, c := range []struct {
		draw float64
		want string
	}{{0, "a"}, {0.89, "a"}, {0.9, "b"}, {0.999, "b"}, {1, "b"}} {
		if got := ChooseService(r, c.draw); got != c.want {
			t.Errorf("draw %v: %s, want %s", c.draw, got, c.want)
		}
	}
	if got := ChooseService(&spanrill.Route{}, 0.5); got != "" {
		t.Errorf("a route without services: %q, want none", got)
	}
}

// Versions may arrive in any order, from the store or from peers. An older one never replaces a
// newer one.
func TestOlderVersionsAreIgnored(t *testing.T) {
	c := NewCurrent(clock.NewManual())
	for _, step := range []struct {
		version  int64
		revision uint64
		want     bool
	}{
		{3, 30, true}, {2, 20, false}, {3, 30, false}, {2, 31, false}, {5, 50, true}, {4, 40, false},
	} {
		if got := c.Update(newTable(step.version), nil, step.revision); got != step.want {
			t.Errorf("version %d at revision %d accepted: %t, want %t", step.version, step.revision, got, step.want)
		}
	}
}

// The age counts from the latest confirmation of the current revision. Confirmations of other
// revisions, and those with an earlier time, have no effect.
func TestAgeSinceConfirmation(t *testing.T) {
	manual := clock.NewManual()
	manual.Advance(10_000)
	c := NewCurrent(manual)
	c.ConfirmUnchanged(1, manual.Now())
	if c.Age() < 10_000 {
		t.Fatal("a confirmation has an effect before the first table")
	}
	c.Update(newTable(1), nil, 7)
	c.ConfirmUnchanged(6, manual.Now())
	if c.Age() < 10_000 {
		t.Fatal("a confirmation of another revision has an effect")
	}
	c.ConfirmUnchanged(7, manual.Now()-300)
	c.ConfirmUnchanged(7, manual.Now()-900)
	if got := c.Age(); got != 300 {
		t.Fatalf("the age is %d ms, want 300", got)
	}
	manual.Advance(5000)
	if got := c.Age(); got != 5300 {
		t.Fatalf("the age is %d ms after another 5 s, want 5300", got)
	}
}

// Guards against a daemon that has just started and takes a confirmation from before its start for one
// at its start.
func TestAgeOfConfirmationBeforeTheStart(t *testing.T) {
	manual := clock.NewManual()
	c := NewCurrent(manual)
	manual.Advance(100)
	c.Update(newTable(1), nil, 7)
	for _, confirmedAt := range []spanrill.Millis{-3900, -5000} {
		c.ConfirmUnchanged(7, confirmedAt)
		if got := c.Age(); got != 4000 {
			t.Fatalf("the age is %d ms, want 4000", got)
		}
	}
}

// Guards against a daemon that takes a version that cannot replace its own for a newer one.
func TestStoreHasOlder(t *testing.T) {
	c := NewCurrent(clock.NewManual())
	c.Update(newTable(5), nil, 10)
	for _, step := range []struct {
		name string
		do   func()
		want bool
	}{
		{"the same revision", func() { c.Update(newTable(5), nil, 10) }, false},
		{"a lower version", func() { c.Update(newTable(4), nil, 20) }, true},
		{"an unreadable one since", func() { c.RecordUnusable(30) }, false},
		{"a lower version since", func() { c.Update(newTable(3), nil, 40) }, true},
		{"a higher version since", func() { c.Update(newTable(6), nil, 50) }, false},
	} {
		if step.do(); c.StoreHasOlder() != step.want {
			t.Errorf("%s: %t, want %t", step.name, !step.want, step.want)
		}
	}
}

// A newer revision is known from when it was first heard of until it, or a later one, is in force.
func TestNewerRevisionIsKnown(t *testing.T) {
	manual := clock.NewManual()
	c := NewCurrent(manual)
	c.Update(newTable(1), nil, 10)
	c.RecordKnown(10)
	manual.Advance(50)
	if got := c.NewerKnownFor(); got != 0 {
		t.Errorf("a newer revision known for %d ms, want none", got)
	}
	c.RecordKnown(20)
	manual.Advance(100)
	c.RecordKnown(30)
	c.Update(newTable(2), nil, 20)
	if got := c.NewerKnownFor(); got != 100 {
		t.Errorf("a newer revision known for %d ms, want 100", got)
	}
	c.Update(newTable(3), nil, 30)
	if got := c.NewerKnownFor(); got != 0 {
		t.Errorf("a newer revision known for %d ms once it is in force, want none", got)
	}
}
