package spanrillcmd

import (
	"context"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/gateway"
	"spanrill/platform"
	"spanrill/platform/platformtest"
	"spanrill/transport/httpcall"
)

// The status shows the configuration, the holder of the placement lease and the layers of the
// engines. An unreadable entry is listed by name and does not keep the others from being shown.
func TestGatewayStatus(t *testing.T) {
	store := platformtest.NewStore()
	addr, err := store.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	platformtest.WriteSample(store, 3)
	store.Set("servers", "i-bad", "not an entry")
	client := platform.NewStore(addr, httpcall.New())
	for _, c := range []struct{ name, lease, want string }{
		{"before the lease was taken", "", "lease of placement: nobody"},
		{"while the lease is held", `{"holder":"front-1/00","term":7,"time":2000}`, "lease of placement: front-1/00, term 7"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.lease != "" {
				if _, err := client.Put(context.Background(), placementLease, []byte(c.lease), ""); err != nil {
					t.Fatal(err)
				}
			}
			s, err := readGatewayStatus(context.Background(), client)
			if err != nil {
				t.Fatal(err)
			}
			var text strings.Builder
			s.print(&text)
			for _, want := range []string{c.want, "configuration 1", "i-0", "none", "not readable: i-bad"} {
				if !strings.Contains(text.String(), want) {
					t.Errorf("output lacks %q:\n%s", want, text.String())
				}
			}
		})
	}
}

// The status of a daemon shows how recent the proof of its configuration is, and whom the store answers.
func TestGatewayConfigStatus(t *testing.T) {
	for _, c := range []struct {
		page gateway.ConfigPage
		want string
	}{
		{gateway.ConfigPage{Version: 7}, "configuration 7 (revision 0), never proved"},
		{gateway.ConfigPage{Proved: true, ProofAge: 1500, MaxChangeAge: 2000, MaxKeyAge: 4300}, "1.5 s ago; changes within 2.0 s, withdrawn keys within 4.3 s"},
		{gateway.ConfigPage{StoreSilent: true, StoreAnswers: true}, "answers other daemons"},
		{gateway.ConfigPage{StoreSilent: true}, "answers no daemon"},
	} {
		var text strings.Builder
		if printGatewayConfig(&text, &c.page); !strings.Contains(text.String(), c.want) {
			t.Errorf("output lacks %q:\n%s", c.want, text.String())
		}
	}
}

// Reading from a store that does not answer fails with ErrUnavailable.
func TestGatewayStatusStoreUnavailable(t *testing.T) {
	store := platformtest.NewStore()
	addr, err := store.Listen()
	if err != nil {
		t.Fatal(err)
	}
	store.Close()
	if _, err := readGatewayStatus(context.Background(), platform.NewStore(addr, httpcall.New())); !errors.Is(err, spanrill.ErrUnavailable) {
		t.Fatalf("reading from a closed store failed with %v, want ErrUnavailable", err)
	}
}
