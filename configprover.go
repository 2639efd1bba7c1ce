package spanrill

import "context"

// ConfigProver obtains proof that the configuration in force is the newest.
type ConfigProver interface {
	// Prove waits until the configuration is proved to have been the newest at since or later, a time of
	// the process's clock, and reports whether it is. It returns false at once if no proof can be
	// expected, and before the context ends if none comes.
	Prove(ctx context.Context, since Millis) bool
	// StoreSilent reports whether the platform's store is known to answer no daemon, so that changes of
	// the configuration are in force nowhere. Without evidence it is false.
	StoreSilent() bool
}
