// Package objectapi is an HTTP client of the platform's object store and box list.
//
// An object is read with GET /objects/{key}. Its version is the ETag (RFC
// 9110). Conditional updates use If-Match, and If-None-Match: * to create. A
// watch is a GET with If-None-Match and Prefer: wait=N (RFC 7240), which the
// platform answers when the version changes or after N seconds.
//
// Calls are not retried. A write whose answer was lost returns spanrill.ErrUncertain, and the caller
// must read the object to learn whether it was written.
//
// # Usage
//
//	store := objectapi.New("10.0.0.1:7000", httpcall.New())
//	obj, err := store.Get(ctx, "config/head")
package objectapi

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/transport/httpcall"
)

// MaxValue is the maximum size of an object's value on the platform, in bytes.
const MaxValue = 1 << 20

// Client implements spanrill.ObjectStore and spanrill.BoxLister.
type Client struct {
	addr    string
	http    *httpcall.Client
	timeout spanrill.Millis

	mu        sync.Mutex
	boxes     []spanrill.Box // the box list that was read last
	boxesETag string         // its ETag, if the platform gave one
}

// Option changes a default of New.
type Option func(*Client)

// WithTimeout sets the timeout of each call. For a watch it is added to the wait.
func WithTimeout(d spanrill.Millis) Option {
	return func(c *Client) { c.timeout = d }
}

const defaultTimeout = 2 * spanrill.Second

// New returns a Client of the platform at addr.
func New(addr string, http *httpcall.Client, opts ...Option) *Client {
	c := &Client{addr: addr, http: http, timeout: defaultTimeout}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Get returns the object of a key.
func (c *Client) Get(ctx context.Context, key string) (spanrill.Object, error) {
	return c.read(ctx, key, "", 0)
}

// Watch returns the object once its version differs from known. After wait without a change it
// returns an object that has the known version and no value.
func (c *Client) Watch(ctx context.Context, key string, known spanrill.Version, wait spanrill.Millis) (spanrill.Object, error) {
	return c.read(ctx, key, known, wait)
}

// read reads an object. If its version is the known one and does not change within wait, it returns
// the object without a value.
func (c *Client) read(ctx context.Context, key string, known spanrill.Version, wait spanrill.Millis) (spanrill.Object, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + c.addr + "/objects/" + key)
	if known != "" {
		req.Header.Set("If-None-Match", string(known))
	}
	if wait > 0 {
		req.Header.Set("Prefer", "wait="+strconv.Itoa(int(wait/spanrill.Second)))
	}
	body, answer, err := c.do(ctx, req, wait)
	if err != nil {
		return spanrill.Object{}, fmt.Errorf("read object %s: %w: %v", key, spanrill.ErrUnavailable, err)
	}
	switch answer.Status() {
	case fasthttp.StatusOK:
		return spanrill.Object{Value: body, Version: etag(answer)}, nil
	case fasthttp.StatusNotModified:
		return spanrill.Object{Version: known}, nil
	case fasthttp.StatusNotFound:
		return spanrill.Object{}, fmt.Errorf("read object %s: %w", key, spanrill.ErrNotFound)
	}
	return spanrill.Object{}, fmt.Errorf("read object %s: status %d: %w", key, answer.Status(), spanrill.ErrUnavailable)
}

// Put writes the object if its version is expect, and returns the new version. If expect is empty,
// it only creates the object.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect spanrill.Version) (spanrill.Version, error) {
	if len(value) > MaxValue {
		return "", errors.Errorf("write object %s: %d bytes, at most %d are allowed", key, len(value), MaxValue)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + c.addr + "/objects/" + key)
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetBodyRaw(value)
	if expect == "" {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", string(expect))
	}
	_, answer, err := c.do(ctx, req, 0)
	if err != nil {
		return "", fmt.Errorf("write object %s: %w: %v", key, putFailure(err), err)
	}
	switch answer.Status() {
	case fasthttp.StatusOK:
		return etag(answer), nil
	case fasthttp.StatusPreconditionFailed:
		return "", fmt.Errorf("write object %s: %w", key, spanrill.ErrConflict)
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return "", fmt.Errorf("write object %s: status %d: %w", key, answer.Status(), spanrill.ErrUnavailable)
	}
	return "", fmt.Errorf("write object %s: status %d: %w", key, answer.Status(), spanrill.ErrUncertain)
}

// putFailure returns ErrUnavailable if a failed write cannot have been carried out, and otherwise
// ErrUncertain.
func putFailure(err error) error {
	var call *spanrill.CallError
	if errors.As(err, &call) && call.Outcome() == spanrill.OutcomeNotRun {
		return spanrill.ErrUnavailable
	}
	return spanrill.ErrUncertain
}

// do makes one call and reads the whole body. The call fails after the timeout plus wait.
func (c *Client) do(ctx context.Context, req *fasthttp.Request, wait spanrill.Millis) ([]byte, *httpcall.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, (c.timeout + wait).Duration())
	defer cancel()
	answer, err := c.http.Do(ctx, c.addr, req, httpcall.ReuseAllowed)
	if err != nil {
		return nil, nil, fmt.Errorf("call platform: %w", err)
	}
	body, err := answer.ReadAll(2 * MaxValue)
	if err != nil {
		return nil, nil, fmt.Errorf("read answer of platform: %w", err)
	}
	return body, answer, nil
}

func etag(a *httpcall.Answer) spanrill.Version {
	return spanrill.Version(a.Header().Peek("ETag"))
}

// Boxes returns the platform's box list. The request carries the ETag of the last list, so that a
// platform that supports ETags sends the list only after a change. Callers must not modify the
// slice.
func (c *Client) Boxes(ctx context.Context) ([]spanrill.Box, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + c.addr + "/boxes")
	known, tag := c.cachedBoxes()
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	body, answer, err := c.do(ctx, req, 0)
	if err != nil {
		return nil, fmt.Errorf("read box list: %w", err)
	}
	if answer.Status() == fasthttp.StatusNotModified && tag != "" {
		return known, nil
	}
	if answer.Status() != fasthttp.StatusOK {
		return nil, fmt.Errorf("read box list: status %d: %w", answer.Status(), spanrill.ErrUnavailable)
	}
	var boxes []spanrill.Box
	if err := json.Unmarshal(body, &boxes); err != nil {
		return nil, fmt.Errorf("decode box list: %w", err)
	}
	c.cacheBoxes(boxes, string(etag(answer)))
	return boxes, nil
}

func (c *Client) cachedBoxes() (boxes []spanrill.Box, tag string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.boxes, c.boxesETag
}

func (c *Client) cacheBoxes(boxes []spanrill.Box, tag string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.boxes, c.boxesETag = boxes, tag
}
