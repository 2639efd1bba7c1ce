package task

import (
	"context"
	"testing"

	"github.com/pkg/errors"
)

// Guards against a group whose tasks must not be started while it is waited for, as the owner of a group
// does that others start tasks in. Without synchronization the race detector reports it.
func TestTasksStartWhileGroupIsAwaited(t *testing.T) {
	const starters, rounds = 4, 500
	var g Group
	errFailed := errors.New("failed")
	ended := make(chan struct{})
	for range starters {
		go func() {
			defer func() { ended <- struct{}{} }()
			for range rounds {
				g.Start(context.Background(), "short", func(context.Context) error { return errFailed })
			}
		}()
	}
	for range rounds {
		_ = g.Wait()
	}
	for range starters {
		<-ended
	}
	if err := g.Wait(); !errors.Is(err, errFailed) {
		t.Fatalf("error %v, want the error of a task", err)
	}
}
