package admission

import (
	"testing"

	"spanrill"
	"spanrill/clock"
)

// Guards against requests that wait until their deadline although others have taken their time.
func TestQueueDropsRequestsThatCannotStartAnyMore(t *testing.T) {
	c := clock.NewManual()
	q := newFullQueue(t, c)
	for range 20 { // two requests end each second
		c.Advance(500)
		q.finishRequest()
		if _, refusal := q.join("x", 1, 100, spanrill.Minute); refusal != nil {
			t.Fatal(refusal)
		}
	}
	pushed, refusal := q.join("light", 1, 100, spanrill.Second)
	if refusal != nil {
		t.Fatal(refusal)
	}
	for range 3 {
		if _, refusal := q.join("heavy", 10, 100, spanrill.Minute); refusal != nil {
			t.Fatal(refusal)
		}
	}
	if !pushed.wasDropped() {
		t.Fatal("the request waits behind three others, of which two start in its time")
	}
	if q.cancel(pushed) {
		t.Error("a dropped request was canceled")
	}
	if _, waiting := q.depth(); waiting != 3 {
		t.Errorf("%d requests wait, want 3", waiting)
	}
}
