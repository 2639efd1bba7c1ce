// Package engineapi is an HTTP client of model engines.
//
// A run is POST /v1/run with a spanrill.RunRequest. The answer is a stream of JSON lines
// (application/x-ndjson), each a spanrill.RunEvent. If a stage refuses before any work, the first
// engine answers with status 409 and a single event that holds the refusal.
//
// # Usage
//
//	engines := engineapi.New(httpcall.New())
//	stream, err := engines.Run(ctx, req)
//	if err != nil {
//		return fmt.Errorf("start run: %w", err)
//	}
//	defer stream.Close()
package engineapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/transport/httpcall"
)

// Client implements spanrill.Engines.
type Client struct {
	http *httpcall.Client
}

// New returns a Client that makes its calls with http.
func New(http *httpcall.Client) *Client {
	return &Client{http: http}
}

const (
	maxBodyBytes  = 64 << 10 // a status report or refusal
	maxEventBytes = 64 << 10 // one event of a run
)

// Run starts a run at the engine of the chain's first stage.
func (c *Client) Run(ctx context.Context, req *spanrill.RunRequest) (spanrill.RunStream, error) {
	answer, err := c.post(ctx, req.Chain[0].Addr, "/v1/run", req)
	if err != nil {
		return nil, fmt.Errorf("start run: %w", err)
	}
	if answer.Status() == fasthttp.StatusOK {
		return &runStream{answer: answer, lines: bufio.NewReaderSize(answer.Body(), maxEventBytes)}, nil
	}
	return nil, readRefusal(answer)
}

// readRefusal reads an answer with a status other than 200 and returns it as a CallError. The phase
// is PhaseRefused if the engine refused before any work, and otherwise PhaseAnswer.
func readRefusal(answer *httpcall.Answer) error {
	status := answer.Status()
	body, err := answer.ReadAll(maxBodyBytes)
	if err != nil {
		return fmt.Errorf("read refusal: %w", err)
	}
	var ev spanrill.RunEvent
	if json.Unmarshal(body, &ev) != nil || ev.Error == nil || status != fasthttp.StatusConflict {
		cause := errors.Errorf("engine answered status %d", status)
		return &spanrill.CallError{Phase: spanrill.PhaseAnswer, Cause: cause}
	}
	return &spanrill.CallError{Phase: spanrill.PhaseRefused, Cause: ev.Error}
}

// post sends v as JSON in a POST request and returns the answer.
func (c *Client) post(ctx context.Context, addr, path string, v any) (*httpcall.Answer, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", path, err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	return c.http.Do(ctx, addr, req, httpcall.ReuseAllowed)
}

// Status returns the status report of an engine.
func (c *Client) Status(ctx context.Context, addr string) (spanrill.UpstreamStatus, error) {
	return StatusAt(ctx, c.http, addr, "/v1/status")
}

// StatusAt returns the status report that an upstream serves at path.
func StatusAt(ctx context.Context, http *httpcall.Client, addr, path string) (spanrill.UpstreamStatus, error) {
	var report spanrill.UpstreamStatus
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + path)
	answer, err := http.Do(ctx, addr, req, httpcall.ReuseAllowed)
	if err != nil {
		return report, fmt.Errorf("read status: %w", err)
	}
	status := answer.Status()
	body, err := answer.ReadAll(maxBodyBytes)
	if err != nil {
		return report, fmt.Errorf("read status: %w", err)
	}
	if status != fasthttp.StatusOK {
		return report, errors.Errorf("read status of %s: status %d", addr, status)
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return report, fmt.Errorf("decode status of %s: %w", addr, err)
	}
	return report, nil
}

// Order sends an order to an engine and returns nil if the engine accepts it.
func (c *Client) Order(ctx context.Context, addr string, o spanrill.Order) error {
	answer, err := c.post(ctx, addr, "/v1/orders", o)
	if err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	if answer.Status() == fasthttp.StatusOK {
		_, err := answer.ReadAll(maxBodyBytes)
		return err
	}
	return readRefusal(answer)
}

// runStream reads the events of one run.
type runStream struct {
	answer *httpcall.Answer
	lines  *bufio.Reader
}

// Next returns the next event. It returns spanrill.ErrStalled if nothing arrives within wait, and
// io.EOF at the end of the stream.
func (s *runStream) Next(wait spanrill.Millis) (spanrill.RunEvent, error) {
	var ev spanrill.RunEvent
	s.answer.SetReadWait(wait)
	line, err := s.lines.ReadSlice('\n')
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ev, fmt.Errorf("read event: %w", spanrill.ErrStalled)
	}
	if errors.Is(err, io.EOF) {
		return ev, io.EOF
	}
	if err != nil {
		return ev, fmt.Errorf("read event: %w", err)
	}
	if err := json.Unmarshal(line, &ev); err != nil {
		return ev, fmt.Errorf("decode event: %w", err)
	}
	return ev, nil
}

// Close closes the stream. If the stream was not read to its end, this also closes the connection,
// which makes the engine cancel the run.
func (s *runStream) Close() error {
	s.answer.Close()
	return nil
}
