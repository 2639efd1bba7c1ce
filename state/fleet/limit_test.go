package fleet

import (
	"testing"

	"spanrill"
)

// Guards against raising or removing a limit because of an answer to a call that began before
// the limit was received.
func TestLimitUpdateOrder(t *testing.T) {
	limited := func(perSecond float64) spanrill.Notice {
		return spanrill.Notice{Limit: spanrill.RateLimit{Set: true, PerSecond: perSecond}}
	}
	type answer struct {
		callDuration spanrill.Millis
		notice       spanrill.Notice
	}
	for _, c := range []struct {
		name    string
		answers []answer // arriving at intervals of 100 ms
		want    spanrill.RateLimit
	}{
		{"no limit", []answer{{10, spanrill.Notice{}}}, spanrill.RateLimit{}},
		{"limit set", []answer{{10, limited(2)}}, limited(2).Limit},
		{"later call without a limit", []answer{{10, limited(2)}, {10, spanrill.Notice{}}}, spanrill.RateLimit{}},
		{"earlier call without a limit", []answer{{10, limited(2)}, {150, spanrill.Notice{}}}, limited(2).Limit},
		{"later call with a higher limit", []answer{{10, limited(2)}, {10, limited(5)}}, limited(5).Limit},
		{"earlier call with a higher limit", []answer{{10, limited(2)}, {150, limited(5)}}, limited(2).Limit},
		{"earlier call with a lower limit", []answer{{10, limited(5)}, {150, limited(2)}}, limited(2).Limit},
		{"invalid limit", []answer{{10, limited(2)}, {10, spanrill.Notice{UnreadableLimit: "few"}}}, limited(2).Limit},
		{"rest without a limit", []answer{{10, limited(2)}, {10, spanrill.Notice{Rest: 10}}}, spanrill.RateLimit{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, clock := newTable(t)
			for _, a := range c.answers {
				clock.Advance(100)
				table.HandleNotice("1:1", a.notice, clock.Now()-a.callDuration)
			}
			if got := table.View().ByID("a").Limit(); got != c.want {
				t.Errorf("limit %+v, want %+v", got, c.want)
			}
		})
	}
}

// Guards against losing the limit of a server when its process restarts under the same name.
func TestLimitOutlivesRestart(t *testing.T) {
	table, c := newTable(t)
	limit := spanrill.RateLimit{Set: true, PerSecond: 2}
	table.HandleNotice("1:1", spanrill.Notice{Limit: limit}, c.Now())
	table.HandleReport("1:1", &spanrill.EngineReport{Sequence: 5}, c.Now())
	c.Advance(10)
	table.HandleReport("1:1", &spanrill.EngineReport{Sequence: 1}, c.Now())
	if u := table.View().ByAddr("1:1"); u.ID() == "a" || u.Limit() != limit {
		t.Errorf("upstream %s has limit %+v, want a new incarnation with the previous limit", u.ID(), u.Limit())
	}
}
