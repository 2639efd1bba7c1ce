package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"spanrill/gateway"
	"spanrill/platform"
	"spanrill/platform/platformtest"
	"spanrill/settings"
)

// stopLimit is how long the test waits for each change of the daemon's state.
const stopLimit = 20 * time.Second

// When the listener for callers fails, readiness fails at once, running requests may finish, and
// the daemon stops with an error.
func TestLostListenerStopsTheDaemon(t *testing.T) {
	t.Parallel()
	store := platformtest.NewStore()
	addr, err := store.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	platformtest.WriteSample(store, 1)
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 65+pid>>16&0x3f, pid>>8&0xff, 1+pid&0x7f) // used by this test process only
	s := settings.DefaultGateway()
	s.Name, s.Zone, s.Platform, s.FleetSecret = "g", "z", addr, "a secret for the tests"
	s.Listen, s.ReadyListen, s.PeerListen = "127.0.0.1:0", ip+":20001", ip+":20002"
	s.Bounds.Revoke, s.Bounds.Grace = 5000, 8000
	log := logrus.New()
	log.SetOutput(io.Discard)
	g, err := gateway.New(s, platform.New, gateway.WithLogger(log))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- g.Run(context.Background()) }()
	readyStatus := func() int {
		resp, err := http.Get("http://" + s.ReadyListen + platform.ReadyPath)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode
	}
	waitForStatus := func(status int) {
		t.Helper()
		for deadline := time.Now().Add(stopLimit); readyStatus() != status; {
			if time.Now().After(deadline) {
				t.Fatalf("readiness has not returned status %d within the time limit", status)
			}
		}
	}
	waitForStatus(http.StatusOK)
	if err := g.BreakListener(); err != nil {
		t.Fatal(err)
	}
	waitForStatus(http.StatusServiceUnavailable)
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the daemon stopped without an error, want the error of the listener")
		}
	case <-time.After(stopLimit):
		t.Fatal("the daemon did not stop within the time limit")
	}
}
