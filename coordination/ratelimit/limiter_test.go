package ratelimit

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/protocol/peermsg"
	"spanrill/rng"
	"spanrill/state/fleet"
)

// Required bound: in each window of limitWindow an upstream receives at most limitFactor times
// what its limit allows, plus limitSlack requests.
const (
	limitWindow = 4 * spanrill.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// network simulates daemons that ask one another for permits, on a manual clock.
type network struct {
	clock   *clock.Manual
	random  *rng.Source
	daemons []*member
}

type member struct {
	network    *network
	name       string
	table      *fleet.Table
	limiter    *Limiter
	down       bool
	unanswered float64 // fraction of permit requests that time out
	granters   []int   // indices of the granting daemons, in order of preference
}

const upstreamID = "u"

func newNetwork(daemons int, limit float64, seed uint64) *network {
	n := &network{clock: clock.NewManual(), random: rng.New(seed)}
	n.clock.Advance(100_000)
	for i := range daemons {
		n.daemons = append(n.daemons, n.newMember(fmt.Sprint(i)))
		n.daemons[i].granters = []int{0, min(1, daemons-1)}
		n.daemons[i].table.HandleNotice("1:1", limitNotice(limit), n.clock.Now())
	}
	return n
}

func (n *network) newMember(name string) *member {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &member{network: n, name: name, table: fleet.New(n.clock, nil, fleet.WithLogger(log))}
	m.table.Merge(fleet.Update{Entries: []spanrill.EngineEntry{{ID: upstreamID, Service: "s", Addr: "1:1"}}, Revision: 1, LastChange: 1}, 0)
	m.limiter = New(m.table, n.clock, m)
	return m
}

func limitNotice(perSecond float64) spanrill.Notice {
	return spanrill.Notice{Limit: spanrill.RateLimit{Set: true, PerSecond: perSecond}}
}

func (m *member) upstream() *fleet.Upstream { return m.table.View().ByID(upstreamID) }

func (m *member) Granters(uint32) []peermsg.Member {
	var granters []peermsg.Member
	for _, i := range m.granters {
		g := peermsg.Member{Name: fmt.Sprint(i), PeerAddr: fmt.Sprint(i)}
		if g.Name == m.name {
			g.PeerAddr = ""
		}
		granters = append(granters, g)
	}
	return granters
}

func (m *member) Unresponsive(daemon string) bool {
	var i int
	_, err := fmt.Sscan(daemon, &i)
	return err == nil && m.network.daemons[i].down
}

var errNoAnswer = errors.New("no answer")

func (m *member) RequestPermit(_ context.Context, addr string, req *peermsg.PermitRequest) (*peermsg.Permit, error) {
	var i int
	if _, err := fmt.Sscan(addr, &i); err != nil || m.network.daemons[i].down || m.network.random.Float64() < m.network.daemons[i].unanswered {
		return nil, errNoAnswer
	}
	return m.network.daemons[i].limiter.HandlePermitRequest(req), nil
}

// simulate generates requests at a mean rate for each daemon, and returns the times at which
// the upstream received one.
func (n *network) simulate(d spanrill.Millis, perSecond float64) (sent []spanrill.Millis) {
	const step spanrill.Millis = 10
	for end := n.clock.Now() + d; n.clock.Now() < end; n.clock.Advance(step) {
		for _, m := range n.daemons {
			if m.down || n.random.Float64() > perSecond*float64(step)/float64(spanrill.Second) {
				continue
			}
			u := m.upstream()
			if u.CheckSend(n.clock.Now()) == nil && m.limiter.Permit(context.Background(), u) == nil {
				sent = append(sent, n.clock.Now())
			}
		}
	}
	return sent
}

// maxInWindow returns the highest number of requests in any window.
func maxInWindow(sent []spanrill.Millis) (most int) {
	for i := range sent {
		n := 0
		for n < len(sent)-i && sent[i+n] < sent[i]+limitWindow {
			n++
		}
		most = max(most, n)
	}
	return most
}

func allowedInWindow(limit float64) int {
	return int(limitFactor*limit*limitWindow.Duration().Seconds()) + limitSlack
}

// Guards against daemons that together exceed the limit of an upstream, and against leaving more
// than a fifth of the limit unused when demand exceeds it.
func TestCombinedRateOfDaemons(t *testing.T) {
	for _, c := range []struct {
		name      string
		daemons   int
		limit     float64
		perSecond float64 // request rate of each daemon
	}{
		{"one daemon", 1, 2.5, 20},
		{"seven daemons", 7, 2.5, 6},
		{"seven daemons, higher limit", 7, 40, 20},
		{"limit of zero", 7, 0, 6},
		{"1,000 daemons", 1000, 2.5, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(c.daemons, c.limit, 1)
			const duration = 20 * spanrill.Second
			sent := n.simulate(duration, c.perSecond)
			if got := maxInWindow(sent); got > allowedInWindow(c.limit) {
				t.Errorf("%d requests in a window, want at most %d", got, allowedInWindow(c.limit))
			}
			if used := float64(len(sent)) / duration.Duration().Seconds(); used < 0.8*c.limit {
				t.Errorf("%.2f requests a second with a limit of %v, want at least 0.8 of it", used, c.limit)
			}
		})
	}
}

// Guards against exceeding the limit, or leaving it unused, when the granting daemon fails and
// restarts.
func TestRateAfterGranterFailure(t *testing.T) {
	n := newNetwork(7, 5, 1)
	sent := n.simulate(6*spanrill.Second, 6)
	n.daemons[0].down = true
	failed := n.simulate(6*spanrill.Second, 6)
	n.daemons[0] = n.newMember("0")
	n.daemons[0].granters = []int{0, 1}
	restarted := n.simulate(6*spanrill.Second, 6)
	all := append(append(sent, failed...), restarted...)
	if got := maxInWindow(all); got > allowedInWindow(5) {
		t.Errorf("%d requests in a window, want at most %d", got, allowedInWindow(5))
	}
	for _, part := range [][]spanrill.Millis{sent, failed, restarted} {
		if used := float64(len(part)) / 6; used < 0.7*5 {
			t.Errorf("%.2f requests a second with a limit of 5, want at least 0.7 of it", used)
		}
	}
}

// Guards against exceeding the limit when two daemons grant permits, because the preferred one
// answers only some permit requests in time.
func TestRateWithASlowGranter(t *testing.T) {
	for _, c := range []struct {
		limit, unanswered float64
	}{{0, 0.5}, {0.5, 0.5}, {2.5, 0.5}, {20, 0.2}, {20, 0.5}, {20, 0.8}, {200, 0.5}} {
		t.Run(fmt.Sprintf("%v a second, %v not answered", c.limit, c.unanswered), func(t *testing.T) {
			n := newNetwork(7, c.limit, 1)
			n.daemons[0].unanswered = c.unanswered
			sent := n.simulate(20*spanrill.Second, 100)
			if got := maxInWindow(sent); got > allowedInWindow(c.limit) {
				t.Errorf("%d requests in a window, want at most %d", got, allowedInWindow(c.limit))
			}
		})
	}
}

// Guards against keeping a removed limit on a daemon that has had no answer from the upstream
// since the removal.
func TestPermitCarriesLimitRemoval(t *testing.T) {
	n := newNetwork(2, 0.5, 1)
	asker, granter := n.daemons[1], n.daemons[0]
	n.clock.Advance(1000)
	granter.table.HandleNotice("1:1", spanrill.Notice{}, n.clock.Now())
	if err := asker.limiter.Permit(context.Background(), asker.upstream()); err != nil {
		t.Fatal(err)
	}
	if asker.upstream().Limit().Set {
		t.Error("the asking daemon still has the limit after the granting one answered without it")
	}
}

// Guards against older or invalid messages that replace a newer limit.
func TestMergeLimits(t *testing.T) {
	message := func(age spanrill.Millis, perSecond float64) peermsg.UpstreamLimit {
		return peermsg.UpstreamLimit{Upstream: fleet.KeyOf(upstreamID), Set: true, PerSecond: perSecond, Age: age}
	}
	for _, c := range []struct {
		name string
		news peermsg.UpstreamLimit
		want float64
	}{
		{"older", message(2000, 9), 3},
		{"newer", message(500, 9), 9},
		{"negative age", message(-1, 9), 3},
		{"negative rate", message(500, -1), 3},
		{"another upstream", peermsg.UpstreamLimit{Upstream: 1, Set: true, PerSecond: 9, Age: 500}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(1, 3, 1)
			m := n.daemons[0]
			n.clock.Advance(1000)
			MergeLimits(m.table, []peermsg.UpstreamLimit{c.news}, n.clock.Now())
			if got := m.upstream().Limit().PerSecond; got != c.want {
				t.Errorf("limit %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against daemons that learn of a limit, or of its removal, only from the upstream.
func TestChangedLimitsReachOtherDaemon(t *testing.T) {
	n := newNetwork(1, 3, 1)
	from, to := n.daemons[0], n.newMember("new")
	exchange := func() {
		n.clock.Advance(100)
		MergeLimits(to.table, LimitsIfChanged(from.table, n.clock, to.table.LimitsDigest()), n.clock.Now())
	}
	exchange()
	if got := to.upstream().Limit().PerSecond; got != 3 {
		t.Errorf("limit %v, want 3", got)
	}
	if news := LimitsIfChanged(from.table, n.clock, to.table.LimitsDigest()); news != nil {
		t.Errorf("limits %v were sent to a daemon with the same digest, want none", news)
	}
	from.table.HandleNotice("1:1", spanrill.Notice{}, n.clock.Now())
	exchange()
	if to.upstream().Limit().Set {
		t.Error("the receiving daemon still has the limit after the removal was sent")
	}
}
