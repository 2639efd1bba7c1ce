package peermsg

import (
	"context"
	"fmt"

	"spanrill/transport/peernet"
)

// Ask sends a request to the peer at addr and decodes its reply into reply.
func Ask(ctx context.Context, n *peernet.Net, addr string, kind peernet.Kind, req, reply any) error {
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
