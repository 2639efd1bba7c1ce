package platform

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// maxWait bounds a watch, as a platform would.
const maxWait = 60 * time.Second

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

// admit counts the call and applies outages and rates.
func (p *Platform) admit(ctx *fasthttp.RequestCtx, write bool) bool {
	limiter := p.count(write, waitOf(ctx) > 0)
	if p.failing(ctx) {
		ctx.Error("platform outage", fasthttp.StatusServiceUnavailable)
		return false
	}
	if limiter.Allow() {
		return true
	}
	p.mu.Lock()
	p.calls.Limited++
	p.mu.Unlock()
	ctx.Response.Header.Set("Retry-After", "1")
	ctx.Error("rate limit", fasthttp.StatusTooManyRequests)
	return false
}

func (p *Platform) count(write, watch bool) *rate.Limiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case write:
		p.calls.Writes++
		return p.writes
	case watch:
		p.calls.Watches++
	default:
		p.calls.Reads++
	}
	return p.reads
}

func waitOf(ctx *fasthttp.RequestCtx) time.Duration {
	prefer := string(ctx.Request.Header.Peek("Prefer"))
	s, ok := strings.CutPrefix(prefer, "wait=")
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}
	return min(time.Duration(n)*time.Second, maxWait)
}

func (p *Platform) get(ctx *fasthttp.RequestCtx, key string) {
	known := string(ctx.Request.Header.Peek("If-None-Match"))
	deadline := time.After(waitOf(ctx))
	for waitOf(ctx) > 0 {
		changed, differs := p.watch(key, known)
		if differs {
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
	if waitOf(ctx) > 0 && p.watchesDead() {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	p.answer(ctx, key, known)
}

func (p *Platform) watchesDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.FreezeWatch
}

func (p *Platform) watch(key, known string) (<-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.object(key)
	return o.changed, etag(o.version) != known && !p.faults.FreezeWatch
}

func (p *Platform) answer(ctx *fasthttp.RequestCtx, key, known string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.object(key)
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
	if etag(version) == known {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(value)
}

func (p *Platform) put(ctx *fasthttp.RequestCtx, key string) {
	value := ctx.PostBody()
	if len(value) > MaxValue {
		ctx.Error("value too large", fasthttp.StatusRequestEntityTooLarge)
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
	o := p.object(key)
	if !matches(ctx, o.version) {
		ctx.Error("version differs", fasthttp.StatusPreconditionFailed)
		return
	}
	p.write(key, o, append([]byte(nil), value...))
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		ctx.Conn().Close()
		return
	}
	ctx.Response.Header.Set("ETag", etag(o.version))
}

func matches(ctx *fasthttp.RequestCtx, version int64) bool {
	if string(ctx.Request.Header.Peek("If-None-Match")) == "*" {
		return version == 0
	}
	return string(ctx.Request.Header.Peek("If-Match")) == etag(version)
}

// object returns the object of a key. The caller holds the lock.
func (p *Platform) object(key string) *object {
	o := p.objects[key]
	if o == nil {
		o = &object{changed: make(chan struct{})}
		p.objects[key] = o
	}
	return o
}

// maxHistory bounds the values kept for Restore and stale reads.
const maxHistory = 32

// write stores a value. The caller holds the lock.
func (p *Platform) write(_ string, o *object, value []byte) {
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
