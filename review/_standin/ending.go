package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streamsPerDaemon is the number of streams that run at once at each daemon.
	streamsPerDaemon = 160
	// requestInterval is the time between two requests.
	requestInterval = 4 * time.Millisecond
	rounds          = 3
	// roundPause is the time between two rounds. The entry of an engine that has ended is gone by then.
	roundPause = (silentBeats + 2) * beat
)

// endingCase sends streams to all daemons. As soon as the first one has its head, the end of its engine
// begins: it gets the notice to leave, as in scale_in, or it is killed a while later, as in srv_crash.
type endingCase struct {
	leaves          bool
	record          *record
	fronts, readies []string
	pids            map[string]int // of the engines, by id
}

// streamResult is how a client saw the end of a stream.
type streamResult struct {
	ID       string `json:"id"`
	Status   int    `json:"status"`
	Engine   string `json:"engine"`
	Pieces   int    `json:"pieces"`
	Last     int    `json:"last"`
	InOrder  bool   `json:"in_order"`
	Complete bool   `json:"complete"` // the answer ended as a whole one does
	Error    string `json:"error"`
}

// runEnding runs the case. The first argument is "leave" or "crash", the second the file of the engines' runs; engines are given as
// ID=PID, daemons as FRONT=READY.
func runEnding(recordPath string, args []string) (exitCode int, err error) {
	c := &endingCase{leaves: args[0] == "leave", pids: map[string]int{}}
	if c.record, err = newRecord(recordPath); err != nil {
		return exitCannotRun, err
	}
	for _, arg := range args[2:] {
		name, value, _ := strings.Cut(arg, "=")
		if strings.Contains(value, ":") {
			c.fronts, c.readies = append(c.fronts, name), append(c.readies, value)
		} else if c.pids[name], err = strconv.Atoi(value); err != nil {
			return exitCannotRun, err
		}
	}
	for _, addr := range c.readies {
		if err := awaitReady(addr); err != nil {
			return exitCannotRun, err
		}
	}
	if err := c.awaitServed(); err != nil {
		return exitCannotRun, err
	}
	return c.run(args[1])
}

// awaitServed waits until every daemon serves a whole stream.
func (c *endingCase) awaitServed() error {
	end := time.Now().Add(40 * time.Second)
	for _, front := range c.fronts {
		for r := (streamResult{}); !r.Complete || r.Status != http.StatusOK; time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("daemon at %s serves no streams", front)
			}
			r = c.stream(front, func(string) {}, 4)
		}
	}
	return nil
}

// run sends the streams in rounds. In each round one engine ends.
func (c *endingCase) run(runsPath string) (exitCode int, err error) {
	c.record.add("case begins", map[string]bool{"trouble": withTrouble()})
	var results []streamResult
	for range rounds {
		results = append(results, c.round()...)
		time.Sleep(roundPause)
	}
	c.record.addRunFile(runsPath)
	for _, r := range results {
		switch {
		case !r.InOrder:
			c.record.violation("ORDER", "stream %s: a piece is missing or comes twice", r.ID)
			exitCode = exitBroken
		case r.Status == http.StatusOK && r.Complete && r.Last != streamEvents:
			c.record.violation("ORDER", "stream %s ended as complete after piece %d of %d", r.ID, r.Last, streamEvents)
			exitCode = exitBroken
		case !withTrouble() && !r.Complete:
			return exitCannotRun, fmt.Errorf("stream %s broke off without a disruption", r.ID)
		}
	}
	return exitCode, nil
}

func (c *endingCase) round() []streamResult {
	var once sync.Once
	var wait sync.WaitGroup
	results := make([]streamResult, streamsPerDaemon*len(c.fronts))
	for i := range results {
		front := c.fronts[i%len(c.fronts)]
		wait.Add(1)
		time.Sleep(requestInterval)
		go func() {
			defer wait.Done()
			results[i] = c.stream(front, func(engine string) {
				if withTrouble() {
					once.Do(func() { go c.endEngine(engine) })
				}
			}, streamEvents)
		}()
	}
	wait.Wait()
	return results
}

// endEngine gives an engine the notice to leave, or kills it.
func (c *endingCase) endEngine(engine string) {
	signal, after := syscall.SIGUSR1, noticeAfter
	if !c.leaves {
		signal, after = syscall.SIGKILL, crashAfter
	}
	time.Sleep(after)
	c.record.add("engine gets "+signal.String(), engine)
	_ = syscall.Kill(c.pids[engine], signal)
}

const (
	// noticeAfter is the time from the first answer to the notice. All streams have begun by then.
	noticeAfter = 2200 * time.Millisecond
	// crashAfter is the time from the first answer to the crash. No stream has ended by then.
	crashAfter = 3500 * time.Millisecond
)

// stream sends one request and reads its stream. It calls onHead with the id of the engine.
func (c *endingCase) stream(front string, onHead func(engine string), events int) streamResult {
	r := streamResult{ID: newID(), InOrder: true}
	c.record.add("sent", map[string]string{"id": r.ID, "to": front})
	defer func() { c.record.add("answered", r) }()
	req, err := newStreamRequest(front, r.ID, events)
	if err != nil {
		r.Error = err.Error()
		return r
	}
	transport := newTransport()
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		r.Error = err.Error()
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	r.Status, r.Engine = resp.StatusCode, resp.Header.Get("X-Instance-Id")
	if r.Status == http.StatusOK {
		onHead(r.Engine)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		number, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		n, _ := strconv.Atoi(number)
		r.InOrder = r.InOrder && n == r.Last+1
		r.Last = n
		r.Pieces++
	}
	if err := lines.Err(); err != nil {
		r.Error = err.Error()
		return r
	}
	r.Complete = true
	return r
}
