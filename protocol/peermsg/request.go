package peermsg

import (
	"context"
	"fmt"

	"spanrill/transport/peernet"
)

// Request sends a request of the given kind to the peer at addr and decodes the peer's answer into
// reply, which must be a pointer. req may be nil if the peer ignores the payload.
func Request(ctx context.Context, n *peernet.Net, addr string, kind peernet.Kind, req, reply any) error {
	payload, err := Encode(req)
	if err != nil {
		return err
	}
	answer, err := n.Request(ctx, addr, kind, payload)
	if err != nil {
		return fmt.Errorf("ask peer: %w", err)
	}
	return Decode(answer, reply)
}
