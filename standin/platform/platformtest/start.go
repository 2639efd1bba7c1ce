// Package platformtest starts a stand-in for the platform in tests.
//
// # Usage
//
//	p, addr := platformtest.Start(t)
package platformtest

import (
	"testing"

	"spanrill/standin/platform"
)

// unlimitedRate is a rate limit, in calls per second, that tests do not reach.
const unlimitedRate = 100_000

// Start starts a platform whose rate limits tests do not reach. It stops when the test ends.
func Start(t *testing.T) (p *platform.Platform, addr string) {
	t.Helper()
	p = platform.New(platform.WithRates(unlimitedRate, unlimitedRate))
	addr, err := p.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, addr
}
