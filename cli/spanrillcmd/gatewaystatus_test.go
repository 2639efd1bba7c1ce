package spanrillcmd

import (
	"context"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/platform"
	"spanrill/platform/platformtest"
	"spanrill/transport/httpcall"
)

// The status on the users' platform shows the configuration, who holds the lease,
// and what engines hold; an entry that cannot be read is named and hides nothing.
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
		{"held", `{"holder":"front-1/00","term":7,"time":2000}`, "lease of placement: front-1/00, term 7"},
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
					t.Errorf("no %q in:\n%s", want, text.String())
				}
			}
		})
	}
}

// A store that does not answer is said to be unavailable.
func TestGatewayStatusWithoutStore(t *testing.T) {
	store := platformtest.NewStore()
	addr, err := store.Listen()
	if err != nil {
		t.Fatal(err)
	}
	store.Close()
	if _, err := readGatewayStatus(context.Background(), platform.NewStore(addr, httpcall.New())); !errors.Is(err, spanrill.ErrUnavailable) {
		t.Fatalf("error %v", err)
	}
}
