package gateway

// BreakListener closes the socket for callers' connections, which only a fault does in production.
func (g *Gateway) BreakListener() error { return g.listener.Listener.Close() }
