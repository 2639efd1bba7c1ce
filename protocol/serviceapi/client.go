// Package serviceapi speaks to plain services over HTTP.
//
// A call that may not be repeated always goes over a new connection, so that
// an old one cannot close under it.
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

// WithMaxAnswer bounds the body of an answer, in bytes.
func WithMaxAnswer(n int) Option {
	return func(c *Client) { c.maxAnswer = n }
}

const defaultMaxAnswer = 16 << 20

// New returns a client.
func New(http *httpcall.Client, opts ...Option) *Client {
	c := &Client{http: http, maxAnswer: defaultMaxAnswer}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Call makes one attempt.
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
	return c.read(answer)
}

func (c *Client) read(answer *httpcall.Answer) (*spanrill.ServiceAnswer, error) {
	whole := &spanrill.ServiceAnswer{Status: answer.Status()}
	for name, value := range answer.Header().All() {
		if !hopByHop[string(name)] {
			whole.Headers = append(whole.Headers, spanrill.Header{Name: string(name), Value: string(value)})
		}
	}
	body, err := answer.ReadAll(c.maxAnswer)
	if err != nil {
		return nil, fmt.Errorf("read answer of service: %w", err)
	}
	whole.Body = body
	return whole, nil
}

// hopByHop lists the headers that concern one connection alone (RFC 9110,
// section 7.6.1), and those that the next hop sets by itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Date": true, "Server": true, "Host": true,
}

// HopByHop reports whether a header concerns one connection alone.
func HopByHop(name string) bool { return hopByHop[name] }

// Status asks one upstream for its report.
func (c *Client) Status(ctx context.Context, addr string) (spanrill.UpstreamStatus, error) {
	return engineapi.StatusAt(ctx, c.http, addr, "/status")
}
