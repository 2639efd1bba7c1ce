// Package observe keeps the load table up to date: it reads the box list and
// asks upstreams for their reports.
//
// Each upstream is asked by a few daemons only, which tell the others. Which
// daemons those are follows from the names of the daemons alive.
//
// # Usage
//
//	o := observe.New(boxes, engines, services, table, clock, observe.WithShare(share))
//	err := o.Run(ctx)
package observe

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/state/load"
	"spanrill/task"
)

// Share says which upstreams this daemon observes, and who else is told.
type Share interface {
	// Mine reports whether this daemon observes the upstream.
	Mine(upstream string) bool
	// TellReports passes reports on to the other daemons.
	TellReports(reports []spanrill.UpstreamStatus)
}

// alone is the share of a daemon without peers.
type alone struct{}

// Mine returns true.
func (alone) Mine(string) bool { return true }

// TellReports does nothing.
func (alone) TellReports([]spanrill.UpstreamStatus) {}

// Observer keeps the load table up to date.
type Observer struct {
	boxes    spanrill.BoxLister
	engines  spanrill.Engines
	services spanrill.Services
	table    *load.Table
	clock    spanrill.Clock
	log      logrus.FieldLogger
	share    Share
	onBoxes  func([]spanrill.Box)
	fallback spanrill.BoxLister
	listGap  spanrill.Millis
	askGap   spanrill.Millis
	suspects chan string // zones to ask at once
	seen     chan struct{}
	once     sync.Once
	misses   sync.Map // upstream name to *atomic.Int64, reports missed in a row
}

// Option changes a default of New.
type Option func(*Observer)

// WithLogger sets where events go.
func WithLogger(log logrus.FieldLogger) Option {
	return func(o *Observer) { o.log = log }
}

// WithShare sets which upstreams this daemon observes.
func WithShare(s Share) Option {
	return func(o *Observer) { o.share = s }
}

// WithOnBoxes sets what is called with each box list.
func WithOnBoxes(f func([]spanrill.Box)) Option {
	return func(o *Observer) { o.onBoxes = f }
}

// WithFallback sets where the first box list comes from while the platform
// does not give one.
func WithFallback(b spanrill.BoxLister) Option {
	return func(o *Observer) { o.fallback = b }
}

// WithGaps sets the pauses between two box lists and between two reports.
func WithGaps(list, ask spanrill.Millis) Option {
	return func(o *Observer) { o.listGap, o.askGap = list, ask }
}

const (
	defaultListGap = spanrill.Second
	defaultAskGap  = 500 * spanrill.Millis(1)
	askTimeout     = 400 * spanrill.Millis(1)
	askAtOnce      = 32
)

// New returns an observer that observes everything.
func New(boxes spanrill.BoxLister, engines spanrill.Engines, services spanrill.Services, table *load.Table, clock spanrill.Clock, opts ...Option) *Observer {
	o := &Observer{
		boxes: boxes, engines: engines, services: services, table: table, clock: clock,
		log: logrus.StandardLogger(), share: alone{}, onBoxes: func([]spanrill.Box) {},
		listGap: defaultListGap, askGap: defaultAskGap, seen: make(chan struct{}), suspects: make(chan string, 1),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Seen returns a channel that is closed once a box list was read and its
// upstreams were asked.
func (o *Observer) Seen() <-chan struct{} { return o.seen }

// Run observes until the context ends.
func (o *Observer) Run(ctx context.Context) error {
	var tasks task.Group
	listed := make(chan struct{}, 1)
	tasks.Start(ctx, "box list", func(ctx context.Context) error { return o.list(ctx, listed) })
	tasks.Start(ctx, "recheck", o.recheck)
	tasks.Start(ctx, "reports", func(ctx context.Context) error { return o.reports(ctx, listed) })
	return tasks.Wait()
}

func (o *Observer) list(ctx context.Context, listed chan<- struct{}) error {
	first := true
	for ctx.Err() == nil {
		boxes, err := o.boxes.Boxes(ctx)
		if err != nil && first && o.fallback != nil {
			boxes, err = o.fallback.Boxes(ctx)
		}
		if err == nil {
			first = false
			o.table.SetBoxes(boxes)
			o.onBoxes(boxes)
			select {
			case listed <- struct{}{}:
			default:
			}
		}
		o.pause(ctx, o.listGap)
	}
	return ctx.Err()
}

func (o *Observer) pause(ctx context.Context, d spanrill.Millis) {
	select {
	case <-ctx.Done():
	case <-o.clock.After(d):
	}
}

func (o *Observer) reports(ctx context.Context, listed <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-listed:
	}
	for ctx.Err() == nil {
		o.share.TellReports(o.askShare(ctx))
		o.once.Do(func() { close(o.seen) })
		o.pause(ctx, o.askGap)
	}
	return ctx.Err()
}

// askShare asks every upstream of this daemon's share.
func (o *Observer) askShare(ctx context.Context) []spanrill.UpstreamStatus {
	now := o.clock.Now()
	return o.askAll(ctx, func(u *load.Upstream) bool {
		return o.share.Mine(u.Name()) || u.ReportAge(now) >= lateReport
	})
}

// askAll asks the upstreams that match, a few at a time, and hands their
// reports to the table.
func (o *Observer) askAll(ctx context.Context, match func(*load.Upstream) bool) []spanrill.UpstreamStatus {
	var mu sync.Mutex
	var reports []spanrill.UpstreamStatus
	var tasks task.Group
	room := make(chan struct{}, askAtOnce)
	for _, u := range o.table.Upstreams() {
		if !match(u) {
			continue
		}
		room <- struct{}{}
		tasks.Start(ctx, "report", func(ctx context.Context) error {
			defer func() { <-room }()
			if s, ok := o.ask(ctx, u); ok {
				mu.Lock()
				defer mu.Unlock()
				reports = append(reports, s)
			}
			return nil
		})
	}
	_ = tasks.Wait()
	o.report(reports)
	return reports
}

func (o *Observer) report(statuses []spanrill.UpstreamStatus) {
	reports := make([]load.Report, len(statuses))
	for i, s := range statuses {
		reports[i] = load.Report{Name: s.Name, Status: s, Age: s.AgeMillis}
	}
	o.table.ReportAll(reports)
}

// Suspect makes the observer ask all upstreams of an availability zone at once,
// after one of them has failed: what fails in a zone often fails together, and
// each request that finds it out costs a retry.
func (o *Observer) Suspect(zone string) {
	select {
	case o.suspects <- zone:
	default:
	}
}

// recheck asks the upstreams of suspected zones. One that cannot be reached is
// ejected at once.
func (o *Observer) recheck(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case zone := <-o.suspects:
			now := o.clock.Now()
			o.askAll(ctx, func(u *load.Upstream) bool { return u.Zone() == zone && !u.Ejected(now) })
			o.pause(ctx, recheckGap)
		}
	}
}

// recheckGap is the pause between two checks of suspected zones.
const recheckGap = 250 * spanrill.Millis(1)

// lateReport is how old a report may get before a daemon asks an upstream that
// others should have asked.
const lateReport = 3 * spanrill.Second

// maxMisses is how many reports in a row an upstream may miss before it is
// ejected.
const maxMisses = 2

func (o *Observer) ask(ctx context.Context, u *load.Upstream) (spanrill.UpstreamStatus, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	status := o.engines.Status
	if u.Service() != "" {
		status = o.services.Status
	}
	s, err := status(ctx, u.Addr())
	if err != nil {
		o.missed(u, err)
		return s, false
	}
	o.misses.Delete(u.Name())
	s.Name = u.Name()
	return s, true
}

// unreachable reports whether no connection could be made.
func unreachable(err error) bool {
	var call *spanrill.CallError
	return errors.As(err, &call) && call.Phase == spanrill.PhaseDial
}

// missed ejects an upstream that does not answer.
func (o *Observer) missed(u *load.Upstream, err error) {
	v, _ := o.misses.LoadOrStore(u.Name(), new(atomic.Int64))
	n := v.(*atomic.Int64).Add(1) // two questions to one upstream may be under way
	if (n >= maxMisses || unreachable(err)) && u.RecordFailure(o.clock.Now()) {
		events.UpstreamEjected.Log(o.log, logrus.Fields{"upstream": u.Name(), "cause": err})
	}
}
