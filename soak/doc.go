// Package soak runs daemons as processes of their own for a while, between callers and
// stand-ins of the platform and its upstreams, lets things fail, and checks what callers and
// upstreams saw.
//
// What fails, and when, follows from a seed alone. Faults overlap and come in series. Timings
// differ from run to run, so that a fault of the daemons may need more than one run of its
// seed.
//
//	plan.go      what fails when
//	world.go     the store, the upstreams and the links to them
//	fault.go     how each kind of fault is brought about and ended
//	process.go   one daemon
//	callers.go   callers, and what they saw
//	check.go     what must hold
//	bounds.go    what must hold over many requests: rests, leaving, limits, the retry budget
//	run.go       one run, and its report
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Seed: 7, Length: time.Minute, Daemon: []string{"spanrilld", "gateway"}})
//	if len(report.Violations) > 0 { ... }
package soak
