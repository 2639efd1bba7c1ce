package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"spanrill/platform/platformtest"
)

// Exit codes of the cases.
const (
	exitHeld   = 0
	exitBroken = 1
)

// withTrouble reports whether a case plays its disruption.
func withTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// newRequest returns a request of a client.
func newRequest(method, front, path, id, body string) (*http.Request, error) {
	req, err := http.NewRequest(method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = platformtest.Host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "20000")
	req.Header.Set("Authorization", "Token "+apiKey)
	return req, nil
}

// newStreamRequest returns a request for a generation of a number of events.
func newStreamRequest(front, id string, events int) (*http.Request, error) {
	req, err := newRequest(http.MethodPost, front, "/model/x", id, "explain the week of the colony")
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Model", "daka510000")
	req.Header.Set("X-Token-Usage", fmt.Sprintf("800,%d", events*tokensPerEvent))
	req.Header.Set("X-Prefix-Hash", "5c1e07a2:40,91bd3f06:760")
	return req, nil
}

// awaitReady waits until the daemon with the given address of its readiness check is ready.
func awaitReady(addr string) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/api/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("daemon at %s is not ready", addr)
}

// newID returns the id of a new request.
func newID() string { return fmt.Sprintf("%016x", time.Now().UnixNano()) }

// newTransport returns the channels of one client.
func newTransport() *http.Transport {
	return &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}
}
