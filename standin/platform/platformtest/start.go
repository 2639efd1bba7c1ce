// Package platformtest starts platforms for tests.
//
// # Usage
//
//	p, addr := platformtest.Start(t)
package platformtest

import (
	"testing"

	"spanrill/standin/platform"
)

// fastRate is high enough that no test meets it.
const fastRate = 100_000

// Start starts a platform without rate limits that ends with the test.
func Start(t *testing.T) (p *platform.Platform, addr string) {
	t.Helper()
	p = platform.New(platform.WithRates(fastRate, fastRate))
	addr, err := p.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, addr
}
