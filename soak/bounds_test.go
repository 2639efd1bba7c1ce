package soak

import (
	"fmt"
	"testing"
	"time"

	"spanrill/platform/platformtest"
)

// day builds traffic: times are seconds since its begin.
type day struct {
	traffic
	begin time.Time
	on    *process
}

func newDay() *day {
	d := &day{begin: time.Unix(1000, 0), on: &process{name: "daemon-0"}}
	d.requests = map[string]seen{}
	d.excused = func(*process, string, time.Time, time.Time) bool { return false }
	return d
}

func (d *day) at(second float64) time.Time {
	return d.begin.Add(time.Duration(second * float64(time.Second)))
}

// send has a caller send a request, which is answered by an upstream 10 ms later.
func (d *day) send(second float64) (id string) {
	id = fmt.Sprint("r", len(d.requests))
	d.requests[id] = seen{id: id, path: platformtest.SafePath, daemon: d.on, sent: d.at(second), reply: platformtest.Reply{Status: 200, Signed: true, Elapsed: 10 * time.Millisecond}}
	return id
}

func (d *day) arrive(id, upstream string, second float64) *platformtest.Arrival {
	d.arrivals = append(d.arrivals, platformtest.Arrival{Upstream: upstream, Service: platformtest.PlainService, ID: id, At: d.at(second), Answered: d.at(second)})
	return &d.arrivals[len(d.arrivals)-1]
}

func TestRests(t *testing.T) {
	for _, c := range []struct {
		name   string
		later  []float64 // requests behind an answer of second 0 that asks for 3 s
		to     string
		excuse bool
		want   int
	}{
		{"two within the rest", []float64{0.6, 2.9}, "u", false, 0},
		{"three within the rest", []float64{0.6, 1, 2.9}, "u", false, 1},
		{"three, one of them on its way", []float64{0.4, 0.6, 1}, "u", false, 0},
		{"three, one of them behind its end", []float64{0.6, 1, 3.1}, "u", false, 0},
		{"three at another upstream", []float64{0.6, 1, 2}, "v", false, 0},
		{"three from a daemon that started again", []float64{0.6, 1, 2}, "u", true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDay()
			d.excused = func(*process, string, time.Time, time.Time) bool { return c.excuse }
			d.arrive(d.send(0), "u", 0).Rest = 3 * time.Second
			for _, at := range c.later {
				d.arrive(d.send(at), c.to, at)
			}
			if found := d.rests(); len(found) != c.want {
				t.Errorf("%d breaches, want %d: %+v", len(found), c.want, found)
			}
		})
	}
	t.Run("three from as many daemons", func(t *testing.T) {
		d := newDay()
		d.arrive(d.send(0), "u", 0).Rest = 3 * time.Second
		for i := range 3 {
			d.on = &process{name: fmt.Sprint("other-", i)}
			d.arrive(d.send(1), "u", 1)
		}
		if found := d.rests(); len(found) != 0 {
			t.Errorf("nobody asked these for rest: %+v", found)
		}
	})
}

func TestLeaves(t *testing.T) {
	for _, c := range []struct {
		name   string
		sent   float64 // behind an answer of second 0 that says that the upstream leaves
		cut    bool    // that answer did not come whole
		excuse bool
		want   int
	}{
		{"sent within the time of drain", 1.9, false, false, 0},
		{"sent later", 2.1, false, false, 1},
		{"sent later, and the word was not passed on", 2.1, true, false, 0},
		{"sent later by a daemon that started again", 2.1, false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDay()
			d.excused = func(*process, string, time.Time, time.Time) bool { return c.excuse }
			first := d.send(0)
			if c.cut {
				s := d.requests[first]
				s.reply.Status, s.reply.Signed = 0, false
				d.requests[first] = s
			}
			d.arrive(first, "u", 0).Leaving = true
			d.arrive(d.send(c.sent), "u", c.sent+0.1)
			if found := d.leaves(); len(found) != c.want {
				t.Errorf("%d breaches, want %d: %+v", len(found), c.want, found)
			}
		})
	}
}

func TestBudget(t *testing.T) {
	for _, c := range []struct {
		name              string
		requests, repeats int
		behind            float64 // the requests, by seconds
		want              int
	}{
		{"as many as are allowed", 1000, 400, 0, 0},
		{"one more", 1000, 401, 0, 1},
		{"requests of the window before", 1000, 400, 9, 0},
		{"requests of long ago", 1000, 400, 30, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDay()
			for i := range c.requests {
				d.arrive(d.send(float64(i)*0.001), "u", 0)
			}
			for i := range c.repeats {
				d.arrive(fmt.Sprint("r", i), "v", c.behind+1)
			}
			if found := d.budget(); len(found) != c.want {
				t.Errorf("%d breaches, want %d: %+v", len(found), c.want, found)
			}
		})
	}
}

// Guards against a limit check that misses violations or reports permitted requests.
func TestLimits(t *testing.T) {
	for _, c := range []struct {
		name    string
		gap     float64 // seconds between two requests
		until   float64 // second at which requests end
		excuse  bool
		removed float64 // second from which answers carry no limit, 0 for never
		want    int
	}{
		{"as many as allowed", 0.21, 12, false, 0, 0},
		{"more than allowed", 0.15, 12, false, 0, 1},
		{"more than allowed, before the limit is enforced", 0.15, 2.9, false, 0, 0},
		{"more than allowed, from a restarted daemon", 0.15, 12, true, 0, 0},
		{"more than allowed, after the limit is removed", 0.15, 12, false, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDay()
			d.excused = func(*process, string, time.Time, time.Time) bool { return c.excuse }
			for at := 0.0; at < c.until; at += c.gap {
				if a := d.arrive(d.send(at), "u", at); c.removed == 0 || at < c.removed {
					a.Limit = "2.5"
				}
			}
			if found := d.limits(); len(found) != c.want {
				t.Errorf("%d breaches, want %d: %+v", len(found), c.want, found)
			}
		})
	}
}
