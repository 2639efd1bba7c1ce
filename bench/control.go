package bench

import (
	"context"
	"fmt"
	"time"

	"spanrill/scene"
)

// ControlTraffic is the traffic of a fleet that serves no requests: messages between
// daemons and calls of the platform, per daemon and second.
type ControlTraffic struct {
	Daemons        int     `json:"daemons"`
	Engines        int     `json:"engines"`
	SentKB         float64 `json:"sent_kb"`
	ReceivedKB     float64 `json:"received_kb"`
	PlatformReads  float64 `json:"platform_reads"`
	PlatformWrites float64 `json:"platform_writes"`
	BoxLists       float64 `json:"box_lists"`
}

// MeasureControlTraffic starts a scene and measures its traffic without requests for a
// duration.
func MeasureControlTraffic(ctx context.Context, spec scene.Spec, duration time.Duration) (*ControlTraffic, error) {
	s, err := scene.Start(ctx, spec)
	if err != nil {
		return nil, fmt.Errorf("start scene: %w", err)
	}
	defer s.Close()
	bytesBefore, callsBefore := peerTraffic(s), s.Platform().Calls()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(duration):
	}
	bytesAfter, callsAfter := peerTraffic(s), s.Platform().Calls()
	daemonSeconds := duration.Seconds() * float64(len(s.Daemons()))
	return &ControlTraffic{
		Daemons: len(s.Daemons()), Engines: len(spec.Engines),
		SentKB:         float64(bytesAfter.sent-bytesBefore.sent) / daemonSeconds / 1000,
		ReceivedKB:     float64(bytesAfter.received-bytesBefore.received) / daemonSeconds / 1000,
		PlatformReads:  float64(callsAfter.Reads+callsAfter.Watches-callsBefore.Reads-callsBefore.Watches) / daemonSeconds,
		PlatformWrites: float64(callsAfter.Writes-callsBefore.Writes) / daemonSeconds,
		BoxLists:       float64(callsAfter.Boxes-callsBefore.Boxes) / daemonSeconds,
	}, nil
}

// byteCounts is the traffic of all daemons with their peers.
type byteCounts struct{ sent, received uint64 }

// peerTraffic returns the bytes that all daemons have exchanged with peers so far.
func peerTraffic(s *scene.Scene) byteCounts {
	var total byteCounts
	for _, d := range s.Daemons() {
		total.sent += d.Meters().PeerBytesSent.Get()
		total.received += d.Meters().PeerBytesReceived.Get()
	}
	return total
}
