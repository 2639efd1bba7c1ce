package gateway

// BreakListener closes the socket on which callers' connections come, as nothing
// but a fault does.
func (g *Gateway) BreakListener() error { return g.listener.Listener.Close() }
