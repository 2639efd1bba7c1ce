//go:build !race

package gateway

import (
	"testing"

	"spanrill"
)

// Guards against decisions by a replaced configuration in the largest fleet, which is played without the
// race detector.
func TestNoDecisionByAReplacedConfigurationInLargeFleet(t *testing.T) {
	checkConfigDecisions(t, 985, 5, 5*spanrill.Second, "the store does not answer the first ranks", "restarts in series, the store silent, seeds gone", "requests take the processor time for 3 s at a time")
}
