package admission

// fairTags give requests their places by weighted fair queueing: each request advances the virtual
// time of its account by the inverse of its weight, so that an account that sends many requests
// delays its own and not those of others.
type fairTags struct {
	virtualTime float64            // largest virtual finish time of a started request
	finish      map[string]float64 // virtual finish time of each account's last request
}

// maxTrackedAccounts is the number of accounts in the finish map at which it is pruned.
const maxTrackedAccounts = 8192

// next returns the virtual finish time of the next request of an account.
func (t *fairTags) next(account string, weight float64) float64 {
	return max(t.virtualTime, t.finish[account]) + 1/weight
}

// enter stores the virtual finish time of the account's last request.
func (t *fairTags) enter(account string, finish float64) {
	if t.finish == nil {
		t.finish = map[string]float64{}
	}
	if len(t.finish) >= maxTrackedAccounts {
		t.prune()
	}
	t.finish[account] = finish
}

// prune removes accounts whose virtual finish time has passed.
func (t *fairTags) prune() {
	for account, finish := range t.finish {
		if finish <= t.virtualTime {
			delete(t.finish, account)
		}
	}
}

// start advances the virtual time to a request that starts.
func (t *fairTags) start(finish float64) {
	t.virtualTime = max(t.virtualTime, finish)
}

// leave takes back what a request advanced its account by. An account does not pay for requests
// that have not started.
func (t *fairTags) leave(account string, weight float64) {
	finish, ok := t.finish[account]
	if !ok {
		return
	}
	if finish -= 1 / weight; finish > t.virtualTime {
		t.finish[account] = finish
	} else {
		delete(t.finish, account)
	}
}
