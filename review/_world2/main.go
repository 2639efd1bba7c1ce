// Command world2 is everything around the daemons in the scripts of review/4 and later: the platform's
// store, engines, plain services and clients. It writes the settings of the daemons into a folder, waits
// until the script has started them, plays one scenario and exits with 1 if the rule was broken, with 0
// if it held, and with 2 if the case could not run.
//
//	world2 -scenario resume -dir DIR -record FILE [-trouble=false]
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"spanrill/platform/platformtest"
)

// Exit codes of a script.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// world is the surroundings of the daemons.
type world struct {
	dir     string
	trouble bool
	record  *record
	store   *platformtest.Store
	fleet   *platformtest.Fleet
	mu      sync.Mutex // guards engines and fronts
	engines []*platformtest.Engine
	fronts  []*engineFront // of the engines, in the scenario "crash"
	texts   []*textService
	daemons []*daemon
}

// daemon is a daemon that the script starts, and the proxy between it and its clients.
type daemon struct {
	name  string
	ready string
	proxy *proxy
}

const (
	layers      = 12
	daemonCount = 3
	heartbeat   = 1200 * time.Millisecond
	startLimit  = 30 * time.Second
	runLimit    = 110 * time.Second
)

func main() {
	scenario := flag.String("scenario", "", "resume, crash or addroute")
	dir := flag.String("dir", "", "folder for settings")
	recordFile := flag.String("record", "record.txt", "file for what was seen")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	time.AfterFunc(runLimit, func() { os.Exit(exitCannotRun) })
	os.Exit(run(*scenario, *dir, *recordFile, *trouble))
}

func run(scenario, dir, recordFile string, trouble bool) int {
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.close()
	w := &world{dir: dir, trouble: trouble, record: rec}
	play := map[string]func() (broken string, err error){"resume": w.playResume, "addroute": w.playAddRoute, "crash": w.playCrash}[scenario]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown scenario")
		return exitCannotRun
	}
	if err := w.start(scenario); err != nil {
		rec.printf("cannot run: %v", err)
		return exitCannotRun
	}
	broken, err := play()
	switch {
	case err != nil:
		rec.printf("cannot run: %v", err)
		return exitCannotRun
	case broken != "":
		rec.printf("BROKEN: %s", broken)
		return exitBroken
	}
	rec.printf("held")
	return exitHeld
}

// start starts the store, the engines and the plain services, writes the first manifest and the daemons'
// settings, and waits until the daemons are ready.
func (w *world) start(scenario string) error {
	w.store = platformtest.NewStore()
	storeAddr, err := w.store.Listen()
	if err != nil {
		return err
	}
	w.fleet = platformtest.NewFleet(w.store, layers)
	for i := range 8 {
		e, err := w.fleet.Start(fmt.Sprintf("i-%02d", i), platformtest.ModelService, fmt.Sprintf("zone-%d", i/4), "card")
		if err != nil {
			return err
		}
		w.engines = append(w.engines, e)
		if scenario != "crash" {
			continue
		}
		front, err := startEngineFront(w.fleet, e, w.record)
		if err != nil {
			return err
		}
		w.fronts = append(w.fronts, front)
	}
	for i := range 2 {
		s, err := startTextService(fmt.Sprintf("t-%d", i), w.record)
		if err != nil {
			return err
		}
		w.texts = append(w.texts, s)
	}
	w.writeEntries()
	go func() {
		for range time.Tick(heartbeat) {
			w.writeEntries()
		}
	}()
	w.writeManifest(1, scenario == "resume")
	if err := w.writeSettings(storeAddr); err != nil {
		return err
	}
	return w.awaitDaemons()
}

// writeEntries writes the liveness reports of all engines and services.
func (w *world) writeEntries() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, e := range w.engines {
		if len(w.fronts) == 0 || !w.fronts[i].hasEnded() {
			e.WriteEntry("ready")
		}
	}
	for i, s := range w.texts {
		s.beats++
		w.store.Set("servers", s.id, map[string]any{
			"service": textServiceName, "address": s.addr, "zone": fmt.Sprintf("zone-%d", i), "version": "v1", "slots": 64,
			"state": "ready", "cold_remaining_ms": 0, "sequence": s.beats,
		})
	}
}

const (
	textServiceName = "texts"
	textPath        = "/texts/"
	apiKey          = "key-one"
)

// writeManifest writes a manifest. With split, a tenth of the stream route goes to the service without
// engine figures, as in the example that `fleetbench wire` prints.
func (w *world) writeManifest(version int, split bool, extraRoutes ...any) {
	m := platformtest.Configuration(version, layers, []string{apiKey}, 20000)
	routes := m["routes"].([]any)
	if split {
		first := routes[0].(map[string]any)
		delete(first, "service")
		first["traffic_split"] = []any{
			map[string]any{"service": platformtest.ModelService, "weight": 90},
			map[string]any{"service": textServiceName, "weight": 10},
		}
	}
	m["routes"] = append(routes, extraRoutes...)
	m["services"] = append(m["services"].([]any), map[string]any{"name": textServiceName, "health_path": "/healthz", "max_connections": 500})
	w.store.Set("config", "main", m)
	w.record.printf("manifest %d written", version)
}

// writeSettings chooses the addresses of the daemons and writes their settings, in the form of
// deploy/settings.json.tmpl.
func (w *world) writeSettings(storeAddr string) error {
	var addrs [daemonCount][]string
	var seeds []string
	for i := range addrs {
		var err error
		if addrs[i], err = freeAddrs(i, portsPerDaemon); err != nil {
			return err
		}
		seeds = append(seeds, addrs[i][2])
	}
	for i, a := range addrs {
		d := &daemon{name: fmt.Sprintf("front-%d", i), ready: a[1]}
		settings := map[string]any{
			"name": d.name, "availability_zone": fmt.Sprintf("zone-%d", i), "listen": a[0], "ready_listen": a[1],
			"peer_listen": a[2], "metrics_listen": a[3], "tunnel_listen": a[4], "peers": seeds, "platform": storeAddr,
			"fleet_secret": "a secret for this run alone", "memory_mb": 284, "descriptors": 4100, "cpu_share": 0.4, "cores": 1,
			"bounds": map[string]any{
				"apply_ms": 2000, "revoke_ms": 5000, "grace_ms": 8000, "drain_ms": 2000,
				"retry_ratio": 0.2, "retry_slack": 200, "retry_window_ms": 10000,
			},
		}
		data, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(w.dir, d.name+".json"), data, 0o600); err != nil {
			return err
		}
		if d.proxy, err = startProxy(a[0]); err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
	}
	return os.WriteFile(filepath.Join(w.dir, "settings-written"), nil, 0o600)
}

const (
	portsPerDaemon = 5
	// firstPort is below the ephemeral ports of the operating system, so that no outgoing connection has
	// taken the port of a daemon when that starts.
	firstPort = 21000
)

// freeAddrs returns addresses for a daemon that are free now. The loopback address depends on the process
// id, so that two scripts can run at the same time.
func freeAddrs(daemon, n int) ([]string, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&0x3f, pid>>8&0xff, 1+pid&0x7f)
	var addrs []string
	for port := firstPort + 100*daemon; len(addrs) < n; port++ {
		if port >= firstPort+100*(daemon+1) {
			return nil, fmt.Errorf("no free ports at %s", host)
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			continue
		}
		addrs = append(addrs, ln.Addr().String())
		_ = ln.Close()
	}
	return addrs, nil
}

// awaitDaemons waits until all daemons are ready and serve a stream.
func (w *world) awaitDaemons() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startLimit); ; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("the daemons do not serve %v after their start", startLimit)
		}
		if w.allReady(client) {
			w.record.printf("all daemons are ready")
			return nil
		}
	}
}

func (w *world) allReady(client *http.Client) bool {
	for _, d := range w.daemons {
		resp, err := client.Get("http://" + d.ready + "/api/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	served := make(chan bool, len(w.daemons))
	for i, d := range w.daemons {
		go func() {
			r := w.stream(streamCall{daemon: d, path: platformtest.StreamPath, id: fmt.Sprintf("first-%d-%d", i, time.Now().UnixNano())})
			served <- r.status == http.StatusOK && r.err == nil
		}()
	}
	for range w.daemons {
		if !<-served {
			return false
		}
	}
	return true
}
