package gateway

// BreakListener closes the socket for callers' connections, to simulate its failure.
func (g *Gateway) BreakListener() error { return g.listener.Listener.Close() }
