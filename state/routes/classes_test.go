package routes

import (
	"strconv"
	"testing"
	"time"

	"spanrill"
)

func chainedRoute(priority int, exempt bool, services ...string) spanrill.Route {
	r := spanrill.Route{Priority: priority, Chained: true, AuthExempt: exempt}
	for _, s := range services {
		r.Shares = append(r.Shares, spanrill.WeightedService{Service: s, Weight: 1})
	}
	return r
}

// Routes of several priorities compete for a service. Accounts alone do not make them compete: most
// deployments have an account with a priority of its own.
func TestPriorities(t *testing.T) {
	for _, c := range []struct {
		name     string
		routes   []spanrill.Route
		accounts []spanrill.Account
		want     int // priorities of service a
	}{
		{"no route", nil, nil, 0},
		{"one route", []spanrill.Route{chainedRoute(3, false, "a")}, nil, 1},
		{"equal priorities", []spanrill.Route{chainedRoute(3, false, "a"), chainedRoute(3, true, "a")}, nil, 1},
		{"two priorities", []spanrill.Route{chainedRoute(3, false, "a"), chainedRoute(0, false, "a")}, nil, 2},
		{"the other priority is of another service", []spanrill.Route{chainedRoute(3, false, "a"), chainedRoute(0, false, "b")}, nil, 1},
		{"the other route is not chained", []spanrill.Route{chainedRoute(3, false, "a"), {Priority: 0, Shares: chainedRoute(0, false, "a").Shares}}, nil, 1},
		{"shared by two services", []spanrill.Route{chainedRoute(3, false, "a", "b"), chainedRoute(0, false, "b", "a")}, nil, 2},
		{"an account has a priority", []spanrill.Route{chainedRoute(3, false, "a")}, []spanrill.Account{{Priority: spanrill.NoPriority}, {Priority: 1}}, 1},
		{"priorities out of range are one", []spanrill.Route{chainedRoute(12, false, "a"), chainedRoute(-4, false, "a"), chainedRoute(5, false, "a")}, nil, 1},
	} {
		table := New(&spanrill.RouteConfig{Routes: c.routes, Accounts: c.accounts})
		if got := table.Priorities("a"); got != c.want {
			t.Errorf("%s: %d priorities, want %d", c.name, got, c.want)
		}
	}
	idle := chainedRoute(0, false, "a")
	idle.Shares[0].Weight = 0
	if got := New(&spanrill.RouteConfig{Routes: []spanrill.Route{idle}}).Priorities("a"); got != 0 {
		t.Errorf("a share of weight 0: %d priorities, want 0", got)
	}
}

// The account's priority decides, and among requests for which it is the same, the route's.
func TestClass(t *testing.T) {
	urgent, patient, open := chainedRoute(0, false, "a"), chainedRoute(2, false, "a"), chainedRoute(7, true, "a")
	first, usual, unset := spanrill.Account{Priority: 0}, spanrill.Account{Priority: 1}, spanrill.Account{Priority: spanrill.NoPriority}
	table := New(&spanrill.RouteConfig{Routes: []spanrill.Route{patient, open, urgent}, Accounts: []spanrill.Account{usual, unset, first}})
	for want, c := range []struct {
		route   spanrill.Route
		account *spanrill.Account
	}{{urgent, &first}, {patient, &first}, {urgent, &usual}, {patient, &usual}, {patient, &unset}, {open, nil}} {
		if got := table.Class("a", &c.route, c.account); int(got) != want {
			t.Errorf("route %d, account %+v: class %d, want %d", c.route.Priority, c.account, got, want)
		}
	}
	if got := table.Class("a", &urgent, &unset); got != 0 {
		t.Errorf("the most urgent route without a priority of the account: class %d, want 0", got)
	}
	if got := table.Class("unknown", &patient, &usual); got != 0 {
		t.Errorf("unknown service: class %d, want 0", got)
	}
	var many []spanrill.Route
	for priority := range spanrill.ClassCount {
		many = append(many, chainedRoute(priority, false, "a"))
	}
	table = New(&spanrill.RouteConfig{Routes: many, Accounts: []spanrill.Account{first, usual}})
	if got := table.Class("a", &many[9], &usual); got != spanrill.ClassCount-1 {
		t.Errorf("the last of 20 ranks: class %d, want %d", got, spanrill.ClassCount-1)
	}
}

// largestConfig returns a configuration with 4,000 client accounts and 1,000 chained routes for 31
// services. Their priorities are all that there are.
func largestConfig() *spanrill.RouteConfig {
	c := &spanrill.RouteConfig{}
	for i := range 1000 {
		c.Routes = append(c.Routes, chainedRoute(i%spanrill.ClassCount, i%7 == 0, "service"+strconv.Itoa(i%31)))
	}
	for i := range 4000 {
		c.Accounts = append(c.Accounts, spanrill.Account{Name: strconv.Itoa(i), Keys: []string{"key" + strconv.Itoa(i)}, Priority: i%(spanrill.ClassCount+1) + spanrill.NoPriority})
	}
	return c
}

// The daemons index each version of the configuration, also when it changes many times a second. The
// bound is the time that one daemon may use per second for all control, 1.7 % of a core.
func TestCompetitionsOfLargestConfig(t *testing.T) {
	c := largestConfig()
	began := time.Now()
	const rounds = 10
	for range rounds {
		findCompetitions(c)
	}
	if each := time.Since(began) / rounds; each > 17*time.Millisecond {
		t.Errorf("%v for each version, want at most 17 ms", each)
	}
}

func BenchmarkFindCompetitions(b *testing.B) {
	c := largestConfig()
	for b.Loop() {
		findCompetitions(c)
	}
}

func BenchmarkNew(b *testing.B) {
	c := largestConfig()
	for b.Loop() {
		New(c)
	}
}
