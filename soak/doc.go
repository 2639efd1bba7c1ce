// Package soak is a fault-injection test for daemons. It runs daemons as separate processes
// between simulated callers and stand-ins for the platform and its upstreams, injects faults, and
// checks the answers that callers received and the requests that upstreams received.
//
// The seed alone determines which faults are injected and when. Faults overlap and repeat. Timings
// differ between runs, so reproducing a defect may take several runs with the same seed.
//
//	plan.go         the schedule of faults for a seed
//	environment.go  the store, the upstreams and the links to them
//	fault.go        how each kind of fault is injected and removed
//	process.go      one daemon process
//	callers.go      callers and the record of their requests
//	check.go        rules that hold for each request
//	versions.go     by which versions of the configuration callers are answered
//	pathcut.go      daemons that lose their path to the upstreams
//	skew.go         most new connections at one daemon
//	partfault.go    parts of prompts that crash engines
//	bounds.go       rules that hold over many requests: rests, leaving, rate limits, the retry budget
//	run.go          one run and its report
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Seed: 7, Length: time.Minute, Daemon: []string{"spanrilld", "gateway"}})
//	if len(report.Violations) > 0 { ... }
package soak
