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

// Group owns several tasks. Its zero value is ready to use. It forgets a task
// when it has ended, so that a long-lived owner can start any number.
type Group struct {
	running sync.WaitGroup
	mu      sync.Mutex
	first   error
}

// Start runs f in a goroutine that belongs to the group.
func (g *Group) Start(ctx context.Context, name string, f func(context.Context) error) *Task {
	g.running.Add(1)
	t := &Task{name: name, done: make(chan struct{})}
	go func() {
		defer g.running.Done()
		t.run(ctx, f)
		g.note(t.err)
	}()
	return t
}

func (g *Group) note(err error) {
	if err == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.first == nil {
		g.first = err
	}
}

// Wait returns when all tasks have ended, with the first error.
func (g *Group) Wait() error {
	g.running.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.first
}
