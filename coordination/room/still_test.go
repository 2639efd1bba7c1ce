package room_test

import (
	"testing"

	"spanrill"
)

// What others held by the last sums counts less where a first engine has told fewer of their requests since:
// in proportion, while that is fresh, and only where others have given a good part of it.
func TestLoadOfOthersAsEnginesTell(t *testing.T) {
	for _, c := range []struct {
		name        string
		told, calls int // of others at the time of the sums, and requests that the engine told
		at, now     spanrill.Millis
		want        float64
	}{
		{"half has ended, of all but the lasting part", 60, 30, 1000, 1000, 0.325},
		{"all have ended", 60, 0, 1000, 1000, 0.05},
		{"more have started", 60, 80, 1000, 1000, 0.80},
		{"told before the sums", 60, 30, -10, 1000, 0.60},
		{"told long ago", 60, 30, 400, 1000, 0.60},
		{"few are of others", 15, 5, 1000, 1000, 0.15},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger(testChain(kind{3, 100_000, 0.001, 5, 0}, 1, "a", 0))
			uses := map[uint32]spanrill.RoomUse{}
			for engine := range uint32(3) {
				uses[1+engine] = spanrill.RoomUse{Tokens: int64(1000 * c.told), Calls: int64(c.told)}
			}
			l.RecordEngineLoad(start+max(0, c.at), start+c.at, 1, c.calls)
			l.SetTold(start+c.now, start, uses)
			if got := l.Chains(start + c.now)[0].Fill; got < c.want-0.02 || got > c.want+0.02 {
				t.Errorf("fill %.3f, want %.2f", got, c.want)
			}
		})
	}
}
