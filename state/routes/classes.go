package routes

import "spanrill"

// Classes returns how many classes of requests compete for the engines of a service: the number of
// different priorities that its chained routes and the client accounts give to requests.
func (t *Table) Classes(service string) int { return t.classes[service] }

// countClasses returns the number of classes of each service with chained routes.
func countClasses(c *spanrill.RouteConfig) map[string]int {
	ofAccounts, routeDecides := accountClasses(c.Accounts)
	found := map[string]map[spanrill.Class]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if !r.Chained {
			continue
		}
		for _, share := range r.Shares {
			if share.Weight > 0 {
				addClasses(found, share.Service, r, ofAccounts, routeDecides)
			}
		}
	}
	counts := make(map[string]int, len(found))
	for service, classes := range found {
		counts[service] = len(classes)
	}
	return counts
}

// accountClasses returns the classes of the accounts with a priority of their own, and whether the
// route's priority applies to any request with a key.
func accountClasses(accounts []spanrill.Account) (classes map[spanrill.Class]bool, routeDecides bool) {
	classes = map[spanrill.Class]bool{}
	for i := range accounts {
		if accounts[i].Priority == spanrill.NoPriority {
			routeDecides = true
			continue
		}
		class, _ := spanrill.ClassOf(accounts[i].Priority)
		classes[class] = true
	}
	return classes, routeDecides || len(accounts) == 0
}

// addClasses adds the classes that requests of a route may have to those of a service. Requests of a
// route that needs no key have no account.
func addClasses(found map[string]map[spanrill.Class]bool, service string, r *spanrill.Route, ofAccounts map[spanrill.Class]bool, routeDecides bool) {
	if found[service] == nil {
		found[service] = map[spanrill.Class]bool{}
	}
	if routeDecides || r.AuthExempt {
		class, _ := spanrill.ClassOf(r.Priority)
		found[service][class] = true
	}
	if r.AuthExempt {
		return
	}
	for class := range ofAccounts {
		found[service][class] = true
	}
}
