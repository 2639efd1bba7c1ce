package platform

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// maxWatchWait is the maximum wait of a watch. The real platform also limits it.
const maxWatchWait = 60 * time.Second

func (p *Platform) serveObject(ctx *fasthttp.RequestCtx, key string) {
	write := ctx.IsPut()
	if !p.admit(ctx, write) {
		return
	}
	if write {
		p.put(ctx, key)
		return
	}
	p.get(ctx, key)
}

// admit counts a call and reports whether it may proceed. If an outage or the rate limits make it
// fail, admit answers it and returns false.
func (p *Platform) admit(ctx *fasthttp.RequestCtx, write bool) bool {
	limiter := p.countCall(write, watchWait(ctx) > 0)
	if p.injectOutage(ctx) {
		ctx.Error("simulated outage of the platform", fasthttp.StatusServiceUnavailable)
		return false
	}
	if limiter.Allow() {
		return true
	}
	p.mu.Lock()
	p.calls.Limited++
	p.mu.Unlock()
	ctx.Response.Header.Set("Retry-After", "1")
	ctx.Error("rate limit exceeded", fasthttp.StatusTooManyRequests)
	return false
}

// countCall counts a call and returns the rate limiter that applies to it.
func (p *Platform) countCall(write, watch bool) *rate.Limiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case write:
		p.calls.Writes++
		return p.writeLimiter
	case watch:
		p.calls.Watches++
	default:
		p.calls.Reads++
	}
	return p.readLimiter
}

// watchWait returns how long a read may wait for a change, or 0 if it is not a watch.
func watchWait(ctx *fasthttp.RequestCtx) time.Duration {
	prefer := string(ctx.Request.Header.Peek("Prefer"))
	s, ok := strings.CutPrefix(prefer, "wait=")
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}
	return min(time.Duration(n)*time.Second, maxWatchWait)
}

// get answers a read. A watch first waits until the version differs from the one that the caller
// knows, its time is over, or the platform stops.
func (p *Platform) get(ctx *fasthttp.RequestCtx, key string) {
	knownETag := string(ctx.Request.Header.Peek("If-None-Match"))
	deadline := time.After(watchWait(ctx))
	for watchWait(ctx) > 0 {
		changed, isNew := p.checkWatch(key, knownETag)
		if isNew {
			break
		}
		select {
		case <-changed:
			continue
		case <-deadline:
		case <-p.stopped:
		}
		break
	}
	if watchWait(ctx) > 0 && p.watchesFrozen() {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	p.respond(ctx, key, knownETag)
}

func (p *Platform) watchesFrozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.FreezeWatch
}

// checkWatch returns a channel that is closed at the object's next change, and whether the object has
// a version that the caller does not know.
func (p *Platform) checkWatch(key, knownETag string) (<-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objectFor(key)
	return o.changed, etag(o.version) != knownETag && !p.faults.FreezeWatch
}

// respond answers a read with the value, or with status 304 if the caller knows the version. With the
// fault StaleReads it serves the previous version.
func (p *Platform) respond(ctx *fasthttp.RequestCtx, key, knownETag string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objectFor(key)
	value, version := o.value, o.version
	if p.faults.StaleReads > 0 && len(o.history) > 1 {
		p.faults.StaleReads--
		value, version = o.history[len(o.history)-2], version-1
	}
	if version == 0 {
		ctx.Error("no such object", fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set("ETag", etag(version))
	if etag(version) == knownETag {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(value)
}

func (p *Platform) put(ctx *fasthttp.RequestCtx, key string) {
	value := ctx.PostBody()
	if len(value) > MaxValue {
		ctx.Error("the value is too large", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseRequests > 0 {
		p.faults.LoseRequests--
		ctx.HijackSetNoResponse(true)
		ctx.Conn().Close()
		return
	}
	o := p.objectFor(key)
	if !preconditionHolds(ctx, o.version) {
		ctx.Error("the version does not match", fasthttp.StatusPreconditionFailed)
		return
	}
	p.store(key, o, append([]byte(nil), value...))
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		ctx.Conn().Close()
		return
	}
	ctx.Response.Header.Set("ETag", etag(o.version))
}

// preconditionHolds reports whether the version of an object meets the request's If-None-Match: * or
// If-Match. It is false for a request with neither header, so that no write is unconditional.
func preconditionHolds(ctx *fasthttp.RequestCtx, version int64) bool {
	if string(ctx.Request.Header.Peek("If-None-Match")) == "*" {
		return version == 0
	}
	return string(ctx.Request.Header.Peek("If-Match")) == etag(version)
}

// objectFor returns the object of a key, which it creates if necessary. The caller holds p.mu.
func (p *Platform) objectFor(key string) *object {
	o := p.objects[key]
	if o == nil {
		o = &object{changed: make(chan struct{})}
		p.objects[key] = o
	}
	return o
}

// maxHistory is the number of values of an object that are kept for Restore and stale reads.
const maxHistory = 32

// store writes a value as a new version of an object and wakes its watches. The caller holds p.mu.
func (p *Platform) store(_ string, o *object, value []byte) {
	o.value = value
	o.version++
	o.history = append(o.history, value)
	if len(o.history) > maxHistory {
		o.history = o.history[1:]
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

func etag(version int64) string {
	return `"` + strconv.FormatInt(version, 10) + `"`
}
