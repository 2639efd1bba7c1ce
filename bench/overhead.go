package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"spanrill"
	"spanrill/scene"
)

// Overhead compares the latency of calls through a daemon with that of direct
// calls, in milliseconds.
type Overhead struct {
	Name      string  `json:"name"`
	DirectP50 float64 `json:"direct_p50"`
	DirectP99 float64 `json:"direct_p99"`
	RoutedP50 float64 `json:"routed_p50"`
	RoutedP99 float64 `json:"routed_p99"`
	AddedP50  float64 `json:"added_p50"`
	AddedP99  float64 `json:"added_p99"`
}

// MeasureOverhead calls the same stand-ins directly and through a daemon, in turn
// and one call at a time. It makes the given number of measured calls of each kind.
func MeasureOverhead(ctx context.Context, calls int) ([]Overhead, error) {
	spec := scene.Demo()
	spec.Daemons, spec.Engines = 1, spec.Engines[:3]
	for i := range spec.Engines {
		spec.Engines[i].Accelerator.BaseTime = time.Millisecond
	}
	s, err := scene.Start(ctx, spec)
	if err != nil {
		return nil, fmt.Errorf("start scene: %w", err)
	}
	defer s.Close()
	o := &overheadRunner{scene: s, calls: calls, client: &http.Client{}}
	service, err := o.compare(ctx, "plain service call", o.directService, o.routedService)
	if err != nil {
		return nil, err
	}
	chain, err := o.compare(ctx, "answer of one token", o.directRun, o.routedRun)
	if err != nil {
		return nil, err
	}
	return []Overhead{service, chain}, nil
}

// overheadRunner sends the calls of MeasureOverhead.
type overheadRunner struct {
	scene  *scene.Scene
	calls  int
	client *http.Client
}

// compare measures direct and routed calls in turn, after a tenth as many unmeasured
// calls for warmup.
func (o *overheadRunner) compare(ctx context.Context, name string, direct, routed func(context.Context, int) error) (Overhead, error) {
	directTimes, routedTimes := newHistogram(), newHistogram()
	for i := range o.calls + o.calls/10 {
		for _, variant := range []struct {
			call  func(context.Context, int) error
			times *hdrhistogram.Histogram
		}{{direct, directTimes}, {routed, routedTimes}} {
			started := time.Now()
			if err := variant.call(ctx, i); err != nil {
				return Overhead{}, fmt.Errorf("%s: %w", name, err)
			}
			if i >= o.calls/10 { // the first calls are the warmup
				record(variant.times, time.Since(started))
			}
		}
	}
	comparison := Overhead{
		Name:      name,
		DirectP50: percentile(directTimes, 50), DirectP99: percentile(directTimes, 99),
		RoutedP50: percentile(routedTimes, 50), RoutedP99: percentile(routedTimes, 99),
	}
	comparison.AddedP50, comparison.AddedP99 = comparison.RoutedP50-comparison.DirectP50, comparison.RoutedP99-comparison.DirectP99
	return comparison, nil
}

// post sends a request as the first client account. An answer with a status other than
// 200 is an error.
func (o *overheadRunner) post(ctx context.Context, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+scene.KeyPrefix+o.scene.Spec().Accounts[0].Name)
	resp, err := o.client.Do(req)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", resp.StatusCode, answer)
	}
	return nil
}

func (o *overheadRunner) directService(ctx context.Context, i int) error {
	return o.post(ctx, "http://"+o.scene.Addr("readings-1")+"/readings", fmt.Appendf(nil, `{"id":"direct-%d"}`, i))
}

func (o *overheadRunner) routedService(ctx context.Context, i int) error {
	return o.post(ctx, o.scene.URL(0)+"/services/readings/readings", fmt.Appendf(nil, `{"id":"routed-%d"}`, i))
}

func (o *overheadRunner) chatBody(i int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"seed":1,"max_tokens":1,"messages":[{"role":"user","content":"hive %d"}]}`,
		o.scene.Spec().Model.Name, i)
}

// directRun sends a run request to the first engine of a chain, as a daemon does.
func (o *overheadRunner) directRun(ctx context.Context, i int) error {
	m := o.scene.Spec().Model
	run := spanrill.RunRequest{
		ID: fmt.Sprintf("direct-%d", i), Path: "/v1/chat/completions", Body: o.chatBody(i),
		Model: m.Name, Version: m.Version, LayerCount: m.Layers, Seed: 1, MaxTokens: 1, Chain: o.chain(),
	}
	body, err := json.Marshal(run)
	if err != nil {
		return fmt.Errorf("encode run: %w", err)
	}
	return o.post(ctx, "http://"+run.Chain[0].Addr+"/v1/run", body)
}

// chain builds a chain from the engines that the daemon knows. Each stage is the first
// engine that begins at the layer at which the previous stage ends. The chain ends early
// if there is none.
func (o *overheadRunner) chain() []spanrill.StageRef {
	var chain []spanrill.StageRef
	for layer := 0; layer < o.scene.Spec().Model.Layers; {
		next := layer
		for _, s := range o.scene.Stages(0) {
			if s.Layers.From == layer {
				chain = append(chain, s)
				next = s.Layers.To
				break
			}
		}
		if next == layer {
			return chain
		}
		layer = next
	}
	return chain
}

func (o *overheadRunner) routedRun(ctx context.Context, i int) error {
	return o.post(ctx, o.scene.URL(0)+"/v1/chat/completions", o.chatBody(i))
}
