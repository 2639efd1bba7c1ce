package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"spanrill/platform/platformtest"
)

const (
	// streamEvents and passInterval are a usual answer of 86 events, with pauses below the 200 ms that the
	// sheet allows.
	streamEvents = 86
	passInterval = 60 * time.Millisecond
)

// playStreams plays clients that send one stream after another, beside the given troubles, and checks
// that no stream ends as complete before its last event.
func (w *world) playStreams(count int, troubles func()) (broken string, err error) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	streams, whole, short := 0, 0, 0
	for c := range count {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(c) * 4 * time.Second / time.Duration(count))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				call := streamCall{daemon: w.daemons[(c+n)%len(w.daemons)], path: platformtest.StreamPath, id: fmt.Sprintf("c%d-%d", c, n)}
				r := w.stream(call)
				w.record.printf("stream %s: %s", call.id, r.describe())
				mu.Lock()
				streams++
				switch complete := r.status == http.StatusOK && r.err == nil; {
				case complete && len(r.ids) == streamEvents:
					whole++
				case complete:
					short++
					if broken == "" {
						broken = fmt.Sprintf("%s ended as complete after event %d of %d", call.id, len(r.ids), streamEvents)
					}
				}
				mu.Unlock()
				if r.status != http.StatusOK {
					time.Sleep(max(r.retryAfter, minPause))
				}
			}
		}()
	}
	troubles()
	close(stop)
	clients.Wait()
	w.record.printf("%d streams, %d whole, %d that ended as complete too early", streams, whole, short)
	if whole < count {
		return "", fmt.Errorf("too few whole streams")
	}
	if broken != "" {
		broken = fmt.Sprintf("ORDER, %d of %d streams: first %s", short, streams, broken)
	}
	return broken, nil
}

// minPause is the shortest pause of a client after an attempt that was not served.
const minPause = 300 * time.Millisecond

// busiestFront returns the engine on which most streams run as the first of their path.
func (w *world) busiestFront() *engineFront {
	w.mu.Lock()
	defer w.mu.Unlock()
	var busiest *engineFront
	for _, f := range w.fronts {
		if !f.hasEnded() && (busiest == nil || f.runningStreams() > busiest.runningStreams()) {
			busiest = f
		}
	}
	return busiest
}

const (
	crashClients = 150
	crashes      = 15
	// removedAfter and backAfter are when the entry of a crashed engine goes, after three liveness reports,
	// and when another engine comes in its place: for_s of srv_crash is 4.5.
	removedAfter = 3600 * time.Millisecond
	backAfter    = 4500 * time.Millisecond
	crashPause   = 5200 * time.Millisecond
)

// playCrash plays engines that crash, one at a time, each of them shortly after one of its passes.
func (w *world) playCrash() (broken string, err error) {
	return w.playStreams(crashClients, func() {
		time.Sleep(6 * time.Second)
		for n := range crashes {
			if w.trouble {
				f := w.busiestFront()
				f.crash()
				time.AfterFunc(removedAfter, func() { w.store.Remove("servers", f.engine.ID) })
				time.AfterFunc(backAfter, func() { w.startEngine(fmt.Sprintf("j-%02d", n), f.engine.Zone) })
			}
			time.Sleep(crashPause)
		}
	})
}

// startEngine starts an engine with an address of its own in front of it.
func (w *world) startEngine(id, zone string) {
	e, err := w.fleet.Start(id, platformtest.ModelService, zone, "card")
	if err != nil {
		w.record.printf("engine %s did not start: %v", id, err)
		return
	}
	front, err := startEngineFront(w.fleet, e, w.record)
	if err != nil {
		w.record.printf("engine %s did not start: %v", id, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines, w.fronts = append(w.engines, e), append(w.fronts, front)
}
