package granting

import "spanrill"

// fleetMemory is how long the size of the fleet is remembered. A daemon that is cut off takes the
// others for dead after some seconds, although they go on. It would take over their shares.
const fleetMemory = 30 * spanrill.Second

// fleetSize is the number of live daemons that this daemon knows, and the largest one of the last
// fleetMemory. Its zero value is ready to use.
type fleetSize struct {
	current int
	// peaks has the observations that no later one reaches, in order of time.
	peaks []sizeAt
}

type sizeAt struct {
	daemons int
	at      spanrill.Millis
}

// observe records the number of live daemons. It ignores numbers under 1.
func (f *fleetSize) observe(now spanrill.Millis, daemons int) {
	if daemons < 1 {
		return
	}
	f.current = daemons
	for n := len(f.peaks); n > 0 && f.peaks[n-1].daemons <= daemons; n-- {
		f.peaks = f.peaks[:n-1]
	}
	f.peaks = append(f.peaks, sizeAt{daemons, now})
}

// largest returns the largest number of the last fleetMemory, or 0 if there is none.
func (f *fleetSize) largest(now spanrill.Millis) int {
	for len(f.peaks) > 1 && f.peaks[0].at < now-fleetMemory {
		f.peaks = f.peaks[1:]
	}
	if len(f.peaks) == 0 {
		return 0
	}
	return f.peaks[0].daemons
}

// isMinority reports whether the daemon now knows less than half of the daemons that it knew within
// fleetMemory. It has probably been cut off, and the others have a granting daemon of their own.
func (f *fleetSize) isMinority(now spanrill.Millis) bool { return 2*f.current < f.largest(now) }
