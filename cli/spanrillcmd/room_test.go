package spanrillcmd

import (
	"strings"
	"testing"

	"spanrill"
	"spanrill/gateway"
)

func TestPrintRoom(t *testing.T) {
	for _, c := range []struct {
		name string
		page gateway.RoomPage
		want []string
	}{
		{"none", gateway.RoomPage{}, []string{"no room is divided"}},
		{"nobody grants", gateway.RoomPage{Services: []gateway.RoomService{{Service: "s", Granters: []string{"a", "b"}, Error: "b: timeout"}}}, []string{"s: nobody grants room, asked a, b b: timeout"}},
		{"granted", gateway.RoomPage{Services: []gateway.RoomService{{
			Service: "s", Priorities: 3, Granters: []string{"a"}, GrantedBy: "a", Waiting: [spanrill.ClassCount]int{0: 2, 7: 5}, Returns: 4,
			Chains: []gateway.RoomChain{{First: "e1", Zone: "z", Given: [spanrill.ClassCount]int{3: 9}, Fill: 0.875, Fullest: "e2", Others: 6, Starting: 210}},
		}}}, []string{"s: room granted by a, 3 priorities", "waiting: 0:2 7:5; planned returns: 4", "e1", "0.88", "e2", "3:9", "6", "210"}},
	} {
		var b strings.Builder
		printRoom(&b, &c.page)
		for _, want := range c.want {
			if !strings.Contains(b.String(), want) {
				t.Errorf("%s: printed %q, want it to contain %q", c.name, b.String(), want)
			}
		}
	}
}
