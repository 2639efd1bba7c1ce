package e2e

import (
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
	"time"

	"spanrill/standin/platform"
	"spanrill/state/config"
)

// editAccount writes the account extra-i and returns the revision.
func (f *fleet) editAccount(i int) uint64 {
	name := fmt.Sprintf("extra-%d", i)
	return f.commit(map[config.Name]json.RawMessage{
		{Kind: config.KindAccount, Name: name}: json.RawMessage(`{"name":"` + name + `","template":"keeper","key_hashes":[]}`),
	})
}

// awaitRevision waits until a daemon uses the revision and returns how long that
// took.
func (f *fleet) awaitRevision(name string, revision uint64) time.Duration {
	f.t.Helper()
	started := time.Now()
	f.await(fmt.Sprintf("%s has revision %d", name, revision), func() bool {
		s, err := f.status(name)
		return err == nil && s.Revision >= revision
	})
	return time.Since(started)
}

// inForceLimit is the time within which an accepted edit must take effect.
const inForceLimit = 5 * time.Second

func TestEditTakesEffectOnAllDaemonsInTime(t *testing.T) {
	f := newFleet(t, shape{daemons: 4})
	for i := range 6 {
		revision := f.editAccount(i)
		for name := range f.daemons {
			if took := f.awaitRevision(name, revision); took > inForceLimit {
				t.Errorf("the edit took effect on %s only after %v", name, took)
			}
		}
	}
}

// A daemon that was frozen during several edits uses the last one soon after it
// resumes.
func TestFrozenDaemonCatchesUp(t *testing.T) {
	f := newFleet(t, shape{daemons: 2})
	f.signal("d2", syscall.SIGSTOP)
	var revision uint64
	for i := range 5 {
		revision = f.editAccount(i)
	}
	f.awaitRevision("d1", revision)
	f.signal("d2", syscall.SIGCONT)
	if took := f.awaitRevision("d2", revision); took > inForceLimit {
		t.Errorf("the last edit took effect only %v after the daemon resumed", took)
	}
}

// A daemon that starts while the platform is down gets its configuration and
// the box list from a peer, and serves.
func TestDaemonStartsDuringPlatformOutage(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, enginesPerStage: 1, services: 1, noDaemons: true})
	f.start("d1")
	f.await("d1 is ready", func() bool { s, err := f.status("d1"); return err == nil && s.Ready })
	f.platform.SetFaults(platform.Faults{Down: true})
	f.daemons["d2"].settings.Peers = []string{f.daemons["d1"].settings.PeerListen}
	f.start("d2")
	f.awaitRevision("d2", 1)
	f.await("d2 is ready", func() bool { s, err := f.status("d2"); return err == nil && s.Ready })
	if _, complete, a := f.ask("d2", chat{prompt: "hive", seed: 1, tokens: 4}); !complete {
		t.Fatalf("d2 did not complete the answer: status %d: %s", a.status, a.body)
	}
}
