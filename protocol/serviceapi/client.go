// Package serviceapi is an HTTP client of plain services.
//
// A call that must not be repeated always uses a new connection, since the service may close an
// idle one just as the request is sent.
//
// # Usage
//
//	services := serviceapi.New(httpcall.New(), serviceapi.WithMaxAnswer(8<<20))
//	answer, err := services.Call(ctx, "10.0.0.9:8000", req)
package serviceapi

import (
	"context"
	"fmt"

	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/protocol/engineapi"
	"spanrill/transport/httpcall"
)

// Client implements spanrill.Services.
type Client struct {
	http      *httpcall.Client
	maxAnswer int
}

// Option changes a default of New.
type Option func(*Client)

// WithMaxAnswer sets the maximum size of an answer's body, in bytes.
func WithMaxAnswer(n int) Option {
	return func(c *Client) { c.maxAnswer = n }
}

const defaultMaxAnswer = 16 << 20

// New returns a Client that makes its calls with http.
func New(http *httpcall.Client, opts ...Option) *Client {
	c := &Client{http: http, maxAnswer: defaultMaxAnswer}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Call sends a request to the instance at addr, once, and returns the whole answer.
func (c *Client) Call(ctx context.Context, addr string, req *spanrill.ServiceRequest) (*spanrill.ServiceAnswer, error) {
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	out.SetRequestURI("http://" + addr + req.Path)
	out.Header.SetMethod(req.Method)
	for _, h := range req.Headers {
		out.Header.Add(h.Name, h.Value)
	}
	out.SetBodyRaw(req.Body)
	answer, err := c.http.Do(ctx, addr, out, httpcall.Reuse(req.Repeatable))
	if err != nil {
		return nil, fmt.Errorf("call service: %w", err)
	}
	result, err := c.read(answer)
	if err != nil {
		return nil, err
	}
	if err := answer.CheckEnd(ctx); err != nil {
		return nil, fmt.Errorf("end of the service's answer: %w", err)
	}
	return result, nil
}

// read reads the whole answer and returns it without its hop-by-hop headers.
func (c *Client) read(answer *httpcall.Answer) (*spanrill.ServiceAnswer, error) {
	result := &spanrill.ServiceAnswer{Status: answer.Status()}
	for name, value := range answer.Header().All() {
		if !hopByHop[string(name)] {
			result.Headers = append(result.Headers, spanrill.Header{Name: string(name), Value: string(value)})
		}
	}
	body, err := answer.ReadAll(c.maxAnswer)
	if err != nil {
		return nil, fmt.Errorf("read answer of service: %w", err)
	}
	result.Body = body
	return result, nil
}

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1), and those
// that the next hop sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Date": true, "Server": true, "Host": true,
}

// HopByHop reports whether a header applies to a single connection or is set by the next hop, so
// that it must not be forwarded.
func HopByHop(name string) bool { return hopByHop[name] }

// Status returns the status report of the instance at addr.
func (c *Client) Status(ctx context.Context, addr string) (spanrill.UpstreamStatus, error) {
	return engineapi.StatusAt(ctx, c.http, addr, "/status")
}
