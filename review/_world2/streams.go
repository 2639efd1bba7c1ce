package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"spanrill/platform/platformtest"
)

// streamCall is one client attempt at a stream.
type streamCall struct {
	daemon *daemon
	path   string
	id     string
	after  int // id of the last event that the client has, or 0
}

// streamReply is what the client saw.
type streamReply struct {
	status int
	stamp  string // X-Response-Stamp
	ids    []int  // of the events, in order
	err    error  // nil if the answer ended as complete
	gaveUp bool   // the client gave the stream up after maxGap
	// retryAfter is the time that a refusal asks for.
	retryAfter time.Duration
}

// maxGap is how long clients wait for an event: two seconds, four times the objective of 500 ms or eight
// times the pause of 200 ms.
const maxGap = 2 * time.Second

// stream makes one client attempt on a new channel.
func (w *world) stream(c streamCall) (r streamReply) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.daemon.proxy.addr+c.path+"x", strings.NewReader("prompt"))
	if err != nil {
		return streamReply{err: err}
	}
	req.Host = platformtest.Host
	req.Header.Set("X-Request-Id", c.id)
	req.Header.Set("X-Deadline-Ms", "20000")
	req.Header.Set("X-Token-Usage", "20,80")
	req.Header.Set("Authorization", "Token "+apiKey)
	if c.after > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(c.after))
	}
	giveUp := time.AfterFunc(maxGap, func() { r.gaveUp = true; cancel() })
	defer giveUp.Stop()
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return streamReply{err: err, gaveUp: r.gaveUp}
	}
	defer func() { _ = resp.Body.Close() }()
	r.status, r.stamp = resp.StatusCode, resp.Header.Get("X-Response-Stamp")
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		r.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok && strings.HasSuffix(line, "\n") {
			if n, convErr := strconv.Atoi(text); convErr == nil {
				r.ids = append(r.ids, n)
				giveUp.Reset(maxGap)
			}
		}
		if errors.Is(err, io.EOF) {
			return r
		}
		if err != nil {
			r.err = err
			return r
		}
	}
}

// describe describes a reply for the record.
func (r streamReply) describe() string {
	end := "complete"
	if r.gaveUp {
		end = "given up by the client"
	} else if r.err != nil {
		end = fmt.Sprintf("broken: %v", r.err)
	}
	events := "no events"
	if len(r.ids) > 0 {
		events = fmt.Sprintf("events %d to %d, %d of them", r.ids[0], r.ids[len(r.ids)-1], len(r.ids))
	}
	return fmt.Sprintf("status %d, stamp %q, %s, %s", r.status, r.stamp, events, end)
}
