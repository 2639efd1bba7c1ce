// Package task starts goroutines whose end and error can be awaited.
//
// Each goroutine of spanrill takes a context and has an owner. The owner keeps
// the Task that Start returns and reads its Done channel, or keeps a Group and
// waits for all of its tasks.
//
// # Usage
//
//	var g task.Group
//	g.Start(ctx, "heartbeat", m.sendHeartbeats)
//	...
//	err := g.Wait()
package task

import (
	"context"
	"fmt"
	"sync"
)

// Task is a goroutine with a name, and its error once it has ended.
type Task struct {
	name string
	done chan struct{}
	err  error
}

// Start runs f in a new goroutine. Errors of the task contain its name.
func Start(ctx context.Context, name string, f func(context.Context) error) *Task {
	t := &Task{name: name, done: make(chan struct{})}
	go t.run(ctx, f)
	return t
}

func (t *Task) run(ctx context.Context, f func(context.Context) error) {
	defer close(t.done)
	if err := f(ctx); err != nil && ctx.Err() == nil {
		t.err = fmt.Errorf("task %s: %w", t.name, err)
	}
}

// Name returns the name given to Start.
func (t *Task) Name() string { return t.name }

// Done returns a channel that is closed when the goroutine has ended.
func (t *Task) Done() <-chan struct{} { return t.done }

// Err waits for the end of the goroutine and returns its error. It is nil if the context had ended
// by then.
func (t *Task) Err() error {
	<-t.done
	return t.err
}

// Group waits for any number of tasks and keeps their first error. Its zero value is ready to use.
// It keeps no reference to a task that has ended, so that a long-lived owner can start any number. Tasks
// may be started while Wait runs, which a sync.WaitGroup does not allow when none is running.
type Group struct {
	mu       sync.Mutex
	running  int
	idle     chan struct{} // closed when no task runs any more; nil while nobody waits
	firstErr error
}

// Start runs f in a goroutine that belongs to the group.
func (g *Group) Start(ctx context.Context, name string, f func(context.Context) error) *Task {
	g.mu.Lock()
	g.running++
	g.mu.Unlock()
	t := &Task{name: name, done: make(chan struct{})}
	go func() {
		t.run(ctx, f)
		g.recordEnd(t.err)
	}()
	return t
}

// recordEnd records the end of a task and keeps the first error.
func (g *Group) recordEnd(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.firstErr == nil {
		g.firstErr = err
	}
	g.running--
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Wait blocks until all tasks have ended and returns the first error.
func (g *Group) Wait() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running > 0 {
		if g.idle == nil {
			g.idle = make(chan struct{})
		}
		idle := g.idle
		g.mu.Unlock()
		<-idle
		g.mu.Lock()
	}
	return g.firstErr
}
