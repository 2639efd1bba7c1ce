package admission

import (
	"math"
	"sync"

	"spanrill"
)

// demand measures how much the accounts ask of this daemon and of the others,
// so that a limit that holds over all daemons can be divided among them.
type demand struct {
	mu     sync.Mutex
	own    map[string]*rate
	others map[string]othersDemand // by daemon
	alive  int                     // daemons, this one included
}

// othersDemand is what one other daemon told last.
type othersDemand struct {
	at       spanrill.Millis
	accounts map[string]float64 // requests a second
}

const (
	// rateHalfLife is the time after which a request counts half.
	rateHalfLife = 2 * spanrill.Second
	// othersAge is how long the word of another daemon counts.
	othersAge = 10 * spanrill.Second
	// quietRate is the demand below which an account is not told to others.
	quietRate = 0.05
)

// rate is a decaying count of requests a second.
type rate struct {
	value float64
	at    spanrill.Millis
}

func (r *rate) now(now spanrill.Millis) float64 {
	age := float64(now - r.at)
	return r.value * math.Exp2(-age/float64(rateHalfLife))
}

func (r *rate) add(now spanrill.Millis) {
	perRequest := math.Ln2 * float64(spanrill.Second) / float64(rateHalfLife)
	r.value = r.now(now) + perRequest
	r.at = now
}

func newDemand() *demand {
	return &demand{own: map[string]*rate{}, others: map[string]othersDemand{}, alive: 1}
}

// asked counts a request of an account.
func (d *demand) asked(account string, now spanrill.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.own[account]
	if r == nil {
		r = &rate{at: now}
		d.own[account] = r
	}
	r.add(now)
}

// snapshot returns the accounts that ask something of this daemon, and forgets
// those that no longer do.
func (d *demand) snapshot(now spanrill.Millis) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string]float64, len(d.own))
	for account, r := range d.own {
		v := r.now(now)
		if v < quietRate {
			delete(d.own, account)
			continue
		}
		all[account] = v
	}
	return all
}

func (d *demand) told(daemon string, accounts map[string]float64, now spanrill.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.others[daemon] = othersDemand{at: now, accounts: accounts}
}

func (d *demand) setAlive(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.alive = max(1, n)
}

func (d *demand) daemons() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.alive
}

// share returns the part of an account's limit that this daemon may use: its
// part of the demand, with a floor for each daemon so that a first request
// finds room anywhere.
func (d *demand) share(account string, now spanrill.Millis) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := 0.0
	if r := d.own[account]; r != nil {
		own = r.now(now)
	}
	total := own
	for name, o := range d.others {
		if now-o.at > othersAge {
			delete(d.others, name)
			continue
		}
		total += o.accounts[account]
	}
	if total <= 0 {
		return 1 / float64(d.alive)
	}
	return floorShare/float64(d.alive) + (1-floorShare)*own/total
}

// floorShare is the part of a limit that is divided equally.
const floorShare = 0.2
