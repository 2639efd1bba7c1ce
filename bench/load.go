// Package bench measures a fleet of spanrill daemons before stand-ins.
//
// Requests arrive open loop: at times that were drawn in advance and do not
// wait for answers, so that a slow fleet is not offered less. Latencies are
// taken from the intended send time. Every answer is compared with the one
// computed in one place; one that differs, is late or is cut counts nothing.
//
// # Usage
//
//	report, err := bench.Throughput(ctx, scene.Quebec(), bench.Options{Load: 0.9})
//	report.WriteTable(os.Stdout)
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

// Options says what is offered.
type Options struct {
	Load     float64       // offered, as a part of the bound
	Duration time.Duration // of the measurement
	Warmup   time.Duration // before it
	Mix      Mix
	Seed     uint64
	Deadline time.Duration // an answer that is later counts nothing
	Shares   []float64     // of the accounts in the offered load; empty: equal
	Steady   bool          // arrivals at equal distances, so that a dip is the fault's
}

// withDefaults fills in what is left out.
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

// arrival is one request of the plan.
type arrival struct {
	at      time.Duration // after the start
	daemon  int
	account int
	prompt  string
	seed    int
	tokens  int
}

// plan draws the requests of a whole run.
func plan(s *scene.Scene, o Options, perSecond float64) []arrival {
	r := rand.New(rand.NewPCG(o.Seed, 0))
	var all []arrival
	end := (o.Warmup + o.Duration).Seconds()
	for at := gap(r, o, perSecond); at < end; at += gap(r, o, perSecond) {
		all = append(all, arrival{
			at:      time.Duration(at * float64(time.Second)),
			daemon:  len(all) % len(s.Daemons()),
			account: pickAccount(r, o.Shares, len(s.Spec().Accounts)),
			prompt:  prompt(r, o.Mix, len(all)),
			seed:    len(all) + 1,
			tokens:  tokens(r, o, len(all)),
		})
	}
	return all
}

// gap returns the time until the next request, in seconds.
func gap(r *rand.Rand, o Options, perSecond float64) float64 {
	if o.Steady {
		return 1 / perSecond
	}
	return r.ExpFloat64() / perSecond
}

// tokens returns the length of the n-th answer.
func tokens(r *rand.Rand, o Options, n int) int {
	span := o.Mix.MaxTokens - o.Mix.MinTokens + 1
	if o.Steady {
		return o.Mix.MinTokens + n*7%span
	}
	return o.Mix.MinTokens + r.IntN(span)
}

func pickAccount(r *rand.Rand, shares []float64, accounts int) int {
	if len(shares) == 0 {
		return r.IntN(accounts)
	}
	x := r.Float64()
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// prompt begins like many others and ends like none.
func prompt(r *rand.Rand, m Mix, n int) string {
	shared := r.IntN(m.Prompts)
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

// Tally counts what a run delivered. Its histograms are in microseconds.
type Tally struct {
	mu       sync.Mutex
	started  time.Time
	offered  int
	useful   int
	wrong    int
	late     int
	failed   map[string]int // by code
	tokens   []int          // delivered in each window
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	refusal  *hdrhistogram.Histogram // time until a refusal
	accounts []accountTally
}

// accountTally counts for one account.
type accountTally struct {
	offered int
	useful  int
	whole   *hdrhistogram.Histogram
}

// window is the length of the windows in which tokens are counted.
const window = 250 * time.Millisecond

const (
	highestMicros = 120_000_000
	digits        = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMicros, digits) }

func newTally(started time.Time, accounts int, whole time.Duration) *Tally {
	t := &Tally{
		started: started, failed: map[string]int{}, first: newHistogram(), between: newHistogram(),
		refusal: newHistogram(), tokens: make([]int, int(whole/window)+400),
	}
	for range accounts {
		t.accounts = append(t.accounts, accountTally{whole: newHistogram()})
	}
	return t
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(d.Microseconds(), highestMicros)))
}

// runner sends the requests of a plan.
type runner struct {
	scene  *scene.Scene
	opts   Options
	tally  *Tally
	client *http.Client
	spec   model.Spec
}

const maxIdleConns = 2048

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

// run sends every request at its time and returns when all have ended.
func (r *runner) run(ctx context.Context, arrivals []arrival) {
	var tasks task.Group
	for _, a := range arrivals {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.tally.started.Add(a.at))):
		}
		tasks.Start(ctx, "request", func(ctx context.Context) error {
			r.send(ctx, a)
			return nil
		})
	}
	_ = tasks.Wait()
}

// outcome is how one request ended.
type outcome struct {
	code  string // why it failed, or ""
	text  string
	first time.Duration
	whole time.Duration
}

func (r *runner) send(ctx context.Context, a arrival) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Deadline+time.Second)
	defer cancel()
	out := r.ask(ctx, a)
	want := ""
	if out.code == "" {
		want = model.Text(model.Answer(r.spec, "<user> "+a.prompt, uint64(a.seed), a.tokens))
	}
	r.tally.count(a, out, want, r.opts)
}

// count takes the end of a request. What was delivered counts by the time at
// which it was whole, and all else by the time at which it was to be sent: after
// an overload the answers of the backlog would count for more than was carried.
func (t *Tally) count(a arrival, out outcome, want string, o Options) {
	t.mu.Lock()
	defer t.mu.Unlock()
	account := &t.accounts[a.account]
	measured := a.at >= o.Warmup
	if measured {
		t.offered++
		account.offered++
	}
	switch {
	case out.code != "":
		if measured {
			t.failed[out.code]++
			record(t.refusal, out.whole)
		}
		return
	case out.text != want:
		t.wrong++
		return
	case out.whole > o.Deadline:
		t.late++
		return
	}
	if end := a.at + out.whole; end >= o.Warmup && end < o.Warmup+o.Duration {
		t.useful++
		account.useful++
	}
	if measured {
		record(account.whole, out.whole)
		record(t.first, out.first)
	}
}

// ask streams one answer. Times count from the intended send time.
func (r *runner) ask(ctx context.Context, a arrival) outcome {
	intended := r.tally.started.Add(a.at)
	body := fmt.Sprintf(`{"model":%q,"seed":%d,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`,
		r.spec.Name, a.seed, a.tokens, a.prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.scene.URL(a.daemon)+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return outcome{code: "request"}
	}
	req.Header.Set("Authorization", "Bearer "+scene.KeyPrefix+r.scene.Spec().Accounts[a.account].Name)
	resp, err := r.client.Do(req)
	if err != nil {
		return outcome{code: "connection", whole: time.Since(intended)}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return outcome{code: errorCode(json.NewDecoder(resp.Body)), whole: time.Since(intended)}
	}
	return r.read(bufio.NewReader(resp.Body), a, intended)
}

func errorCode(d *json.Decoder) string {
	var e struct{ Error struct{ Code string } }
	if d.Decode(&e) != nil || e.Error.Code == "" {
		return "unreadable"
	}
	return e.Error.Code
}

// chunk is one event of a stream.
type chunk struct {
	Choices []struct{ Delta struct{ Content string } }
	Error   *struct{ Code string }
}

func (r *runner) read(lines *bufio.Reader, a arrival, intended time.Time) outcome {
	var out outcome
	var text strings.Builder
	last := intended
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return outcome{code: "cut", whole: time.Since(intended)}
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			out.text, out.whole = text.String(), time.Since(intended)
			return out
		}
		var c chunk
		if json.Unmarshal(data, &c) != nil {
			return outcome{code: "unreadable", whole: time.Since(intended)}
		}
		if c.Error != nil {
			return outcome{code: c.Error.Code, whole: time.Since(intended)}
		}
		if len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
			text.WriteString(c.Choices[0].Delta.Content)
			last = r.tally.token(a, last, &out, intended, r.opts.Warmup)
		}
	}
}

// token counts one token and returns its time.
func (t *Tally) token(a arrival, last time.Time, out *outcome, intended time.Time, warmup time.Duration) time.Time {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := int(now.Sub(t.started) / window); w < len(t.tokens) {
		t.tokens[w]++
	}
	if out.first == 0 {
		out.first = now.Sub(intended)
	} else if a.at >= warmup {
		record(t.between, now.Sub(last))
	}
	return now
}

// percentile returns a percentile of a histogram in milliseconds.
func percentile(h *hdrhistogram.Histogram, p float64) float64 {
	return math.Round(float64(h.ValueAtQuantile(p))/10) / 100
}
