package soak

import (
	"net/http"
	"testing"
	"time"

	"spanrill/platform/platformtest"
)

// The rule compares first attempts at daemons without a path, from contactTime on, with those at others.
func TestHelpedViolations(t *testing.T) {
	for _, c := range []struct {
		name                       string
		servedCutOff, servedOthers int // of 30
		sentAfter                  time.Duration
		disturbed, want            bool
	}{
		{"all are served", 30, 30, 2 * contactTime, false, false},
		{"none is served at the daemon without a path", 0, 30, 2 * contactTime, false, true},
		{"two thirds are served there", 20, 30, 2 * contactTime, false, false},
		{"fewer than two thirds", 19, 30, 2 * contactTime, false, true},
		{"the others are not served either", 0, 0, 2 * contactTime, false, false},
		{"within the time of contact", 0, 30, contactTime / 2, false, false},
		{"the daemon was disturbed too", 0, 30, 2 * contactTime, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			begin := time.Now()
			cutOff, other := &process{name: "cut off"}, &process{name: "other"}
			r := &run{daemons: []*process{cutOff, other}, disturbances: map[*process][]time.Time{}, pathCuts: map[*process][]interval{
				cutOff: {{begin, begin.Add(4 * contactTime)}},
			}}
			if c.disturbed {
				r.disturbances[cutOff] = []time.Time{begin}
			}
			for i := range 30 {
				for p, served := range map[*process]int{cutOff: c.servedCutOff, other: c.servedOthers} {
					reply := platformtest.Reply{Status: http.StatusServiceUnavailable}
					if i < served {
						reply.Status = http.StatusOK
					}
					r.records.add(callRecord{daemon: p, sent: begin.Add(c.sentAfter), reply: reply})
				}
			}
			if got := len(r.helpedViolations()) > 0; got != c.want {
				t.Errorf("violation %v, want %v", got, c.want)
			}
		})
	}
}
