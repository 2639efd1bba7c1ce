package settings

import (
	"strings"
	"testing"

	"github.com/pkg/errors"

	"spanrill/checked"
)

const validGateway = `{
  "name": "front-1", "availability_zone": "z", "listen": "10.0.0.1:80", "ready_listen": "10.0.0.1:81",
  "peer_listen": "10.0.0.1:82", "platform": "10.9.0.1:90", "fleet_secret": "sixteen characters",
  "bounds": {"revoke_ms": 5000, "grace_ms": 8000}
}`

func TestGatewaySettings(t *testing.T) {
	s, err := ParseGateway("good.json", []byte(validGateway))
	if err != nil {
		t.Fatal(err)
	}
	if s.Bounds.Revoke != 5000 || s.Bounds.RetryRatio != DefaultGateway().Bounds.RetryRatio || s.Log.Level != "info" {
		t.Fatalf("read as %+v, want a revoke_ms of 5000 and the defaults for the rest", s)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown field", `"name"`, `"nam": 1, "name"`, "nam"},
		{"wrong address", `10.0.0.1:80`, `front:80`, "listen"},
		{"missing bound", `"revoke_ms": 5000, `, ``, "bounds"},
		{"negative bound", `5000`, `-1`, "/bounds/revoke_ms"},
		{"not JSON", `{
  "name"`, `name`, ""},
	} {
		_, err := ParseGateway("bad.json", []byte(strings.Replace(validGateway, c.old, c.new, 1)))
		var problems checked.Problems
		if err == nil || c.want != "" && (!errors.As(err, &problems) || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: got error %v, want one that names the field", c.name, err)
		}
	}
}
