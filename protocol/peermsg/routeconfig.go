package peermsg

import "spanrill"

// RouteConfig carries a configuration of the routes. It is empty if the daemon has none to send.
type RouteConfig struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Revision uint64
	Value    []byte // the configuration as the store holds it, compressed

	// Confirmed reports whether Age is set. A daemon of an earlier release leaves both out.
	Confirmed bool
	Age       spanrill.Millis // time since this configuration was confirmed as the newest, when the answer was made
}
