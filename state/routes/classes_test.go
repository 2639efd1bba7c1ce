package routes

import (
	"testing"

	"spanrill"
)

// The classes of a service are those that its requests can have: an account's own priority replaces
// the route's, and only on routes that need a key.
func TestClasses(t *testing.T) {
	chained := func(priority int, exempt bool, services ...string) spanrill.Route {
		r := spanrill.Route{Priority: priority, Chained: true, AuthExempt: exempt}
		for _, s := range services {
			r.Shares = append(r.Shares, spanrill.WeightedService{Service: s, Weight: 1})
		}
		return r
	}
	account := func(priority int) spanrill.Account { return spanrill.Account{Priority: priority} }
	unset := account(spanrill.NoPriority)
	for _, c := range []struct {
		name     string
		routes   []spanrill.Route
		accounts []spanrill.Account
		want     int // classes of service a
	}{
		{"no route", nil, nil, 0},
		{"one route", []spanrill.Route{chained(3, false, "a")}, nil, 1},
		{"equal priorities", []spanrill.Route{chained(3, false, "a"), chained(3, true, "a")}, nil, 1},
		{"two priorities", []spanrill.Route{chained(3, false, "a"), chained(0, false, "a")}, nil, 2},
		{"the other priority is of another service", []spanrill.Route{chained(3, false, "a"), chained(0, false, "b")}, nil, 1},
		{"the other route is not chained", []spanrill.Route{chained(3, false, "a"), {Priority: 0, Shares: chained(0, false, "a").Shares}}, nil, 1},
		{"shared by two services", []spanrill.Route{chained(3, false, "a", "b"), chained(0, false, "b", "a")}, nil, 2},
		{"no account has a priority", []spanrill.Route{chained(3, false, "a")}, []spanrill.Account{unset, unset}, 1},
		{"an account has a priority", []spanrill.Route{chained(3, false, "a")}, []spanrill.Account{unset, account(1)}, 2},
		{"all accounts have the same", []spanrill.Route{chained(3, false, "a"), chained(4, false, "a")}, []spanrill.Account{account(1), account(1)}, 1},
		{"a route without keys", []spanrill.Route{chained(3, true, "a")}, []spanrill.Account{account(1)}, 1},
		{"priorities out of range are one class", []spanrill.Route{chained(12, false, "a"), chained(-4, false, "a"), chained(5, false, "a")}, nil, 1},
	} {
		table := New(&spanrill.RouteConfig{Routes: c.routes, Accounts: c.accounts})
		if got := table.Classes("a"); got != c.want {
			t.Errorf("%s: %d classes, want %d", c.name, got, c.want)
		}
	}
	idle := chained(0, false, "a")
	idle.Shares[0].Weight = 0
	if got := New(&spanrill.RouteConfig{Routes: []spanrill.Route{idle}}).Classes("a"); got != 0 {
		t.Errorf("a share of weight 0: %d classes, want 0", got)
	}
}
