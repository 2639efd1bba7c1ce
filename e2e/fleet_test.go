package e2e

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"spanrill"
	"spanrill/daemon"
	"spanrill/protocol/objectapi"
	"spanrill/settings"
	"spanrill/standin/engine"
	"spanrill/standin/faultproxy"
	"spanrill/standin/model"
	"spanrill/standin/platform"
	"spanrill/standin/service"
	"spanrill/state/config"
	"spanrill/transport/httpcall"
)

// fleet is a complete installation: daemons as separate processes, and stand-ins
// for the platform and the upstreams behind fault-injecting proxies.
type fleet struct {
	t             *testing.T
	ip            string
	platform      *platform.Platform
	platformAddr  string
	platformProxy *faultproxy.Proxy // between daemons and platform
	engines       map[string]*engine.Engine
	services      map[string]*service.Service
	proxies       map[string]*faultproxy.Proxy // by upstream name
	daemons       map[string]*process
	mu            sync.Mutex
	boxes         []spanrill.Box
	spec          model.Spec
}

// process is one daemon process.
type process struct {
	name     string
	settings settings.Settings
	cmd      *exec.Cmd
	exited   chan error
	logs     *os.File
}

const (
	testZone   = "hall-un"
	testKey    = "key-of-rucher"
	testSecret = "sixteen-or-more-chars"
	maxTokens  = 400
)

// shape sets the size and properties of a fleet.
type shape struct {
	daemons         int
	enginesPerStage int // engines for each of the three stages
	services        int
	boxLag          time.Duration // until the box list shows a change
	speed           engine.Accelerator
	noDaemons       bool   // whether the test starts the daemons itself
	limits          string // limits in the account template as JSON, "" for none
}

var testSpeed = engine.Accelerator{Kind: "t", Slots: 32, BaseTime: 2 * time.Millisecond, PositionLayerTime: time.Microsecond, MaxLayers: 24}

var testLayers = []spanrill.LayerRange{{From: 0, To: 8}, {From: 8, To: 16}, {From: 16, To: 24}}

// newFleet starts a fleet and, unless noDaemons is set, waits until its daemons
// are ready and know one another.
func newFleet(t *testing.T, s shape) *fleet {
	t.Helper()
	if s.speed.Slots == 0 {
		s.speed = testSpeed
	}
	f := &fleet{
		t: t, ip: nextIP(), engines: map[string]*engine.Engine{}, services: map[string]*service.Service{},
		proxies: map[string]*faultproxy.Proxy{}, daemons: map[string]*process{},
		spec: model.Spec{Name: "advice", Version: "1", Layers: 24},
	}
	f.startPlatform(s)
	for stage, layers := range testLayers {
		for i := range s.enginesPerStage {
			f.addEngine(fmt.Sprintf("e%d%c", stage+1, 'a'+i), layers, s.speed)
		}
	}
	for i := range s.services {
		f.addService(fmt.Sprintf("s%d", i+1))
	}
	for i := range s.daemons {
		f.addDaemon(fmt.Sprintf("d%d", i+1), i)
	}
	f.platform.SetBoxes(f.boxes)
	f.configure(s.limits)
	if s.noDaemons {
		return f
	}
	for name := range f.daemons {
		f.start(name)
	}
	f.awaitReady(s.daemons)
	return f
}

func (f *fleet) check(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) startPlatform(s shape) {
	f.platform = platform.New(platform.WithBoxLag(s.boxLag))
	addr, err := f.platform.Listen(f.ip + ":7000")
	f.check(err)
	f.platformProxy = faultproxy.New(addr)
	f.platformAddr, err = f.platformProxy.Listen(f.ip + ":7001")
	f.check(err)
	f.t.Cleanup(func() { f.platformProxy.Close(); f.platform.Close() })
}

// listBehindProxy starts a proxy in front of an upstream and adds the upstream to
// the boxes with the address of the proxy.
func (f *fleet) listBehindProxy(b spanrill.Box, addr string) {
	p := faultproxy.New(addr)
	proxyAddr, err := p.Listen(f.ip + ":0")
	f.check(err)
	f.t.Cleanup(p.Close)
	f.proxies[b.Name] = p
	b.Addr, b.Zone, b.State = proxyAddr, testZone, spanrill.BoxLive
	f.boxes = append(f.boxes, b)
}

func (f *fleet) addEngine(name string, layers spanrill.LayerRange, speed engine.Accelerator) {
	e := engine.New(name, engine.WithModel(f.spec, layers), engine.WithAccelerator(speed), engine.WithReportLag(100*time.Millisecond))
	addr, err := e.Listen(f.ip + ":0")
	f.check(err)
	f.t.Cleanup(e.Close)
	f.engines[name] = e
	f.listBehindProxy(spanrill.Box{Name: name, Role: spanrill.RoleEngine}, addr)
}

func (f *fleet) addService(name string) {
	s := service.New(name)
	addr, err := s.Listen(f.ip + ":0")
	f.check(err)
	f.t.Cleanup(s.Close)
	f.services[name] = s
	f.listBehindProxy(spanrill.Box{Name: name, Role: spanrill.RoleService, Service: "readings"}, addr)
}

func (f *fleet) addDaemon(name string, i int) {
	s := settings.Default()
	s.Name, s.Zone, s.Platform, s.FleetSecret = name, testZone, f.platformAddr, testSecret
	s.Listen = fmt.Sprintf("%s:%d", f.ip, 9001+i)
	s.AdminListen = fmt.Sprintf("%s:%d", f.ip, 9201+i)
	s.PeerListen = fmt.Sprintf("%s:%d", f.ip, 9401+i)
	s.Seed = uint64(i) + 1
	s.Drain.Notice = 200
	s.Waits.FirstToken, s.Waits.Token, s.Waits.Service = 3000, 500, 2000
	s.Observe.Boxes, s.Observe.Status = 200, 200
	f.daemons[name] = &process{name: name, settings: s}
	f.boxes = append(f.boxes, spanrill.Box{
		Name: name, Role: spanrill.RoleEntry, Zone: testZone, State: spanrill.BoxLive,
		Addr: s.Listen, PeerAddr: s.PeerListen, AdminAddr: s.AdminListen,
	})
}

// start starts the process of a daemon. After a failed test its log is printed.
func (f *fleet) start(name string) {
	p := f.daemons[name]
	data, err := p.settings.JSON()
	f.check(err)
	dir := f.t.TempDir()
	file := filepath.Join(dir, name+".json")
	f.check(os.WriteFile(file, data, 0o600))
	p.logs, err = os.Create(filepath.Join(dir, name+".log"))
	f.check(err)
	p.cmd = exec.Command("spanrilld", "--settings", file)
	p.cmd.Stdout, p.cmd.Stderr = p.logs, p.logs
	f.check(p.cmd.Start())
	exited := make(chan error, 1)
	p.exited = exited
	cmd := p.cmd
	go func() { exited <- cmd.Wait() }()
	f.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		if f.t.Failed() {
			logs, _ := os.ReadFile(p.logs.Name())
			f.t.Logf("logs of %s:\n%s", name, tail(logs, 6000))
		}
	})
}

func tail(b []byte, n int) []byte { return b[max(0, len(b)-n):] }

func (f *fleet) signal(name string, s syscall.Signal) {
	f.t.Helper()
	f.check(f.daemons[name].cmd.Process.Signal(s))
}

// awaitExit waits until a daemon exits and checks that it exits without an error.
func (f *fleet) awaitExit(name string) {
	f.t.Helper()
	select {
	case err := <-f.daemons[name].exited:
		f.check(err)
	case <-time.After(awaitLimit):
		f.t.Fatalf("%s did not exit in time", name)
	}
}

// awaitReady waits until all daemons are ready and each knows at least the given
// number of daemons, including itself.
func (f *fleet) awaitReady(peers int) {
	f.t.Helper()
	for name := range f.daemons {
		f.await(name+" is ready", func() bool {
			s, err := f.status(name)
			return err == nil && s.Ready && len(s.Peers) >= peers
		})
	}
}

// await waits until a condition holds and fails the test after awaitLimit.
func (f *fleet) await(condition string, isMet func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(awaitLimit)
	for !isMet() {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met in time: %s", condition)
		}
		<-time.After(10 * time.Millisecond)
	}
}

func (f *fleet) status(name string) (daemon.Status, error) {
	var s daemon.Status
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.daemons[name].settings.AdminListen+"/status", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// storeClient returns a client of the store that bypasses the fault-injecting
// proxy.
func (f *fleet) storeClient() *objectapi.Client { return objectapi.New(f.ip+":7000", httpcall.New()) }

// commit commits an edit and returns its revision.
func (f *fleet) commit(docs map[config.Name]json.RawMessage) uint64 {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), awaitLimit)
	defer cancel()
	edit, err := config.NewEditor(f.storeClient()).Commit(ctx, config.Change{Author: "test", Documents: docs})
	f.check(err)
	return edit.Revision
}

// configure commits the initial configuration: a model, a site, an account template
// with the limits and an account with testKey.
func (f *fleet) configure(limits string) {
	if limits == "" {
		limits = "{}"
	}
	hash := config.HashKey(testKey)
	f.commit(map[config.Name]json.RawMessage{
		{Kind: config.KindModel, Name: "advice"}: json.RawMessage(`{"name":"advice","version":"1","layers":24}`),
		{Kind: config.KindSite, Name: "quebec"}:  json.RawMessage(`{"name":"quebec","availability_zones":["hall-un"],"fences":"all"}`),
		{Kind: config.KindTemplate, Name: "keeper"}: json.RawMessage(`{"name":"keeper",
			"models":[{"model":"advice","priority":5,"site":"quebec","max_tokens":400}],
			"services":[{"service":"readings","site":"quebec","calls":[
				{"method":"POST","path":"/readings"},{"method":"GET","path":"/readings/*","repeatable":true}]}],
			"limits":` + limits + `}`),
		{Kind: config.KindAccount, Name: "rucher"}: json.RawMessage(
			`{"name":"rucher","template":"keeper","key_hashes":["` + hex.EncodeToString(hash[:]) + `"]}`),
	})
}

// answer is the answer that a caller received.
type answer struct {
	status  int
	outcome string
	header  http.Header
	body    []byte
	err     error
}

// client opens a new connection for each request, as the platform's balancer
// may.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}

// call sends a request to one daemon, with testKey unless the headers contain
// another Authorization.
func (f *fleet) call(name, method, path string, headers map[string]string, body string) answer {
	req, err := http.NewRequest(method, "http://"+f.daemons[name].settings.Listen+path, bytes.NewBufferString(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, outcome: resp.Header.Get("Spanrill-Outcome"),
		header: resp.Header, body: respBody, err: err,
	}
}

// postReading sends a reading to the plain service, with an idempotency key unless
// key is "".
func (f *fleet) postReading(name, id, key string) answer {
	headers := map[string]string{}
	if key != "" {
		headers["Idempotency-Key"] = key
	}
	return f.call(name, http.MethodPost, "/services/readings/readings", headers, `{"id":"`+id+`"}`)
}

// runCount returns how often all upstreams of the service together ran a reading.
func (f *fleet) runCount(id string) int {
	n := 0
	for _, s := range f.services {
		n += s.Runs()[id]
	}
	return n
}

// chat is one chat request.
type chat struct {
	prompt string
	seed   int
	tokens int
	stream bool
}

func (c chat) body() string {
	return fmt.Sprintf(`{"model":"advice","seed":%d,"max_tokens":%d,"stream":%v,"messages":[{"role":"user","content":%q}]}`,
		c.seed, c.tokens, c.stream, c.prompt)
}

// wantText returns the expected text, computed by the model stand-in in this
// process.
func (f *fleet) wantText(c chat) string {
	return model.Text(model.Answer(f.spec, "<user> "+c.prompt, uint64(c.seed), c.tokens))
}

// ask sends a chat and returns the text and whether the answer is complete.
func (f *fleet) ask(name string, c chat) (text string, complete bool, a answer) {
	a = f.call(name, http.MethodPost, "/v1/chat/completions", nil, c.body())
	if a.err != nil || a.status != http.StatusOK {
		return "", false, a
	}
	text, complete = parseChat(a.body, c.stream)
	return text, complete, a
}

// parseChat returns the text of an answer and whether the answer is complete: a stream
// must end with [DONE], any other answer must have a text.
func parseChat(body []byte, stream bool) (text string, complete bool) {
	for _, line := range bytes.Split(body, []byte("\n")) {
		line = bytes.TrimPrefix(line, []byte("data: "))
		if bytes.Equal(line, []byte("[DONE]")) {
			return text, true
		}
		var c struct {
			Choices []struct {
				Message struct{ Content string }
				Delta   struct{ Content string }
			}
		}
		if json.Unmarshal(line, &c) == nil && len(c.Choices) > 0 {
			text += c.Choices[0].Message.Content + c.Choices[0].Delta.Content
		}
	}
	return text, !stream && text != ""
}
