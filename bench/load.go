// Package bench measures a fleet of spanrill daemons in front of stand-ins.
//
// The load is open loop: requests are sent at times that are drawn in advance
// and do not depend on answers, so that a slow fleet is not offered less.
// Latencies are measured from the intended send time. Every answer is compared
// with the one that the model computes locally. An answer that differs, is late
// or is cut off does not count as useful.
//
// # Usage
//
//	report, err := bench.Throughput(ctx, scene.Quebec(), bench.Options{Load: 0.9})
//	report.WriteRow(os.Stdout)
package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spanrill/scene"
	"spanrill/standin/model"
	"spanrill/task"
)

// Options sets the load of a run.
type Options struct {
	Load     float64       // offered rate as a fraction of Bound
	Duration time.Duration // of the measurement, after Warmup
	Warmup   time.Duration // at the start, not measured
	Mix      Mix
	Seed     uint64
	Deadline time.Duration // a later answer is not useful
	Shares   []float64     // of each client account in the offered load; empty: equal shares
	Steady   bool          // evenly spaced requests and a fixed cycle of lengths, so that a dip is due to the fault
}

// withDefaults returns o with defaults in place of zero values.
func (o Options) withDefaults() Options {
	if o.Duration == 0 {
		o.Duration = 10 * time.Second
	}
	if o.Warmup == 0 {
		o.Warmup = 3 * time.Second
	}
	if o.Mix.MaxTokens == 0 {
		o.Mix = DefaultMix
	}
	if o.Deadline == 0 {
		o.Deadline = 15 * time.Second
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	return o
}

// arrival is one planned request.
type arrival struct {
	sendAt  time.Duration // since the start of the run
	daemon  int
	account int
	prompt  string
	seed    int
	tokens  int
}

// planArrivals draws all requests of a run, at perSecond requests a second on average.
func planArrivals(s *scene.Scene, o Options, perSecond float64) []arrival {
	r := rand.New(rand.NewPCG(o.Seed, 0))
	var arrivals []arrival
	end := (o.Warmup + o.Duration).Seconds()
	for sendAt := nextInterval(r, o, perSecond); sendAt < end; sendAt += nextInterval(r, o, perSecond) {
		arrivals = append(arrivals, arrival{
			sendAt:  time.Duration(sendAt * float64(time.Second)),
			daemon:  len(arrivals) % len(s.Daemons()),
			account: pickAccount(r, o.Shares, len(s.Spec().Accounts)),
			prompt:  buildPrompt(r, o.Mix, len(arrivals)),
			seed:    len(arrivals) + 1,
			tokens:  answerTokens(r, o, len(arrivals)),
		})
	}
	return arrivals
}

// nextInterval returns the time until the next request, in seconds.
func nextInterval(r *rand.Rand, o Options, perSecond float64) float64 {
	if o.Steady {
		return 1 / perSecond
	}
	return r.ExpFloat64() / perSecond
}

// answerTokens returns the length in tokens of the n-th answer.
func answerTokens(r *rand.Rand, o Options, n int) int {
	span := o.Mix.MaxTokens - o.Mix.MinTokens + 1
	if o.Steady {
		return o.Mix.MinTokens + n*7%span
	}
	return o.Mix.MinTokens + r.IntN(span)
}

// pickAccount draws the index of a client account.
func pickAccount(r *rand.Rand, shares []float64, accounts int) int {
	if len(shares) == 0 {
		return r.IntN(accounts)
	}
	remaining := r.Float64()
	for i, share := range shares {
		if remaining -= share; remaining < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// buildPrompt returns a prompt that starts with one of the shared prefixes and ends with words
// of its own.
func buildPrompt(r *rand.Rand, m Mix, n int) string {
	shared := r.IntN(m.SharedPrefixes)
	var b strings.Builder
	for i := range m.PromptWords {
		if i < m.SharedWords {
			fmt.Fprintf(&b, "%s ", model.TokenWord(uint32(shared*67+i)))
		} else {
			fmt.Fprintf(&b, "%s ", model.TokenWord(uint32(n*131+i)))
		}
	}
	return strings.TrimSpace(b.String())
}

// Tally collects the results of a run. Its histograms are in microseconds.
type Tally struct {
	mu            sync.Mutex
	started       time.Time
	offered       int
	useful        int
	wrong         int                     // answers whose text differs
	late          int                     // answers after the deadline
	failed        map[string]int          // by error code
	tokens        []int                   // tokens received, by window since started
	firstToken    *hdrhistogram.Histogram // time until the first token
	betweenTokens *hdrhistogram.Histogram // time between two tokens
	refusals      *hdrhistogram.Histogram // time until a refusal or another failure
	accounts      []accountTally
}

// accountTally collects the results of one client account.
type accountTally struct {
	offered int
	useful  int
	answers *hdrhistogram.Histogram // time until the whole answer was received
}

// window is the length of the intervals in which received tokens are counted.
const window = 250 * time.Millisecond

const (
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

func newTally(started time.Time, accounts int, length time.Duration) *Tally {
	t := &Tally{
		started: started, failed: map[string]int{}, firstToken: newHistogram(), betweenTokens: newHistogram(),
		refusals: newHistogram(), tokens: make([]int, int(length/window)+400),
	}
	for range accounts {
		t.accounts = append(t.accounts, accountTally{answers: newHistogram()})
	}
	return t
}

// record adds a duration to a histogram, limited to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(d.Microseconds(), maxLatencyMicros)))
}

// runner sends the planned requests of a run.
type runner struct {
	scene  *scene.Scene
	opts   Options
	tally  *Tally
	client *http.Client
	spec   model.Spec
}

const maxIdleConns = 2048

// newRunner returns a runner whose planned times count from started.
func newRunner(s *scene.Scene, o Options, started time.Time) *runner {
	return &runner{
		scene: s, opts: o, spec: s.Spec().Model,
		tally: newTally(started, len(s.Spec().Accounts), o.Warmup+o.Duration),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns, MaxIdleConns: maxIdleConns,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
}

// run sends each request at its planned time and returns when all have ended. If ctx ends while
// requests remain to be sent, it returns without waiting.
func (r *runner) run(ctx context.Context, arrivals []arrival) {
	var tasks task.Group
	for _, a := range arrivals {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.tally.started.Add(a.sendAt))):
		}
		tasks.Start(ctx, "request", func(ctx context.Context) error {
			r.sendAndCheck(ctx, a)
			return nil
		})
	}
	_ = tasks.Wait()
}

// requestResult is the answer or failure of one request. Its durations start at the intended send
// time.
type requestResult struct {
	code       string // error code, empty if it succeeded
	text       string
	firstToken time.Duration
	total      time.Duration // until the end of the answer or the failure
}

// sendAndCheck sends a request and counts its result against the expected answer.
func (r *runner) sendAndCheck(ctx context.Context, a arrival) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Deadline+time.Second)
	defer cancel()
	got := r.stream(ctx, a)
	want := ""
	if got.code == "" {
		want = model.Text(model.Answer(r.spec, "<user> "+a.prompt, uint64(a.seed), a.tokens))
	}
	r.tally.count(a, got, want, r.opts)
}

// count records the result of a request. A useful answer counts if it was completed within the
// measurement: counting by send time would add the backlog that is answered afterwards to the
// throughput of an overloaded fleet. Offered requests, failures and latencies count if the intended
// send time is after the warmup. Wrong and late answers always count.
func (t *Tally) count(a arrival, got requestResult, want string, o Options) {
	t.mu.Lock()
	defer t.mu.Unlock()
	account := &t.accounts[a.account]
	measured := a.sendAt >= o.Warmup
	if measured {
		t.offered++
		account.offered++
	}
	switch {
	case got.code != "":
		if measured {
			t.failed[got.code]++
			record(t.refusals, got.total)
		}
		return
	case got.text != want:
		t.wrong++
		return
	case got.total > o.Deadline:
		t.late++
		return
	}
	if end := a.sendAt + got.total; end >= o.Warmup && end < o.Warmup+o.Duration {
		t.useful++
		account.useful++
	}
	if measured {
		record(account.answers, got.total)
		record(t.firstToken, got.firstToken)
	}
}

// stream sends a request and reads its answer as a stream.
func (r *runner) stream(ctx context.Context, a arrival) requestResult {
	intended := r.tally.started.Add(a.sendAt)
	body := fmt.Sprintf(`{"model":%q,"seed":%d,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`,
		r.spec.Name, a.seed, a.tokens, a.prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.scene.URL(a.daemon)+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return requestResult{code: "request"}
	}
	req.Header.Set("Authorization", "Bearer "+scene.KeyPrefix+r.scene.Spec().Accounts[a.account].Name)
	resp, err := r.client.Do(req)
	if err != nil {
		return requestResult{code: "connection", total: time.Since(intended)}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return requestResult{code: errorCode(json.NewDecoder(resp.Body)), total: time.Since(intended)}
	}
	return r.readStream(bufio.NewReader(resp.Body), a, intended)
}

// errorCode returns the code in an error body, or "unreadable" if there is none.
func errorCode(d *json.Decoder) string {
	var e struct{ Error struct{ Code string } }
	if d.Decode(&e) != nil || e.Error.Code == "" {
		return "unreadable"
	}
	return e.Error.Code
}

// chunk is one event of a streamed answer.
type chunk struct {
	Choices []struct{ Delta struct{ Content string } }
	Error   *struct{ Code string }
}

// readStream reads a streamed answer to its end and counts its tokens.
func (r *runner) readStream(lines *bufio.Reader, a arrival, intended time.Time) requestResult {
	var got requestResult
	var text strings.Builder
	previous := intended
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return requestResult{code: "cut", total: time.Since(intended)}
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			got.text, got.total = text.String(), time.Since(intended)
			return got
		}
		var c chunk
		if json.Unmarshal(data, &c) != nil {
			return requestResult{code: "unreadable", total: time.Since(intended)}
		}
		if c.Error != nil {
			return requestResult{code: c.Error.Code, total: time.Since(intended)}
		}
		if len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
			text.WriteString(c.Choices[0].Delta.Content)
			previous = r.tally.recordToken(a, previous, &got, intended, r.opts.Warmup)
		}
	}
}

// recordToken counts a token that was received now and returns the current time. It records the
// time since the previous token, unless the request was sent during the warmup. For the first
// token it sets got.firstToken instead.
func (t *Tally) recordToken(a arrival, previous time.Time, got *requestResult, intended time.Time, warmup time.Duration) time.Time {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := int(now.Sub(t.started) / window); w < len(t.tokens) {
		t.tokens[w]++
	}
	if got.firstToken == 0 {
		got.firstToken = now.Sub(intended)
	} else if a.sendAt >= warmup {
		record(t.betweenTokens, now.Sub(previous))
	}
	return now
}

// percentile returns a percentile of a histogram in milliseconds.
func percentile(h *hdrhistogram.Histogram, p float64) float64 {
	return math.Round(float64(h.ValueAtQuantile(p))/10) / 100
}
