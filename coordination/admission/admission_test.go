package admission

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"spanrill"
	"spanrill/clock"
	"spanrill/state/config"
	"spanrill/state/load"
)

// snapshot returns a configuration with a model and accounts with the given limits.
func snapshot(t *testing.T, limits string, accounts ...string) *config.Snapshot {
	t.Helper()
	docs := config.Documents{
		{Kind: config.KindModel, Name: "advice"}: json.RawMessage(`{"name":"advice","version":"1","layers":4}`),
		{Kind: config.KindSite, Name: "s"}:       json.RawMessage(`{"name":"s","availability_zones":["z"],"fences":"all"}`),
		{Kind: config.KindTemplate, Name: "t"}: json.RawMessage(
			`{"name":"t","models":[{"model":"advice","priority":1,"site":"s"}],"limits":` + limits + `}`),
	}
	for _, a := range accounts {
		docs[config.Name{Kind: config.KindAccount, Name: a}] = fmt.Appendf(nil, `{"name":%q,"template":"t","key_hashes":[]}`, a)
	}
	s, err := config.Build(1, "x", docs)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// newGate returns a gate for one engine with one slot.
func newGate(c spanrill.Clock, opts ...Option) *Gate {
	table := load.NewTable(c)
	table.SetSites(func(string) string { return "s" })
	table.SetBoxes([]spanrill.Box{{Name: "e", Role: spanrill.RoleEngine, Zone: "z", Addr: "127.0.0.1:1"}})
	table.RecordReport("e", spanrill.UpstreamStatus{
		Model: "advice", Version: "1", Layers: spanrill.LayerRange{To: 4}, Slots: 1, StepMicros: 1000,
	}, 0)
	return New(c, table, append([]Option{WithRequestsPerSlot(1)}, opts...)...)
}

func admit(g *Gate, s *config.Snapshot, account string) (func(int), *spanrill.Refusal) {
	grant := s.Account(account)
	return g.Admit(context.Background(), grant, grant.Model("advice"), 10)
}

func TestAccountRateRefusalHasRetryAfter(t *testing.T) {
	c := clock.NewManual()
	g, s := newGate(c), snapshot(t, `{"requests_per_second":4}`, "a")
	for i := range int(4 * burstSeconds) {
		release, refusal := admit(g, s, "a")
		if refusal != nil {
			t.Fatalf("request %d: %v", i, refusal)
		}
		release(0)
	}
	_, refusal := admit(g, s, "a")
	if refusal == nil || refusal.Reason() != spanrill.ReasonAccountRate || refusal.Outcome() != spanrill.OutcomeNotRun {
		t.Fatalf("refusal %v, want ReasonAccountRate with outcome not-run", refusal)
	}
	c.Advance(refusal.RetryAfter())
	if _, refusal := admit(g, s, "a"); refusal != nil {
		t.Fatalf("refused after the Retry-After time: %v", refusal)
	}
}

func TestTokensAreChargedOnRelease(t *testing.T) {
	c := clock.NewManual()
	g, s := newGate(c), snapshot(t, `{"tokens_per_second":10}`, "a")
	release, refusal := admit(g, s, "a")
	if refusal != nil {
		t.Fatal(refusal)
	}
	release(50)
	_, refusal = admit(g, s, "a")
	if refusal == nil || refusal.Reason() != spanrill.ReasonAccountTokens {
		t.Fatalf("refusal %v, want ReasonAccountTokens", refusal)
	}
	if want := 3 * spanrill.Second; refusal.RetryAfter() != want {
		t.Fatalf("retry after %d ms, want %d", refusal.RetryAfter(), want)
	}
}

func TestInFlightLimit(t *testing.T) {
	g, s := newGate(clock.NewManual(), WithRequestsPerSlot(10)), snapshot(t, `{"in_flight":2}`, "a")
	for range 2 {
		if _, refusal := admit(g, s, "a"); refusal != nil {
			t.Fatal(refusal)
		}
	}
	if _, refusal := admit(g, s, "a"); refusal == nil || refusal.Reason() != spanrill.ReasonAccountInFlight {
		t.Fatalf("refusal %v of the third request, want ReasonAccountInFlight", refusal)
	}
}

// Guards against shares of two daemons that do not add up to the limit, against shares that ignore
// demand, and against reserving a share for a daemon that sends no demand any more.
func TestLimitIsDividedInProportionToDemand(t *testing.T) {
	c := clock.NewManual()
	a, b := newDemand(), newDemand()
	a.setDaemons(2)
	b.setDaemons(2)
	for range 30 {
		c.Advance(100)
		for range 3 {
			a.countRequest("x", c.Now())
		}
		b.countRequest("x", c.Now())
	}
	a.recordPeer("b", b.snapshot(c.Now()), c.Now())
	b.recordPeer("a", a.snapshot(c.Now()), c.Now())
	shareA, shareB := a.share("x", c.Now()), b.share("x", c.Now())
	if sum := shareA + shareB; sum < 0.99 || sum > 1.01 {
		t.Errorf("the shares %.2f and %.2f add up to %.2f, want 1", shareA, shareB, sum)
	}
	if shareA < 2*shareB {
		t.Errorf("shares %.2f and %.2f at three times the demand, want at least a factor of 2", shareA, shareB)
	}
	c.Advance(maxPeerDemandAge + 1)
	a.countRequest("x", c.Now())
	if share := a.share("x", c.Now()); share < 0.85 {
		t.Errorf("share %.2f after the peer's demand has expired, want at least 0.85", share)
	}
}

// newFullQueue returns a queue with a limit of 1 and a running request.
func newFullQueue(t *testing.T, c spanrill.Clock) *queue {
	t.Helper()
	q := newQueue(c, func() int { return 1 })
	if w, refusal := q.join("first", 1, 100, spanrill.Minute); w != nil || refusal != nil {
		t.Fatal("the first request did not start at once")
	}
	return q
}

// Guards against an account with many requests that delays those of other accounts.
func TestQueueIsFair(t *testing.T) {
	q := newFullQueue(t, clock.NewManual())
	waiting := map[*waiter]string{}
	join := func(account string, weight float64) {
		w, refusal := q.join(account, weight, 100, spanrill.Minute)
		if refusal != nil {
			t.Fatal(refusal)
		}
		waiting[w] = account
	}
	for range 10 {
		join("greedy", 1)
	}
	join("modest", 1)
	join("heavy", 2)
	join("heavy", 2)
	var started []string
	for len(waiting) > 0 {
		q.finishRequest()
		for w, account := range waiting {
			select {
			case <-w.started:
				started = append(started, account)
				delete(waiting, w)
			default:
			}
		}
	}
	for _, account := range []string{"modest", "heavy"} {
		if position := indexOf(started, account); position > 3 {
			t.Errorf("%s first started at position %d in %v, want at most 4", account, position+1, started)
		}
	}
}

func indexOf(list []string, s string) int {
	for i, x := range list {
		if x == s {
			return i
		}
	}
	return len(list)
}

// Guards against starting a canceled request, and against canceling a started one.
func TestRequestEitherStartsOrIsCanceled(t *testing.T) {
	q := newFullQueue(t, clock.NewManual())
	kept, _ := q.join("a", 1, 100, spanrill.Minute)
	canceled, _ := q.join("b", 1, 100, spanrill.Minute)
	if !q.cancel(canceled) {
		t.Fatal("a waiting request could not be canceled")
	}
	q.finishRequest()
	select {
	case <-kept.started:
	default:
		t.Fatal("the other request did not start")
	}
	if q.cancel(kept) {
		t.Fatal("a started request was canceled")
	}
	q.finishRequest()
	select {
	case <-canceled.started:
		t.Fatal("a canceled request was started")
	default:
	}
	if running, waiting := q.depth(); running != 0 || waiting != 0 {
		t.Fatalf("%d requests running and %d waiting at the end, want none", running, waiting)
	}
}

func TestQueueRefusesRequestsThatCannotStartInTime(t *testing.T) {
	c := clock.NewManual()
	q := newFullQueue(t, c)
	for range 20 { // two requests end each second
		c.Advance(500)
		q.finishRequest()
		if _, refusal := q.join("x", 1, 100, spanrill.Minute); refusal != nil {
			t.Fatal(refusal)
		}
	}
	for range 2 {
		if _, refusal := q.join("x", 1, 100, 5*spanrill.Second); refusal != nil {
			t.Fatal(refusal)
		}
	}
	_, refusal := q.join("x", 1, 100, spanrill.Second)
	if refusal == nil || refusal.Reason() != spanrill.ReasonQueueDeadline || refusal.RetryAfter() < minRetryAfter {
		t.Fatalf("refusal %v of a request whose expected wait is too long, want ReasonQueueDeadline and a retry time of at least minRetryAfter", refusal)
	}
	if _, refusal := q.join("x", 1, 2, spanrill.Minute); refusal == nil || refusal.Reason() != spanrill.ReasonQueueFull {
		t.Fatalf("refusal %v of a request to a full queue, want ReasonQueueFull", refusal)
	}
}

func TestWaitEndsAtDeadline(t *testing.T) {
	c := clock.NewManual()
	g, s := newGate(c, WithQueue(10, 2*spanrill.Second)), snapshot(t, `{}`, "a")
	if _, refusal := admit(g, s, "a"); refusal != nil {
		t.Fatal(refusal)
	}
	refused := make(chan *spanrill.Refusal, 1)
	go func() {
		_, refusal := admit(g, s, "a")
		refused <- refusal
	}()
	c.AwaitTimers(1)
	c.Advance(2 * spanrill.Second)
	if refusal := <-refused; refusal == nil || refusal.Reason() != spanrill.ReasonQueueDeadline {
		t.Fatalf("refusal %v after the maximum wait, want ReasonQueueDeadline", refusal)
	}
}
