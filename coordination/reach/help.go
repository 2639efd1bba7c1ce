package reach

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/transport/tunnel"
)

// TunnelFunc connects to the upstream at an address through a helper, and returns how many tunnels the
// helper has open. Request is the id of the request that needs the connection, or "".
type TunnelFunc func(ctx context.Context, helper spanrill.Helper, addr, request string) (conn net.Conn, open int, err error)

type requestKey struct{}

// WithRequest returns a context whose connections are for the request with that id. A helper does not
// connect requests to upstreams that want none from it.
func WithRequest(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestKey{}, id)
}

func requestOf(ctx context.Context) string {
	id, _ := ctx.Value(requestKey{}).(string)
	return id
}

// helpState holds what this daemon knows about helpers, by name.
type helpState struct {
	mu         sync.Mutex
	load       map[string]int             // tunnels that the helper had open when it last opened one
	opening    map[string]int             // tunnels that are being opened
	avoidUntil map[string]spanrill.Millis // it has said that it cannot help until then
	lateUntil  map[string]spanrill.Millis // it did not answer, and others are preferred until then
}

func newHelpState() *helpState {
	return &helpState{load: map[string]int{}, opening: map[string]int{}, avoidUntil: map[string]spanrill.Millis{}, lateUntil: map[string]spanrill.Millis{}}
}

// addOpening changes the number of tunnels that are being opened through a helper.
func (s *helpState) addOpening(helper string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opening[helper] += n; s.opening[helper] == 0 {
		delete(s.opening, helper)
	}
}

const (
	// maxHelpers is the number of helpers that are asked for one connection.
	maxHelpers = 3
	// avoidTime is how long a helper that cannot help is not asked, and one that did not answer is asked
	// last: a few checks of its own path.
	avoidTime = 2 * checkInterval
	// lateLoad is the number of tunnels that count for a helper that did not answer.
	lateLoad = 1000
	// otherZoneLoad is the number of tunnels by which a helper in this daemon's availability zone may
	// be more loaded than another before that is asked first.
	otherZoneLoad = 4
)

// errNoHelp means that no helper has tried to connect to the upstream.
var errNoHelp = errors.New("no other daemon helps")

// isNoHelp reports whether an error means that no helper has tried.
func isNoHelp(err error) bool { return errors.Is(err, errNoHelp) }

// scoredHelper is a helper with the load by which it is chosen.
type scoredHelper struct {
	spanrill.Helper
	score float64
}

// maxKnownHelpers is the number of helpers above which what is known about those that are gone is
// dropped. Daemons have another name after each start.
const maxKnownHelpers = 1024

// forgetOthers drops what is known about helpers that are not in the list, if it has become much. The
// caller holds the lock.
func (s *helpState) forgetOthers(listed []scoredHelper) {
	if len(s.load)+len(s.avoidUntil)+len(s.lateUntil) <= maxKnownHelpers {
		return
	}
	load := make(map[string]int, len(listed))
	for _, h := range listed {
		load[h.Name] = s.load[h.Name]
	}
	s.load = load
	clear(s.avoidUntil)
	clear(s.lateUntil)
}

// candidates returns the helpers to ask, the preferred one first.
func (d *Dialer) candidates(service string) []spanrill.Helper {
	d.help.mu.Lock()
	defer d.help.mu.Unlock()
	now := d.clock.Now()
	var all []scoredHelper
	for _, h := range d.helpers(service) {
		if now < d.help.avoidUntil[h.Name] {
			continue
		}
		score := float64(d.help.load[h.Name]+d.help.opening[h.Name]) + d.random.Float64()
		if h.Zone != d.zone {
			score += otherZoneLoad
		}
		if now < d.help.lateUntil[h.Name] {
			score += lateLoad
		}
		all = append(all, scoredHelper{h, score})
	}
	d.help.forgetOthers(all)
	slices.SortFunc(all, func(a, b scoredHelper) int { return cmp.Compare(a.score, b.score) })
	helpers := make([]spanrill.Helper, 0, maxHelpers)
	for _, s := range all[:min(maxHelpers, len(all))] {
		helpers = append(helpers, s.Helper)
	}
	return helpers
}

// dialThroughHelper connects through one of the helpers. The next one is also asked when one fails or
// takes longer than usual. The error wraps spanrill.ErrNoPath if no helper has tried to connect to the
// upstream.
func (d *Dialer) dialThroughHelper(ctx context.Context, service, addr string) (net.Conn, error) {
	helpers := d.candidates(service)
	var attempts []*attempt
	finished := make(chan *attempt, maxHelpers)
	ask := func() {
		a := d.startTunnel(ctx, service, helpers[len(attempts)], addr)
		attempts = append(attempts, a)
		d.tasks.Start(context.WithoutCancel(ctx), "await tunnel", func(context.Context) error {
			<-a.done
			finished <- a
			return nil
		})
	}
	var told, withheld error // the errors of helpers that could not, or must not, connect
	for running := 0; ; {
		if running == 0 {
			if len(attempts) == len(helpers) || told != nil {
				break
			}
			ask()
			running++
		}
		select {
		case a := <-finished:
			running--
			if a.err == nil {
				d.discardOthers(attempts, a)
				return a.conn, nil
			}
			switch {
			case isUpstreamFault(a.err):
				told = a.err
			case errors.Is(a.err, spanrill.ErrWithheld):
				withheld = a.err
			}
		case <-d.clock.After(d.helpTime.bound(d.timeout)):
			if len(attempts) < len(helpers) {
				ask()
				running++
			}
		case <-ctx.Done():
			d.discardOthers(attempts, nil)
			return nil, fmt.Errorf("connect through other daemons: %w", ctx.Err())
		}
	}
	if err := cmp.Or(told, withheld); err != nil {
		return nil, err
	}
	d.helpLog.Log(events.NoHelperFound, d.log, func() logrus.Fields {
		return logrus.Fields{"service": service, "addr": addr, "request": requestOf(ctx), "asked": len(attempts), "listed": len(d.helpers(service))}
	})
	return nil, fmt.Errorf("%w: %w, %d asked", spanrill.ErrNoPath, errNoHelp, len(attempts))
}

// discardOthers closes the connections of all attempts but one.
func (d *Dialer) discardOthers(attempts []*attempt, used *attempt) {
	for _, a := range attempts {
		if a != used {
			d.discard(a)
		}
	}
}

// startTunnel starts to connect through a helper.
func (d *Dialer) startTunnel(ctx context.Context, service string, h spanrill.Helper, addr string) *attempt {
	request, startedAt := requestOf(ctx), d.clock.Now()
	d.help.addOpening(h.Name, 1)
	return d.start(ctx, "tunnel", func(ctx context.Context) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, d.timeout.Duration())
		defer cancel()
		defer d.help.addOpening(h.Name, -1)
		conn, open, err := d.tunnel(ctx, h, addr, request)
		if err != nil {
			d.recordNotHelped(h, addr, request, err)
			return nil, err
		}
		d.helpTime.record(d.clock.Now() - startedAt)
		d.meters.HelpedConnections.Inc()
		d.paths.recordHelped(service, h.Name, addr)
		d.help.mu.Lock()
		d.help.load[h.Name] = open
		d.help.mu.Unlock()
		d.helpLog.Log(events.TunnelUsed, d.log, func() logrus.Fields {
			f := logrus.Fields{"helper": h.Name, "addr": addr, "service": service, "request": request, "open": open}
			if since, lost := d.paths.lostSince(service, addr); lost {
				f["lost_ms"] = d.clock.Now() - since
			}
			return f
		})
		return conn, nil
	})
}

// recordNotHelped records that a helper did not connect. Unless the upstream is the cause, the helper
// is not asked for a while, or asked last if it has not answered.
func (d *Dialer) recordNotHelped(h spanrill.Helper, addr, request string, err error) {
	if reason := reasonOf(err); reason != 0 {
		d.meters.CountHelpDenied(reason.String())
	} else {
		d.meters.HelpFailed.Inc()
	}
	d.helpLog.Log(events.TunnelDenied, d.log, func() logrus.Fields {
		return logrus.Fields{"helper": h.Name, "addr": addr, "request": request, "error": err}
	})
	if isUpstreamFault(err) || reasonOf(err) == tunnel.ReasonUnknown || reasonOf(err) == tunnel.ReasonWithheld {
		return
	}
	d.help.mu.Lock()
	defer d.help.mu.Unlock()
	until := d.clock.Now() + avoidTime
	if reasonOf(err) == 0 {
		d.help.lateUntil[h.Name] = until
		return
	}
	d.help.avoidUntil[h.Name] = until
}

// reasonOf returns the reason that a helper gave, or 0.
func reasonOf(err error) tunnel.Reason {
	var failure *tunnel.OpenError
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return 0
}

// isUpstreamFault reports whether a helper has tried to connect to the upstream and failed.
func isUpstreamFault(err error) bool {
	reason := reasonOf(err)
	return reason == tunnel.ReasonRefused || reason == tunnel.ReasonUnreachable
}
