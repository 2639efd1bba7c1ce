package frame

// HelloKey returns the key of the frames that both sides of a connection send before they know the
// other's nonce. It depends only on the fleet secret and the protocol, "" for messages between
// daemons.
func HelloKey(secret []byte, protocol string) Key {
	return DeriveKey(secret, []byte(protocol+"hello"))
}

// SessionKeys returns the keys of the two directions of a connection. They depend on the nonces of
// both sides, so that frames recorded on one connection are refused on any other.
func SessionKeys(secret []byte, protocol string, dialerNonce, listenerNonce []byte) (dialer, listener Key) {
	dialer = DeriveKey(secret, []byte(protocol+"dialer to listener"), dialerNonce, listenerNonce)
	listener = DeriveKey(secret, []byte(protocol+"listener to dialer"), dialerNonce, listenerNonce)
	return dialer, listener
}
