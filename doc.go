// Package spanrill holds the types and interfaces that the parts of the
// spanrill router share.
//
// Spanrill routes inference pipelines over mixed accelerators. Each answer
// crosses several engines, and each engine holds a contiguous range of a
// model's layers. Plain services are routed as well, and some of their calls
// may not be repeated.
//
// The package contains no behaviour of its own beyond small value types. Each
// interface declared here is implemented in a package below this one:
//
//	ObjectStore  protocol/objectapi   the platform's object API over HTTP
//	BoxLister    protocol/objectapi   the platform's box list over HTTP
//	Engines      protocol/engineapi   model engines over HTTP
//	Services     protocol/serviceapi  plain services over HTTP
//	Clock        clock                monotonic milliseconds
//
// Interfaces between parts of one layer stand with the part that uses them: a
// routing policy is a routing.Policy, an admission a callerapi.Admission.
//
// # Usage
//
// A program that wants a whole router builds a daemon and runs it until its
// context ends:
//
//	settings, err := settings.Load("spanrilld.json")
//	if err != nil {
//		return fmt.Errorf("load settings: %w", err)
//	}
//	d, err := daemon.New(settings, daemon.WithLogger(log))
//	if err != nil {
//		return fmt.Errorf("build daemon: %w", err)
//	}
//	return d.Run(ctx)
//
// The one-call entry lives in package daemon and not here, because the
// implementations import this package.
package spanrill
