// Package platform is a stand-in for the platform: a store of objects with versions, conditional
// updates, watches, rate limits and outages, and a list of boxes that shows changes late.
//
// Objects are read and written with conditional HTTP requests (RFC 9110: ETag, If-Match,
// If-None-Match). A watch is a GET that waits for a change (RFC 7240: Prefer: wait).
//
//	GET  /objects/{key}   reads or watches an object: 200 with ETag, 304, 404, 429, 503
//	PUT  /objects/{key}   writes an object: 200 with ETag, 412, 413, 429, 503
//	GET  /boxes           returns the box list
//	GET  /calls           returns the numbers of calls so far
//	POST /faults          sets the faults; the body is a Faults
//	POST /boxes           replaces the box list
//	POST /restore/{key}   writes the value of ?back=n writes ago again, as restoring a backup does
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

// MaxValue is the maximum size of an object's value, in bytes.
const MaxValue = 1 << 20

// Faults are the faults that a platform simulates. The zero value is a healthy platform.
type Faults struct {
	Down         bool `json:"down"`          // fail every call
	FailEvery    int  `json:"fail_every"`    // fail every n-th call
	DelayMillis  int  `json:"delay_millis"`  // delay of each call
	LoseAnswers  int  `json:"lose_answers"`  // carry out the next n writes without an answer
	StaleReads   int  `json:"stale_reads"`   // answer the next n reads with the previous version
	BoxesDown    bool `json:"boxes_down"`    // fail calls for the box list
	FreezeWatch  bool `json:"freeze_watch"`  // let watches miss all changes
	LoseRequests int  `json:"lose_requests"` // drop the next n writes without an answer
}

// Calls are the numbers of calls that a platform has received.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Boxes   int64 `json:"boxes"`
	Limited int64 `json:"limited"` // refused by the rate limits
}

// object is the state of an object. Version 0 means that it does not exist yet.
type object struct {
	value   []byte
	version int64
	history [][]byte      // the last values, oldest first
	changed chan struct{} // closed at the next change; then replaced
}

// Platform is a stand-in for the platform. Create it with New.
type Platform struct {
	mu           sync.Mutex
	objects      map[string]*object
	boxes        []spanrill.Box
	visibleBoxes []spanrill.Box // the box list that callers see

	visibleVersion int64 // version of visibleBoxes
	faults         Faults
	calls          Calls
	callCount      int64         // calls for objects and the box list, to apply FailEvery
	boxLag         time.Duration // time until the box list shows a change
	writeLimiter   *rate.Limiter
	readLimiter    *rate.Limiter
	server         *web.Server
	stopped        chan struct{}
}

// Option configures a Platform.
type Option func(*Platform)

// WithBoxLag sets the time until the box list shows a change.
func WithBoxLag(d time.Duration) Option {
	return func(p *Platform) { p.boxLag = d }
}

// WithRates sets the rate limits of the store, in calls per second.
func WithRates(writes, reads float64) Option {
	return func(p *Platform) {
		p.writeLimiter = rate.NewLimiter(rate.Limit(writes), int(writes))
		p.readLimiter = rate.NewLimiter(rate.Limit(reads), int(reads))
	}
}

// The default rate limits are those of the real platform, in calls per second.
const (
	defaultWriteRate = 100
	defaultReadRate  = 2000
)

// New returns a platform without objects.
func New(opts ...Option) *Platform {
	p := &Platform{objects: map[string]*object{}, stopped: make(chan struct{})}
	p.server = web.New(p.handle)
	WithRates(defaultWriteRate, defaultReadRate)(p)
	for _, o := range opts {
		o(p)
	}
	return p
}

// Listen starts the platform on addr and returns the address that it is bound to.
func (p *Platform) Listen(addr string) (string, error) {
	return p.server.Listen(addr)
}

// Close ends all watches, stops listening and waits for open requests.
func (p *Platform) Close() {
	close(p.stopped)
	p.server.Close()
}

// SetBoxes replaces the box list. The first list is visible at once, a later one after the box lag.
func (p *Platform) SetBoxes(boxes []spanrill.Box) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.boxes = append([]spanrill.Box(nil), boxes...)
	if p.boxLag == 0 || p.visibleBoxes == nil {
		p.setVisible(p.boxes)
		return
	}
	newBoxes := p.boxes
	time.AfterFunc(p.boxLag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.setVisible(newBoxes)
	})
}

// setVisible makes a box list visible to callers. The caller holds p.mu.
func (p *Platform) setVisible(boxes []spanrill.Box) {
	p.visibleBoxes = boxes
	p.visibleVersion++
}

// SetFaults replaces the faults to simulate.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Calls returns the numbers of calls so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Restore writes the value that an object had the given number of writes ago, as a new version.
func (p *Platform) Restore(key string, writesAgo int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objects[key]
	if o == nil || len(o.history) <= writesAgo {
		return fmt.Errorf("object %s has no recorded value of %d writes ago", key, writesAgo)
	}
	p.store(key, o, o.history[len(o.history)-1-writesAgo])
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
		writesAgo, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("back")))
		if err := p.Restore(path[len("/restore/"):], writesAgo); err != nil {
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
	boxes, down := p.visibleBoxes, p.faults.BoxesDown
	tag := etag(p.visibleVersion)
	p.mu.Unlock()
	if down || p.injectOutage(ctx) {
		ctx.Error("simulated outage of the platform", fasthttp.StatusServiceUnavailable)
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

// injectOutage delays a call to the store or the box list as the faults require, and reports whether
// the call must fail.
func (p *Platform) injectOutage(_ *fasthttp.RequestCtx) bool {
	p.mu.Lock()
	p.callCount++
	f, call := p.faults, p.callCount
	p.mu.Unlock()
	if f.DelayMillis > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMillis) * time.Millisecond):
		case <-p.stopped:
		}
	}
	return f.Down || f.FailEvery > 0 && call%int64(f.FailEvery) == 0
}
