// Package platform is a stand-in for the platform: an object API with
// versions, conditional updates, watches, rate limits and outages, and a box
// list that lags.
//
// Objects speak plain HTTP conditional requests (RFC 9110: ETag, If-Match,
// If-None-Match) and watches are waiting GETs (RFC 7240: Prefer: wait).
//
//	GET  /objects/{key}   200 with ETag, 304, 404, 429, 503
//	PUT  /objects/{key}   200 with ETag, 412, 428, 429, 503
//	GET  /boxes           the box list
//	GET  /calls           the calls counted so far
//	POST /faults          sets the faults; the body is a Faults
//	POST /boxes           replaces the box list
//	POST /restore/{key}   puts an old version back, as a restored backup does
//
// # Usage
//
//	p := platform.New(platform.WithBoxLag(2 * time.Second))
//	addr, err := p.Listen("127.0.0.1:0")
package platform

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"spanrill"
	"spanrill/standin/web"
)

// MaxValue is the largest value the store takes, in bytes.
const MaxValue = 1 << 20

// Faults says how the platform misbehaves. The zero value is a healthy one.
type Faults struct {
	Down         bool `json:"down"`          // every call fails
	FailEvery    int  `json:"fail_every"`    // every n-th call fails
	DelayMillis  int  `json:"delay_millis"`  // every call waits
	LoseAnswers  int  `json:"lose_answers"`  // the next n writes take effect and their answers are lost
	StaleReads   int  `json:"stale_reads"`   // the next n reads return the version before
	BoxesDown    bool `json:"boxes_down"`    // only the box list fails
	FreezeWatch  bool `json:"freeze_watch"`  // watches never see a change
	LoseRequests int  `json:"lose_requests"` // the next n writes are dropped before they take effect
}

// Calls counts what was asked of the platform.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Boxes   int64 `json:"boxes"`
	Limited int64 `json:"limited"`
}

type object struct {
	value   []byte
	version int64
	history [][]byte
	changed chan struct{}
}

// Platform is the stand-in.
type Platform struct {
	mu      sync.Mutex
	objects map[string]*object
	boxes   []spanrill.Box
	shown   []spanrill.Box

	shownVersion int64
	faults       Faults
	calls        Calls
	seq          int64
	boxLag       time.Duration
	writes       *rate.Limiter
	reads        *rate.Limiter
	server       *web.Server
	stopped      chan struct{}
}

// Option changes a default of New.
type Option func(*Platform)

// WithBoxLag sets how late the box list shows changes.
func WithBoxLag(d time.Duration) Option {
	return func(p *Platform) { p.boxLag = d }
}

// WithRates sets the calls a second that the store takes.
func WithRates(writes, reads float64) Option {
	return func(p *Platform) {
		p.writes = rate.NewLimiter(rate.Limit(writes), int(writes))
		p.reads = rate.NewLimiter(rate.Limit(reads), int(reads))
	}
}

// The rates of the platform's service, in calls a second.
const (
	defaultWrites = 100
	defaultReads  = 2000
)

// New returns a platform with no objects.
func New(opts ...Option) *Platform {
	p := &Platform{objects: map[string]*object{}, stopped: make(chan struct{})}
	p.server = web.New(p.handle)
	WithRates(defaultWrites, defaultReads)(p)
	for _, o := range opts {
		o(p)
	}
	return p
}

// Listen serves on addr and returns the address in use.
func (p *Platform) Listen(addr string) (string, error) {
	return p.server.Listen(addr)
}

// Close stops serving.
func (p *Platform) Close() {
	close(p.stopped)
	p.server.Close()
}

// SetBoxes replaces the box list. It shows after the lag.
func (p *Platform) SetBoxes(boxes []spanrill.Box) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.boxes = append([]spanrill.Box(nil), boxes...)
	if p.boxLag == 0 || p.shown == nil {
		p.show(p.boxes)
		return
	}
	next := p.boxes
	time.AfterFunc(p.boxLag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.show(next)
	})
}

// show makes a box list visible. The caller holds the lock.
func (p *Platform) show(boxes []spanrill.Box) {
	p.shown = boxes
	p.shownVersion++
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns the counts so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Restore puts back the value that the object had back versions ago, under a
// new version.
func (p *Platform) Restore(key string, back int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objects[key]
	if o == nil || len(o.history) <= back {
		return fmt.Errorf("object %s has no version %d writes ago", key, back)
	}
	p.write(key, o, o.history[len(o.history)-1-back])
	return nil
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/calls":
		web.WriteJSON(ctx, p.Calls())
	case path == "/faults" && ctx.IsPost():
		var f Faults
		if web.ReadJSON(ctx, &f) {
			p.SetFaults(f)
		}
	case path == "/boxes" && ctx.IsPost():
		var b []spanrill.Box
		if web.ReadJSON(ctx, &b) {
			p.SetBoxes(b)
		}
	case strings.HasPrefix(path, "/restore/"):
		back, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("back")))
		if err := p.Restore(path[len("/restore/"):], back); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusNotFound)
		}
	case path == "/boxes":
		p.serveBoxes(ctx)
	case strings.HasPrefix(path, "/objects/"):
		p.serveObject(ctx, path[len("/objects/"):])
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (p *Platform) serveBoxes(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	p.calls.Boxes++
	boxes, down := p.shown, p.faults.BoxesDown
	tag := etag(p.shownVersion)
	p.mu.Unlock()
	if down || p.failing(ctx) {
		ctx.Error("platform outage", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.Response.Header.Set("ETag", tag)
	if string(ctx.Request.Header.Peek("If-None-Match")) == tag {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	if boxes == nil {
		boxes = []spanrill.Box{}
	}
	web.WriteJSON(ctx, boxes)
}

// failing applies the faults that hold for every call.
func (p *Platform) failing(_ *fasthttp.RequestCtx) bool {
	p.mu.Lock()
	p.seq++
	f, seq := p.faults, p.seq
	p.mu.Unlock()
	if f.DelayMillis > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMillis) * time.Millisecond):
		case <-p.stopped:
		}
	}
	return f.Down || f.FailEvery > 0 && seq%int64(f.FailEvery) == 0
}
