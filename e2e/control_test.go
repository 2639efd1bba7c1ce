package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/standin/web"
	"spanrill/state/config"
)

// envControl enables the measurements in this file. They take minutes and check
// nothing.
const envControl = "SPANRILL_CONTROL"

// fleetSize is the size of the fleet in one measurement.
type fleetSize struct {
	daemons, engines, accounts int
	editsPerSecond             float64
}

// controlCost is the cost of control traffic, as an average over the daemons unless
// a field says otherwise.
type controlCost struct {
	cpu      float64 // percent of a core
	rss      float64 // MB
	sent     float64 // KB/s
	received float64 // KB/s
	reads    float64 // platform reads and watches per second, whole fleet
	writes   float64 // platform writes per second, whole fleet
	boxes    float64 // box list requests per second, whole fleet
}

const (
	warmupTime  = 4 * time.Second
	measureTime = 8 * time.Second
)

// TestControlCost measures the cost of a daemon without callers for different numbers
// of daemons, engines, accounts and edits.
func TestControlCost(t *testing.T) {
	if os.Getenv(envControl) == "" {
		t.Skipf("a measurement; set %s=1", envControl)
	}
	var sizes []fleetSize
	for _, n := range []int{2, 4, 8, 16, 32} {
		sizes = append(sizes, fleetSize{daemons: n, engines: 42, accounts: 10})
	}
	for _, n := range []int{300, 900, 1800, 3600} {
		sizes = append(sizes, fleetSize{daemons: 4, engines: n, accounts: 10})
	}
	for _, n := range []int{500, 1000, 2000, 4000} {
		sizes = append(sizes, fleetSize{daemons: 4, engines: 42, accounts: n})
	}
	for _, n := range []float64{0.5, 1, 2, 4} {
		sizes = append(sizes, fleetSize{daemons: 4, engines: 42, accounts: 1000, editsPerSecond: n})
	}
	t.Logf("%8s %8s %9s %8s | %8s %8s %10s %10s | %8s %8s %8s", "daemons", "engines", "accounts", "edits/s",
		"cpu %", "rss MB", "sent KB/s", "recv KB/s", "reads/s", "writes/s", "boxes/s")
	for _, size := range sizes {
		c := measureControl(t, size)
		t.Logf("%8d %8d %9d %8.1f | %8.2f %8.1f %10.2f %10.2f | %8.2f %8.2f %8.2f", size.daemons, size.engines, size.accounts, size.editsPerSecond,
			c.cpu, c.rss, c.sent, c.received, c.reads, c.writes, c.boxes)
	}
}

func measureControl(t *testing.T, size fleetSize) controlCost {
	var c controlCost
	t.Run(fmt.Sprintf("%d_%d_%d_%g", size.daemons, size.engines, size.accounts, size.editsPerSecond), func(t *testing.T) {
		f := newFleet(t, shape{daemons: size.daemons, noDaemons: true})
		f.listStubs(size.engines)
		f.addAccounts(size.accounts)
		for name := range f.daemons {
			s := &f.daemons[name].settings
			s.Observe.Boxes, s.Observe.Status = 1000, 500
			s.Placement = true
			f.start(name)
		}
		f.awaitReady(size.daemons)
		<-time.After(warmupTime)
		c = f.measureCost(size)
	})
	return c
}

// listStubs adds n stub engines, which serve only their status report, to the box
// list. All stubs of one layer range share a server.
func (f *fleet) listStubs(n int) {
	var addrs []string
	for _, layers := range testLayers {
		status := spanrill.UpstreamStatus{
			Model: "advice", Version: "1", Layers: layers, Slots: 8, StepMicros: 8000, TokenNanos: 50000,
			Generation: 1, MaxLayers: 12,
		}
		s := web.New(func(ctx *fasthttp.RequestCtx) { web.WriteJSON(ctx, status) })
		addr, err := s.Listen(f.ip + ":0")
		f.check(err)
		f.t.Cleanup(s.Kill)
		addrs = append(addrs, addr)
	}
	for i := range n {
		f.boxes = append(f.boxes, spanrill.Box{
			Name: fmt.Sprintf("stub-%04d", i), Role: spanrill.RoleEngine, Zone: testZone,
			Addr: addrs[i%3], State: spanrill.BoxLive,
		})
	}
	f.platform.SetBoxes(f.boxes)
}

func (f *fleet) addAccounts(n int) {
	docs := map[config.Name]json.RawMessage{}
	for i := range n {
		name := fmt.Sprintf("account-%d", i)
		hash := config.HashKey(name)
		docs[config.Name{Kind: config.KindAccount, Name: name}] = fmt.Appendf(nil,
			`{"name":%q,"template":"keeper","key_hashes":["%x"]}`, name, hash)
	}
	f.commit(docs)
}

// usage is the cumulative usage of all daemons: processor time in ticks and peer
// traffic in bytes.
type usage struct {
	ticks, sent, received float64
}

var (
	sentPattern     = regexp.MustCompile(`spanrill_peer_bytes_sent_total (\d+)`)
	receivedPattern = regexp.MustCompile(`spanrill_peer_bytes_received_total (\d+)`)
	rssPattern      = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)
)

// ticksPerSecond is the number of ticks per second in which /proc reports
// processor time.
const ticksPerSecond = 100

func (f *fleet) measureUsage() usage {
	var u usage
	for _, p := range f.daemons {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		f.check(err)
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		for _, i := range []int{11, 12} { // user and system time, counted from the field after the process name
			n, err := strconv.ParseFloat(fields[i], 64)
			f.check(err)
			u.ticks += n
		}
		_, metrics := get("http://" + p.settings.AdminListen + "/metrics")
		u.sent += matchNumber(sentPattern, metrics)
		u.received += matchNumber(receivedPattern, metrics)
	}
	return u
}

func matchNumber(pattern *regexp.Regexp, text string) float64 {
	m := pattern.FindStringSubmatch(text)
	if m == nil {
		return 0
	}
	n, _ := strconv.ParseFloat(m[1], 64)
	return n
}

func (f *fleet) measureCost(size fleetSize) controlCost {
	callsBefore, usageBefore := f.platform.Calls(), f.measureUsage()
	f.editFor(measureTime, size.editsPerSecond)
	usageAfter, callsAfter := f.measureUsage(), f.platform.Calls()
	seconds, daemons := measureTime.Seconds(), float64(len(f.daemons))
	c := controlCost{
		cpu:      100 * (usageAfter.ticks - usageBefore.ticks) / ticksPerSecond / seconds / daemons,
		sent:     (usageAfter.sent - usageBefore.sent) / 1000 / seconds / daemons,
		received: (usageAfter.received - usageBefore.received) / 1000 / seconds / daemons,
		reads:    float64(callsAfter.Reads+callsAfter.Watches-callsBefore.Reads-callsBefore.Watches) / seconds,
		writes:   float64(callsAfter.Writes-callsBefore.Writes) / seconds,
		boxes:    float64(callsAfter.Boxes-callsBefore.Boxes) / seconds,
	}
	for _, p := range f.daemons {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		f.check(err)
		c.rss += matchNumber(rssPattern, string(status)) / 1000 / daemons
	}
	return c
}

// editFor edits accounts at a steady rate for the duration d.
func (f *fleet) editFor(d time.Duration, perSecond float64) {
	end := time.After(d)
	if perSecond == 0 {
		<-end
		return
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-end:
			return
		case <-tick.C:
			f.editAccount(i)
		}
	}
}

// TestTokenCost measures the processor time that a daemon spends per token and
// per call of a plain service.
func TestTokenCost(t *testing.T) {
	if os.Getenv(envControl) == "" {
		t.Skipf("a measurement; set %s=1", envControl)
	}
	speed := testSpeed
	speed.Slots, speed.BaseTime = 128, time.Millisecond
	f := newFleet(t, shape{daemons: 1, enginesPerStage: 2, services: 1, speed: speed})
	const callers, tokens, calls = 64, 300, 2000
	before := f.measureUsage()
	complete := f.askConcurrently(callers, tokens, nil)
	after := f.measureUsage()
	micros := (after.ticks - before.ticks) / ticksPerSecond * 1e6
	t.Logf("%d complete answers of %d tokens: %.0f us per token", complete, tokens, micros/callers/tokens)
	before = f.measureUsage()
	for i := range calls {
		f.postReading("d1", strconv.Itoa(i), "")
	}
	after = f.measureUsage()
	micros = (after.ticks - before.ticks) / ticksPerSecond * 1e6
	t.Logf("%d calls of a plain service: %.0f us per call", calls, micros/calls)
}
