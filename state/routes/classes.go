package routes

import (
	"slices"

	"spanrill"
)

// rank is the urgency of requests. The account's own priority goes before that of the route, so it
// decides first. Requests for which it is the same are ranked by their routes.
type rank struct{ priority, route spanrill.Class }

// rankOf returns the rank of the requests of a route. The account is nil if they have none.
func rankOf(r *spanrill.Route, a *spanrill.Account) rank {
	route, _ := spanrill.ClassOf(r.Priority)
	if own, ok := ownPriority(a); ok {
		return rank{priority: own, route: route}
	}
	return rank{priority: route, route: route}
}

// ownPriority returns the priority that an account gives its requests. It returns false if their
// route's applies. The account is nil if they have none.
func ownPriority(a *spanrill.Account) (own spanrill.Class, ok bool) {
	if a == nil || a.Priority == spanrill.NoPriority {
		return 0, false
	}
	own, _ = spanrill.ClassOf(a.Priority)
	return own, true
}

// ranking numbers the ranks that requests can have, from 0 for the most urgent ones.
type ranking [spanrill.ClassCount][spanrill.ClassCount]int // by priority and route

// competition is how the requests of a service compete for its engines.
type competition struct {
	priorities int      // different priorities of its chained routes
	ranking    *ranking // of its requests
}

// Priorities returns how many different priorities the chained routes of a service have.
func (t *Table) Priorities(service string) int { return t.competitions[service].priorities }

// Class returns the class of a request among those that compete for the engines of a service: 0 for
// the most urgent ones that its routes and the client accounts can have, 1 for the next, and so on.
// The account is nil if the request has none.
func (t *Table) Class(service string, r *spanrill.Route, a *spanrill.Account) spanrill.Class {
	ranking := t.competitions[service].ranking
	if ranking == nil {
		return 0
	}
	of := rankOf(r, a)
	return spanrill.Class(min(ranking[of.priority][of.route], spanrill.ClassCount-1))
}

// findCompetitions returns how the requests of each service with chained routes compete. Its time
// grows with the accounts and the shares of routes, not with their product.
func findCompetitions(c *spanrill.RouteConfig) map[string]competition {
	accounts := accountsByPriority(c.Accounts)
	found := map[string]*competitors{}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, share := range r.Shares {
			if !r.Chained || share.Weight <= 0 {
				continue
			}
			if found[share.Service] == nil {
				found[share.Service] = &competitors{}
			}
			found[share.Service].add(r, accounts)
		}
	}
	competitions := make(map[string]competition, len(found))
	for service, of := range found {
		competitions[service] = of.competition()
	}
	return competitions
}

// accountsByPriority returns one account for each way in which accounts set the priority of their
// requests.
func accountsByPriority(accounts []spanrill.Account) []*spanrill.Account {
	var distinct []*spanrill.Account
	var hasOwn [spanrill.ClassCount]bool
	hasNone := false
	for i := range accounts {
		own, ok := ownPriority(&accounts[i])
		seen := &hasNone
		if ok {
			seen = &hasOwn[own]
		}
		if !*seen {
			*seen = true
			distinct = append(distinct, &accounts[i])
		}
	}
	return distinct
}

// competitors has the priorities and ranks of the requests of a service.
type competitors struct {
	priorities [spanrill.ClassCount]bool
	ranks      [spanrill.ClassCount][spanrill.ClassCount]bool // by priority and route
}

// add adds the ranks that the requests of a route can have. Requests of a route that needs no key
// have no account.
func (s *competitors) add(r *spanrill.Route, accounts []*spanrill.Account) {
	s.priorities[rankOf(r, nil).route] = true
	if r.AuthExempt || len(accounts) == 0 {
		accounts = []*spanrill.Account{nil}
	}
	for _, a := range accounts {
		of := rankOf(r, a)
		s.ranks[of.priority][of.route] = true
	}
}

// competition numbers the ranks. A rank that no request has gets the number of the next one.
func (s *competitors) competition() competition {
	numbers, next := &ranking{}, 0
	for priority := range s.ranks {
		for route, found := range s.ranks[priority] {
			numbers[priority][route] = next
			if found {
				next++
			}
		}
	}
	priorities := slices.DeleteFunc(slices.Clone(s.priorities[:]), func(found bool) bool { return !found })
	return competition{priorities: len(priorities), ranking: numbers}
}
