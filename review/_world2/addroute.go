package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"spanrill/platform/platformtest"
)

const (
	// addRouteEvents and addRouteInterval are those of a usual answer: 86 events, far below the pause of
	// 200 ms that the sheet allows.
	addRouteEvents   = 86
	addRouteInterval = 50 * time.Millisecond
	addRouteClients  = 6 // of each route
	addRouteTime     = 30 * time.Second
	// settleTime is how long clients wait after the confirmation of the manifest, longer than
	// config_apply_ms of 2,000 and contact_ms of 3,000.
	settleTime = 5 * time.Second
)

// tally counts the streams of a route.
type tally struct{ sent, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// playAddRoute plays a manifest that adds a stream route to a service without engine figures, and
// compares how often streams are served on the first route and on the added one.
func (w *world) playAddRoute() (broken string, err error) {
	w.fleet.Events, w.fleet.EventInterval = addRouteEvents, addRouteInterval
	textEvents, textInterval = addRouteEvents, addRouteInterval
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.writeManifest(2, false, platformtest.Route("texts", textPath, textServiceName, "stream", 20000,
			map[string]any{"sticky": true, "stream_resume": true, "gap_aim_ms": 200, "target_latency_ms": 500}))
	}
	time.Sleep(settleTime)
	first, added := tally{}, tally{}
	var clients sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(addRouteTime)
	play := func(route string, t *tally, client int) {
		defer clients.Done()
		for n := 0; time.Now().Before(end); n++ {
			c := streamCall{daemon: w.daemons[(client+n)%len(w.daemons)], path: route, id: fmt.Sprintf("%s-%d-%d", route[1:len(route)-1], client, n)}
			r := w.stream(c)
			w.record.printf("stream %s: %s", c.id, r.describe())
			mu.Lock()
			t.sent++
			if r.status == http.StatusOK && r.err == nil && len(r.ids) == addRouteEvents {
				t.served++
			}
			mu.Unlock()
		}
	}
	for client := range addRouteClients {
		clients.Add(1)
		go play(platformtest.StreamPath, &first, client)
		if w.trouble {
			clients.Add(1)
			go play(textPath, &added, client)
		}
	}
	clients.Wait()
	runs, written := int64(0), int64(0)
	for _, s := range w.texts {
		runs, written = runs+s.runs.Load(), written+s.served.Load()
	}
	w.record.printf("first route: %d of %d streams served; added route: %d of %d served, %d run by its service, %d to their end", first.served, first.sent, added.served, added.sent, runs, written)
	if first.sent < 20 || first.share() < 0.9 || w.trouble && added.sent < 20 {
		return "", fmt.Errorf("too few streams")
	}
	if w.trouble && added.share() < first.share()/4 {
		return fmt.Sprintf("CONFIG: %.2f of %d requests on the added route were served, %.2f of %d on the first one", added.share(), added.sent, first.share(), first.sent), nil
	}
	return "", nil
}
