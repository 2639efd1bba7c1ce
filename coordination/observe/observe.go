// Package observe keeps the load table up to date: it reads the box list and polls the status of
// upstreams.
//
// Each upstream is polled by only a few daemons, which send its reports to the others. A Share
// decides which upstreams a daemon polls.
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

// Share selects the upstreams that this daemon polls, and sends their reports to other daemons.
type Share interface {
	// Includes reports whether this daemon polls the upstream.
	Includes(upstream string) bool
	// BroadcastReports sends reports to the other daemons.
	BroadcastReports(reports []spanrill.UpstreamStatus)
}

// observeAll is the share of a daemon without peers. It includes all upstreams.
type observeAll struct{}

// Includes returns true.
func (observeAll) Includes(string) bool { return true }

// BroadcastReports does nothing.
func (observeAll) BroadcastReports([]spanrill.UpstreamStatus) {}

// Observer reads box lists and upstream reports into a load table.
type Observer struct {
	boxes          spanrill.BoxLister
	engines        spanrill.Engines
	services       spanrill.Services
	table          *load.Table
	clock          spanrill.Clock
	log            logrus.FieldLogger
	share          Share
	onBoxes        func([]spanrill.Box)
	fallback       spanrill.BoxLister
	listInterval   spanrill.Millis
	reportInterval spanrill.Millis
	zonesToRecheck chan string // availability zones to poll at once
	ready          chan struct{}
	readyOnce      sync.Once
	misses         sync.Map // upstream name to *atomic.Int64, consecutive missed reports
}

// Option changes a default of New.
type Option func(*Observer)

// WithLogger sets the logger for events.
func WithLogger(log logrus.FieldLogger) Option {
	return func(o *Observer) { o.log = log }
}

// WithShare sets which upstreams this daemon polls. The default is all of them.
func WithShare(s Share) Option {
	return func(o *Observer) { o.share = s }
}

// WithOnBoxes sets the function that is called with each box list that was read.
func WithOnBoxes(f func([]spanrill.Box)) Option {
	return func(o *Observer) { o.onBoxes = f }
}

// WithFallback sets the source of box lists that is read when the platform returns an error before
// any list was read.
func WithFallback(b spanrill.BoxLister) Option {
	return func(o *Observer) { o.fallback = b }
}

// WithIntervals sets the intervals between reads of the box list and between polls of upstreams.
func WithIntervals(listInterval, reportInterval spanrill.Millis) Option {
	return func(o *Observer) { o.listInterval, o.reportInterval = listInterval, reportInterval }
}

const (
	defaultListInterval   = spanrill.Second
	defaultReportInterval = 500 * spanrill.Millis(1)
	pollTimeout           = 400 * spanrill.Millis(1)
	maxConcurrentPolls    = 32
)

// New returns an observer that polls all upstreams, unless WithShare is given.
func New(boxes spanrill.BoxLister, engines spanrill.Engines, services spanrill.Services, table *load.Table, clock spanrill.Clock, opts ...Option) *Observer {
	o := &Observer{
		boxes: boxes, engines: engines, services: services, table: table, clock: clock,
		log: logrus.StandardLogger(), share: observeAll{}, onBoxes: func([]spanrill.Box) {},
		listInterval: defaultListInterval, reportInterval: defaultReportInterval, ready: make(chan struct{}), zonesToRecheck: make(chan string, 1),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Ready returns a channel that is closed once a box list was read and its upstreams were polled.
func (o *Observer) Ready() <-chan struct{} { return o.ready }

// Run reads box lists and polls upstreams until the context ends.
func (o *Observer) Run(ctx context.Context) error {
	var tasks task.Group
	listed := make(chan struct{}, 1)
	tasks.Start(ctx, "box list", func(ctx context.Context) error { return o.runBoxList(ctx, listed) })
	tasks.Start(ctx, "recheck", o.recheck)
	tasks.Start(ctx, "reports", func(ctx context.Context) error { return o.runReports(ctx, listed) })
	return tasks.Wait()
}

func (o *Observer) runBoxList(ctx context.Context, listed chan<- struct{}) error {
	noListYet := true
	for ctx.Err() == nil {
		boxes, err := o.boxes.Boxes(ctx)
		if err != nil && noListYet && o.fallback != nil {
			boxes, err = o.fallback.Boxes(ctx)
		}
		if err == nil {
			noListYet = false
			o.table.SetBoxes(boxes)
			o.onBoxes(boxes)
			select {
			case listed <- struct{}{}:
			default:
			}
		}
		o.pause(ctx, o.listInterval)
	}
	return ctx.Err()
}

func (o *Observer) pause(ctx context.Context, d spanrill.Millis) {
	select {
	case <-ctx.Done():
	case <-o.clock.After(d):
	}
}

func (o *Observer) runReports(ctx context.Context, listed <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-listed:
	}
	for ctx.Err() == nil {
		o.share.BroadcastReports(o.pollAssigned(ctx))
		o.readyOnce.Do(func() { close(o.ready) })
		o.pause(ctx, o.reportInterval)
	}
	return ctx.Err()
}

// pollAssigned polls the upstreams of this daemon's share, and those whose reports are late.
func (o *Observer) pollAssigned(ctx context.Context) []spanrill.UpstreamStatus {
	now := o.clock.Now()
	return o.pollMatching(ctx, func(u *load.Upstream) bool {
		return o.share.Includes(u.Name()) || u.ReportAge(now) >= maxReportAge
	})
}

// pollMatching polls the matching upstreams, at most maxConcurrentPolls at a time, and stores
// their reports in the table.
func (o *Observer) pollMatching(ctx context.Context, match func(*load.Upstream) bool) []spanrill.UpstreamStatus {
	var mu sync.Mutex
	var reports []spanrill.UpstreamStatus
	var tasks task.Group
	semaphore := make(chan struct{}, maxConcurrentPolls)
	for _, u := range o.table.Upstreams() {
		if !match(u) {
			continue
		}
		semaphore <- struct{}{}
		tasks.Start(ctx, "report", func(ctx context.Context) error {
			defer func() { <-semaphore }()
			if s, ok := o.poll(ctx, u); ok {
				mu.Lock()
				defer mu.Unlock()
				reports = append(reports, s)
			}
			return nil
		})
	}
	_ = tasks.Wait()
	o.storeReports(reports)
	return reports
}

func (o *Observer) storeReports(statuses []spanrill.UpstreamStatus) {
	reports := make([]load.Report, len(statuses))
	for i, s := range statuses {
		reports[i] = load.Report{Name: s.Name, Status: s, Age: s.AgeMillis}
	}
	o.table.RecordReports(reports)
}

// RecheckZone makes the observer poll all upstreams of an availability zone at once. It is called
// after one of them has failed: upstreams of a zone often fail together, and each request that
// encounters a failed one costs a retry.
func (o *Observer) RecheckZone(zone string) {
	select {
	case o.zonesToRecheck <- zone:
	default:
	}
}

// recheck polls the upstreams of zones passed to RecheckZone. Unreachable upstreams are ejected at
// once.
func (o *Observer) recheck(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case zone := <-o.zonesToRecheck:
			now := o.clock.Now()
			o.pollMatching(ctx, func(u *load.Upstream) bool { return u.Zone() == zone && !u.Ejected(now) })
			o.pause(ctx, recheckInterval)
		}
	}
}

// recheckInterval is the minimum interval between rechecks of zones.
const recheckInterval = 250 * spanrill.Millis(1)

// maxReportAge is the age of a report at which a daemon polls an upstream outside its share.
const maxReportAge = 3 * spanrill.Second

// maxMisses is the number of consecutive missed reports at which an upstream is ejected.
const maxMisses = 2

func (o *Observer) poll(ctx context.Context, u *load.Upstream) (spanrill.UpstreamStatus, bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	getStatus := o.engines.Status
	if u.Service() != "" {
		getStatus = o.services.Status
	}
	s, err := getStatus(ctx, u.Addr())
	if err != nil {
		o.recordMiss(u, err)
		return s, false
	}
	o.misses.Delete(u.Name())
	s.Name = u.Name()
	return s, true
}

// unreachable reports whether the call failed to establish a connection.
func unreachable(err error) bool {
	var call *spanrill.CallError
	return errors.As(err, &call) && call.Phase == spanrill.PhaseDial
}

// recordMiss counts a missed report, and ejects the upstream after maxMisses of them or if it is
// unreachable.
func (o *Observer) recordMiss(u *load.Upstream, err error) {
	if errors.Is(err, spanrill.ErrNoPath) {
		return // it tells of this daemon's own path only
	}
	v, _ := o.misses.LoadOrStore(u.Name(), new(atomic.Int64))
	count := v.(*atomic.Int64).Add(1) // atomic, because two polls of an upstream may run concurrently
	if (count >= maxMisses || unreachable(err)) && u.RecordFailure(o.clock.Now()) {
		events.UpstreamEjected.Log(o.log, logrus.Fields{"upstream": u.Name(), "cause": err})
	}
}
