package admission

import (
	"math"
	"sync"

	"spanrill"
)

// demand measures the request rates of the accounts at this daemon and at its peers. A limit over
// all daemons is divided among them in proportion to these rates.
type demand struct {
	mu          sync.Mutex
	own         map[string]*rate
	peers       map[string]peerDemand // by name of the daemon
	liveDaemons int                   // number of live daemons, including this one
}

// peerDemand is the demand that a peer last sent.
type peerDemand struct {
	receivedAt spanrill.Millis
	accounts   map[string]float64 // requests a second
}

const (
	// rateHalfLife is the time after which the weight of a request in a rate is halved.
	rateHalfLife = 2 * spanrill.Second
	// maxPeerDemandAge is how long the demand that a peer sent is used.
	maxPeerDemandAge = 10 * spanrill.Second
	// minReportedRate is the rate below which an account is not reported to peers.
	minReportedRate = 0.05
)

// rate is an exponentially decaying rate of events per second.
type rate struct {
	value     float64
	updatedAt spanrill.Millis
}

func (r *rate) valueAt(now spanrill.Millis) float64 {
	age := float64(now - r.updatedAt)
	return r.value * math.Exp2(-age/float64(rateHalfLife))
}

func (r *rate) add(now spanrill.Millis) {
	perRequest := math.Ln2 * float64(spanrill.Second) / float64(rateHalfLife)
	r.value = r.valueAt(now) + perRequest
	r.updatedAt = now
}

func newDemand() *demand {
	return &demand{own: map[string]*rate{}, peers: map[string]peerDemand{}, liveDaemons: 1}
}

// countRequest counts a request of an account.
func (d *demand) countRequest(account string, now spanrill.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.own[account]
	if r == nil {
		r = &rate{updatedAt: now}
		d.own[account] = r
	}
	r.add(now)
}

// snapshot returns the request rates of the accounts at this daemon, and removes accounts whose
// rate is below minReportedRate.
func (d *demand) snapshot(now spanrill.Millis) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string]float64, len(d.own))
	for account, r := range d.own {
		v := r.valueAt(now)
		if v < minReportedRate {
			delete(d.own, account)
			continue
		}
		all[account] = v
	}
	return all
}

func (d *demand) recordPeer(daemon string, accounts map[string]float64, now spanrill.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[daemon] = peerDemand{receivedAt: now, accounts: accounts}
}

func (d *demand) setDaemons(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.liveDaemons = max(1, n)
}

func (d *demand) daemons() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.liveDaemons
}

// share returns the fraction of an account's limits that this daemon may use. A part of the limits
// is divided equally, so that the first request of an account is admitted by any daemon; the rest
// is divided in proportion to demand.
func (d *demand) share(account string, now spanrill.Millis) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := 0.0
	if r := d.own[account]; r != nil {
		own = r.valueAt(now)
	}
	total := own
	for name, peer := range d.peers {
		if now-peer.receivedAt > maxPeerDemandAge {
			delete(d.peers, name)
			continue
		}
		total += peer.accounts[account]
	}
	if total <= 0 {
		return 1 / float64(d.liveDaemons)
	}
	return equalShare/float64(d.liveDaemons) + (1-equalShare)*own/total
}

// equalShare is the fraction of a limit that is divided equally among the daemons.
const equalShare = 0.2
