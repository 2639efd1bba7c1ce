// Package spanrill holds the types and interfaces that the parts of the
// spanrill router share.
//
// Spanrill routes inference pipelines over mixed accelerators. Each answer
// crosses several engines, and each engine holds a contiguous range of a
// model's layers. Plain services are routed as well, and some of their calls
// must not be repeated.
//
// Apart from small value types the package has no behaviour of its own. Each
// interface declared here is implemented in one or more packages below this one:
//
//	ObjectStore   protocol/objectapi, platform  the platform's object API over HTTP
//	BoxLister     protocol/objectapi            the platform's box list over HTTP
//	Engines       protocol/engineapi            model engines over HTTP
//	Services      protocol/serviceapi           plain services over HTTP
//	Collection    platform                      collections of the users' platform over HTTP
//	LayerEngines  platform                      engines of the users' platform over HTTP
//	Identifier    platform                      identity requests to upstreams over HTTP
//	HeaderCodec   platform                      headers of the users' platform
//	Clock         clock                         monotonic milliseconds
//
// Interfaces used within one layer are declared by the package that uses them,
// for example routing.Policy and callerapi.Admission.
//
// # Usage
//
// A program that embeds a complete router builds a daemon and runs it until its
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
// The daemon is in a package of its own, because the implementations import this
// package.
package spanrill
