package reach

import (
	"cmp"
	"context"
	"fmt"
	"net"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/transport/tunnel"
)

const (
	// maxAsked is the number of helpers that are asked for one connection.
	maxAsked = 32
	// maxAskedAtOnce is the number of helpers that are asked at a time. It grows from one with each helper
	// that cannot help or is late, since a second one that can opens a connection in vain.
	maxAskedAtOnce = 4
	// wantHelpers is the number of known helpers from which on no others are looked for.
	wantHelpers = 4
	// exploreInterval is the shortest pause between two connections of a service for which another helper
	// is asked besides a known one.
	exploreInterval spanrill.Millis = 100
)

// errNoHelp means that no helper has tried to connect to the upstream.
var errNoHelp = errors.New("no other daemon helps")

// isNoHelp reports whether an error means that no helper has tried.
func isNoHelp(err error) bool { return errors.Is(err, errNoHelp) }

// search looks for a helper that connects this daemon to an upstream. First come daemons that are known
// to reach the upstreams of the service, which others may tell of meanwhile, then the others. The number
// of those is limited.
type search struct {
	dialer        *Dialer
	service, addr string
	beganAt       spanrill.Millis
	asked         map[string]bool
	isListed      bool              // whether unknown is set
	unknown       []spanrill.Helper // not asked yet, see knownHelpers.order
	atOnce        int
	running       int
	denied        int
	attempts      []*attempt
	finished      chan *attempt
	// Errors of helpers that could not, or must not, connect, and whether one had no room.
	told, withheld error
	isFull         bool
}

func (d *Dialer) newSearch(service, addr string) *search {
	return &search{dialer: d, service: service, addr: addr, beganAt: d.clock.Now(), asked: map[string]bool{}, atOnce: 1, finished: make(chan *attempt, maxAsked)}
}

// dialThroughHelper connects through a helper. Others are asked when one fails or takes longer than
// usual. The error wraps spanrill.ErrNoPath if no helper has tried to connect to the upstream, and
// spanrill.ErrHelpersFull as well if one had no room.
func (d *Dialer) dialThroughHelper(ctx context.Context, service, addr string) (net.Conn, error) {
	s := d.newSearch(service, addr)
	s.start(ctx)
	for s.running > 0 {
		select {
		case a := <-s.finished:
			s.running--
			if a.err == nil {
				s.discardOthers(a)
				return a.conn, nil
			}
			s.recordFailure(a.err)
		case <-d.clock.After(d.helpTime.bound(d.timeout)):
			// Helpers that wait for a silent upstream are late as well.
			s.atOnce = min(maxAskedAtOnce, s.running+1)
		case <-ctx.Done():
			s.discardOthers(nil)
			return nil, fmt.Errorf("connect through other daemons: %w", ctx.Err())
		}
		s.askMore(ctx)
	}
	return nil, s.failure(ctx)
}

// start asks the first helpers: one, and an unknown one as well if few are known.
func (s *search) start(ctx context.Context) {
	d := s.dialer
	s.askMore(ctx)
	if known := d.known.countReaching(s.service); known == 0 || known >= wantHelpers || !d.known.takeExploration(s.service) {
		return
	}
	if h, ok := s.nextUnknown(searchReserve); ok {
		s.ask(ctx, h)
	}
}

// askMore asks as many helpers as may be asked at once, unless one has told of the upstream.
func (s *search) askMore(ctx context.Context) {
	for s.told == nil && s.running < s.atOnce && len(s.asked) < maxAsked {
		h, ok := s.next()
		if !ok {
			return
		}
		s.ask(ctx, h)
	}
}

// next returns the next helper to ask.
func (s *search) next() (spanrill.Helper, bool) {
	if h, ok := s.dialer.known.pickReaching(s.service, func(name string) bool { return s.asked[name] }); ok {
		return h, true
	}
	return s.nextUnknown(0)
}

// nextUnknown returns a helper of which it is not known whether it reaches the service, if more such
// helpers than reserve may be asked.
func (s *search) nextUnknown(reserve float64) (spanrill.Helper, bool) {
	if !s.dialer.asks.has() {
		return spanrill.Helper{}, false
	}
	if !s.isListed {
		s.unknown, s.isListed = s.dialer.known.order(s.service, s.dialer.helpers(s.service)), true
	}
	for len(s.unknown) > 0 && s.asked[s.unknown[0].Name] {
		s.unknown = s.unknown[1:]
	}
	if len(s.unknown) == 0 || !s.dialer.asks.takeAbove(reserve) {
		return spanrill.Helper{}, false
	}
	h := s.unknown[0]
	s.unknown = s.unknown[1:]
	return h, true
}

// ask starts to connect through a helper.
func (s *search) ask(ctx context.Context, h spanrill.Helper) {
	s.asked[h.Name] = true
	s.running++
	a := s.dialer.startTunnel(ctx, s.service, h, s.addr)
	s.attempts = append(s.attempts, a)
	s.dialer.tasks.Start(context.WithoutCancel(ctx), "await tunnel", func(context.Context) error {
		<-a.done
		s.finished <- a
		return nil
	})
}

// recordFailure records why a helper did not connect.
func (s *search) recordFailure(err error) {
	s.denied++
	s.atOnce = min(maxAskedAtOnce, 1+s.denied)
	switch {
	case isUpstreamFault(err):
		s.told = err
	case errors.Is(err, spanrill.ErrWithheld):
		s.withheld = err
	case reasonOf(err) == tunnel.ReasonFull:
		s.isFull = true
	}
}

// discardOthers closes the connections of all attempts but one.
func (s *search) discardOthers(used *attempt) {
	for _, a := range s.attempts {
		if a != used {
			s.dialer.discard(a)
		}
	}
}

// failure returns the error of a search that found no helper.
func (s *search) failure(ctx context.Context) error {
	if err := cmp.Or(s.told, s.withheld); err != nil {
		return err
	}
	d := s.dialer
	isFull := s.isFull || d.known.isAnyFull(s.service)
	d.helpLog.Log(events.NoHelperFound, d.log, func() logrus.Fields {
		return logrus.Fields{
			"service": s.service, "addr": s.addr, "request": requestOf(ctx), "asked": len(s.asked), "not_asked": len(s.unknown),
			"known": d.known.countReaching(s.service), "full": isFull, "took_ms": d.clock.Now() - s.beganAt,
		}
	})
	if isFull {
		return fmt.Errorf("%w: %w: %w, %d asked", spanrill.ErrNoPath, spanrill.ErrHelpersFull, errNoHelp, len(s.asked))
	}
	return fmt.Errorf("%w: %w, %d asked", spanrill.ErrNoPath, errNoHelp, len(s.asked))
}
