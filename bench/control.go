package bench

import (
	"context"
	"fmt"
	"time"

	"spanrill/scene"
)

// Control is what it costs to keep a quiet fleet together, for each daemon and
// second.
type Control struct {
	Daemons  int     `json:"daemons"`
	Engines  int     `json:"engines"`
	SentKB   float64 `json:"sent_kb"`
	Received float64 `json:"received_kb"`
	Reads    float64 `json:"platform_reads"`
	Writes   float64 `json:"platform_writes"`
	Boxes    float64 `json:"box_lists"`
}

// MeasureControl counts messages and calls of a quiet fleet for a while.
func MeasureControl(ctx context.Context, spec scene.Spec, d time.Duration) (*Control, error) {
	s, err := scene.Start(ctx, spec)
	if err != nil {
		return nil, fmt.Errorf("start scene: %w", err)
	}
	defer s.Close()
	before, calls := traffic(s), s.Platform().Calls()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(d):
	}
	after, now := traffic(s), s.Platform().Calls()
	per := d.Seconds() * float64(len(s.Daemons()))
	return &Control{
		Daemons: len(s.Daemons()), Engines: len(spec.Engines),
		SentKB:   float64(after.sent-before.sent) / per / 1000,
		Received: float64(after.received-before.received) / per / 1000,
		Reads:    float64(now.Reads+now.Watches-calls.Reads-calls.Watches) / per,
		Writes:   float64(now.Writes-calls.Writes) / per,
		Boxes:    float64(now.Boxes-calls.Boxes) / per,
	}, nil
}

type bytesCount struct{ sent, received uint64 }

func traffic(s *scene.Scene) bytesCount {
	var b bytesCount
	for _, d := range s.Daemons() {
		b.sent += d.Meters().PeerBytesSent.Get()
		b.received += d.Meters().PeerBytesReceived.Get()
	}
	return b
}
