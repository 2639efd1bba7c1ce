package room

import (
	"testing"

	"spanrill"
)

// Engines of chains that are gone are forgotten when they have no requests, and ids when they end.
func TestEnginesAreForgotten(t *testing.T) {
	l := NewLedger()
	for i := range uint32(200) {
		now := spanrill.Millis(i) * spanrill.Second
		l.SetChains(now, []spanrill.RoomChain{{Parts: []spanrill.RoomPart{{Engine: i, Capacity: 100, Share: 1}}}})
		l.Give(now, uint64(i), spanrill.RoomNeed{Prompt: 10})
		l.End(now+5*spanrill.Second, uint64(i)-5)
	}
	if len(l.grants) != 5 || len(l.engines) > 5+3 {
		t.Errorf("%d ids and %d engines are kept", len(l.grants), len(l.engines))
	}
}
