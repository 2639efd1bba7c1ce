package routes

import (
	"cmp"
	"slices"

	"spanrill"
)

// rank is the urgency of requests. The account's own priority goes before that of the route, so it
// decides first. Requests for which it is the same are ranked by their routes.
type rank struct{ priority, route spanrill.Class }

// rankOf returns the rank of the requests of a route. The account is nil if they have none.
func rankOf(r *spanrill.Route, a *spanrill.Account) rank {
	route, _ := spanrill.ClassOf(r.Priority)
	if a == nil || a.Priority == spanrill.NoPriority {
		return rank{priority: route, route: route}
	}
	own, _ := spanrill.ClassOf(a.Priority)
	return rank{priority: own, route: route}
}

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.route, b.route))
}

// competition is how the requests of a service compete for its engines.
type competition struct {
	priorities int    // different priorities of its chained routes
	ranks      []rank // of its requests, most urgent first
}

// Priorities returns how many different priorities the chained routes of a service have.
func (t *Table) Priorities(service string) int { return t.competitions[service].priorities }

// Class returns the class of a request among those that compete for the engines of a service: 0 for
// the most urgent ones that its routes and the client accounts can have, 1 for the next, and so on.
// The account is nil if the request has none.
func (t *Table) Class(service string, r *spanrill.Route, a *spanrill.Account) spanrill.Class {
	index, _ := slices.BinarySearchFunc(t.competitions[service].ranks, rankOf(r, a), compareRanks)
	return spanrill.Class(min(index, spanrill.ClassCount-1))
}

// findCompetitions returns how the requests of each service with chained routes compete.
func findCompetitions(c *spanrill.RouteConfig) map[string]competition {
	found := map[string]competition{}
	priorities := map[string]map[spanrill.Class]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, share := range r.Shares {
			if !r.Chained || share.Weight <= 0 {
				continue
			}
			of := found[share.Service]
			of.ranks = append(of.ranks, ranksOf(r, c.Accounts)...)
			found[share.Service] = of
			if priorities[share.Service] == nil {
				priorities[share.Service] = map[spanrill.Class]bool{}
			}
			priorities[share.Service][rankOf(r, nil).route] = true
		}
	}
	for service, of := range found {
		slices.SortFunc(of.ranks, compareRanks)
		found[service] = competition{priorities: len(priorities[service]), ranks: slices.Compact(of.ranks)}
	}
	return found
}

// ranksOf returns the ranks that the requests of a route can have. Requests of a route that needs no
// key have no account.
func ranksOf(r *spanrill.Route, accounts []spanrill.Account) []rank {
	if r.AuthExempt || len(accounts) == 0 {
		return []rank{rankOf(r, nil)}
	}
	seen := map[rank]bool{}
	var ranks []rank
	for i := range accounts {
		if of := rankOf(r, &accounts[i]); !seen[of] {
			seen[of] = true
			ranks = append(ranks, of)
		}
	}
	return ranks
}
