package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"spanrill/platform/platformtest"
)

const (
	resumeClients = 120
	// resetMachines and resetShare are the largest share of machines and of their channels that
	// reset_conns has in the site file: 0.372 of the machines, 0.584 of the channels.
	resetChannels = 0.58
	resetRounds   = 6
)

// playResume plays clients whose channels are reset in the middle of a stream and that take it up behind
// the last event that they have, at another daemon.
func (w *world) playResume() (broken string, err error) {
	w.fleet.Events, w.fleet.EventInterval = textEvents, textInterval
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	streams, resumed, wrong := 0, 0, 0
	for c := range resumeClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(rand.IntN(1200)) * time.Millisecond)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				isResumed, fault := w.resumedStream(c, n)
				mu.Lock()
				streams++
				if isResumed {
					resumed++
				}
				if fault != "" {
					wrong++
					if broken == "" {
						broken = fault
					}
				}
				mu.Unlock()
			}
		}()
	}
	for round := range resetRounds {
		time.Sleep(2500 * time.Millisecond)
		if w.trouble {
			d := w.daemons[round%len(w.daemons)]
			w.record.printf("reset of %d channels of clients at %s", d.proxy.reset(resetChannels), d.name)
		}
	}
	close(stop)
	clients.Wait()
	w.record.printf("%d streams, %d of them taken up by their clients, %d with wrong events", streams, resumed, wrong)
	if streams < resumeClients || w.trouble && resumed == 0 {
		return "", fmt.Errorf("too few streams")
	}
	if broken != "" {
		broken = fmt.Sprintf("ORDER, %d of %d streams that were taken up: first %s", wrong, resumed, broken)
	}
	return broken, nil
}

// resumedStream plays one stream of a client, which takes it up once if its channel breaks. It returns
// what is wrong with the events that the client got, or "".
func (w *world) resumedStream(client, n int) (isResumed bool, fault string) {
	call := streamCall{daemon: w.daemons[client%len(w.daemons)], path: platformtest.StreamPath, id: fmt.Sprintf("c%d-%d-a", client, n)}
	first := w.stream(call)
	got := first.ids
	last := first
	if first.status == http.StatusOK && first.err != nil && len(got) > 0 {
		isResumed = true
		call.daemon, call.id, call.after = w.daemons[(client+1)%len(w.daemons)], fmt.Sprintf("c%d-%d-b", client, n), got[len(got)-1]
		last = w.stream(call)
		w.record.printf("stream %s: %s", fmt.Sprintf("c%d-%d-a", client, n), first.describe())
		w.record.printf("  taken up as %s with Last-Event-Id %d: %s", call.id, call.after, last.describe())
		if last.status == http.StatusOK {
			got = append(got, last.ids...)
		}
	}
	for i, id := range got {
		if id != i+1 {
			return isResumed, fmt.Sprintf("%s: event %d came where event %d was due", call.id, id, i+1)
		}
	}
	if last.status == http.StatusOK && last.err == nil && len(got) != textEvents {
		return isResumed, fmt.Sprintf("%s: the stream ended as complete after event %d of %d", call.id, len(got), textEvents)
	}
	return isResumed, ""
}
