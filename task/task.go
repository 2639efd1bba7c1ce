// Package task starts goroutines that report their end.
//
// Each goroutine of spanrill takes a context and has an owner. The owner keeps
// the Task that Start returns and reads its Done channel, or keeps a Group and
// waits for all of them.
//
// # Usage
//
//	var g task.Group
//	g.Start(ctx, "heartbeat", m.beat)
//	...
//	err := g.Wait()
package task

import (
	"context"
	"fmt"
	"sync"
)

// Task is a goroutine that was started.
type Task struct {
	name string
	done chan struct{}
	err  error
}

// Start runs f in a goroutine of its own.
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

// Err returns why the goroutine ended, once Done is closed. The end of its
// context is no error.
func (t *Task) Err() error {
	<-t.done
	return t.err
}

// Group owns several tasks. Its zero value is ready to use.
type Group struct {
	mu    sync.Mutex
	tasks []*Task
}

// Start runs f in a goroutine that belongs to the group.
func (g *Group) Start(ctx context.Context, name string, f func(context.Context) error) *Task {
	t := Start(ctx, name, f)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tasks = append(g.tasks, t)
	return t
}

// Wait returns when all tasks have ended, with the first error.
func (g *Group) Wait() error {
	g.mu.Lock()
	tasks := g.tasks
	g.mu.Unlock()
	var first error
	for _, t := range tasks {
		if err := t.Err(); err != nil && first == nil {
			first = err
		}
	}
	return first
}
