package soak

import (
	"fmt"
	"testing"
	"time"

	"spanrill/platform/platformtest"
)

// trafficBuilder builds traffic. Its methods take times as seconds after start.
type trafficBuilder struct {
	traffic
	start  time.Time
	daemon *process
}

func newTrafficBuilder() *trafficBuilder {
	b := &trafficBuilder{start: time.Unix(1000, 0), daemon: &process{name: "daemon-0"}}
	b.requests = map[string]callRecord{}
	b.isExempt = func(*process, string, time.Time, time.Time) bool { return false }
	return b
}

func (b *trafficBuilder) at(second float64) time.Time {
	return b.start.Add(time.Duration(second * float64(time.Second)))
}

// send adds a request of a caller that is answered 10 ms later.
func (b *trafficBuilder) send(second float64) (id string) {
	id = fmt.Sprint("r", len(b.requests))
	b.requests[id] = callRecord{id: id, path: platformtest.SafePath, daemon: b.daemon, sent: b.at(second), reply: platformtest.Reply{Status: 200, Signed: true, Elapsed: 10 * time.Millisecond}}
	return id
}

// arrive adds the arrival of a request that the upstream answers at once. The result is for setting
// what the answer announces.
func (b *trafficBuilder) arrive(id, upstream string, second float64) *platformtest.Arrival {
	b.arrivals = append(b.arrivals, platformtest.Arrival{Upstream: upstream, Service: platformtest.PlainService, ID: id, At: b.at(second), Answered: b.at(second)})
	return &b.arrivals[len(b.arrivals)-1]
}

func TestRestViolations(t *testing.T) {
	for _, c := range []struct {
		name     string
		later    []float64 // times of requests after an answer at second 0 that asks for a rest of 3 s
		upstream string
		exempt   bool
		want     int
	}{
		{"two within the rest", []float64{0.6, 2.9}, "u", false, 0},
		{"three within the rest", []float64{0.6, 1, 2.9}, "u", false, 1},
		{"three, one of them in transit", []float64{0.4, 0.6, 1}, "u", false, 0},
		{"three, one of them after the rest", []float64{0.6, 1, 3.1}, "u", false, 0},
		{"three at another upstream", []float64{0.6, 1, 2}, "v", false, 0},
		{"three from a restarted daemon", []float64{0.6, 1, 2}, "u", true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTrafficBuilder()
			b.isExempt = func(*process, string, time.Time, time.Time) bool { return c.exempt }
			b.arrive(b.send(0), "u", 0).Rest = 3 * time.Second
			for _, at := range c.later {
				b.arrive(b.send(at), c.upstream, at)
			}
			if found := b.restViolations(); len(found) != c.want {
				t.Errorf("found %d violations, want %d: %+v", len(found), c.want, found)
			}
		})
	}
	t.Run("three from different daemons", func(t *testing.T) {
		b := newTrafficBuilder()
		b.arrive(b.send(0), "u", 0).Rest = 3 * time.Second
		for i := range 3 {
			b.daemon = &process{name: fmt.Sprint("other-", i)}
			b.arrive(b.send(1), "u", 1)
		}
		if found := b.restViolations(); len(found) != 0 {
			t.Errorf("daemons that sent one request each within the rest are reported: %+v", found)
		}
	})
}

func TestLeavingViolations(t *testing.T) {
	for _, c := range []struct {
		name   string
		sent   float64 // time after an answer at second 0 that announces that the upstream leaves
		lost   bool    // whether the caller did not receive that answer
		exempt bool
		want   int
	}{
		{"sent within drainTime", 1.9, false, false, 0},
		{"sent later", 2.1, false, false, 1},
		{"sent later, announcement not passed on", 2.1, true, false, 0},
		{"sent later by a restarted daemon", 2.1, false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTrafficBuilder()
			b.isExempt = func(*process, string, time.Time, time.Time) bool { return c.exempt }
			announcement := b.send(0)
			if c.lost {
				s := b.requests[announcement]
				s.reply.Status, s.reply.Signed = 0, false
				b.requests[announcement] = s
			}
			b.arrive(announcement, "u", 0).Leaving = true
			b.arrive(b.send(c.sent), "u", c.sent+0.1)
			if found := b.leavingViolations(); len(found) != c.want {
				t.Errorf("found %d violations, want %d: %+v", len(found), c.want, found)
			}
		})
	}
}

func TestRetryBudgetViolations(t *testing.T) {
	for _, c := range []struct {
		name              string
		requests, retries int
		delay             float64 // seconds from the end of the requests, at second 1, to the retries
		want              int
	}{
		{"as many retries as allowed", 1000, 400, 0, 0},
		{"one retry more than allowed", 1000, 401, 0, 1},
		{"requests of the previous window are counted", 1000, 400, 9, 0},
		{"requests of earlier windows are not counted", 1000, 400, 30, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTrafficBuilder()
			for i := range c.requests {
				b.arrive(b.send(float64(i)*0.001), "u", 0)
			}
			for i := range c.retries {
				b.arrive(fmt.Sprint("r", i), "v", c.delay+1)
			}
			if found := b.retryBudgetViolations(); len(found) != c.want {
				t.Errorf("found %d violations, want %d: %+v", len(found), c.want, found)
			}
		})
	}
}

// Guards against a limit check that misses violations or reports permitted requests.
func TestRateLimitViolations(t *testing.T) {
	for _, c := range []struct {
		name    string
		gap     float64 // seconds between two requests
		until   float64 // second at which requests end
		exempt  bool
		removed float64 // second from which answers carry no limit, 0 for never
		want    int
	}{
		{"as many requests as allowed", 0.21, 12, false, 0, 0},
		{"more than allowed", 0.15, 12, false, 0, 1},
		{"more than allowed, before the limit is enforced", 0.15, 2.9, false, 0, 0},
		{"more than allowed, from a restarted daemon", 0.15, 12, true, 0, 0},
		{"more than allowed, after the limit is removed", 0.15, 12, false, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTrafficBuilder()
			b.isExempt = func(*process, string, time.Time, time.Time) bool { return c.exempt }
			for at := 0.0; at < c.until; at += c.gap {
				if a := b.arrive(b.send(at), "u", at); c.removed == 0 || at < c.removed {
					a.Limit = "2.5"
				}
			}
			if found := b.rateLimitViolations(); len(found) != c.want {
				t.Errorf("found %d violations, want %d: %+v", len(found), c.want, found)
			}
		})
	}
}
