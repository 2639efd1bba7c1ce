package spanrill

// Outcome tells whether a request ran on an upstream.
type Outcome uint8

// The outcomes. The zero value applies when nothing is known.
const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeRan means that the request ran.
	OutcomeRan
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun
)

var outcomeNames = [...]string{
	OutcomeUnknown: "unknown",
	OutcomeRan:     "ran",
	OutcomeNotRun:  "not-run",
}

// String returns the name used in the Spanrill-Outcome header.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return outcomeNames[OutcomeUnknown]
	}
	return outcomeNames[o]
}

// Phase tells how far a call to an upstream got before it failed.
type Phase uint8

// The phases of a call, in order.
const (
	// PhaseDial means that no connection was made.
	PhaseDial Phase = iota
	// PhaseSend means that bytes of the request may have been written.
	PhaseSend
	// PhaseAnswer means that the request was written and the answer failed.
	PhaseAnswer
	// PhaseRefused means that the upstream's protocol reported that it did not run
	// the request.
	PhaseRefused
)

var phaseNames = [...]string{
	PhaseDial:    "dial",
	PhaseSend:    "send",
	PhaseAnswer:  "answer",
	PhaseRefused: "refused",
}

// String returns the phase's name.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "invalid"
	}
	return phaseNames[p]
}

// OutcomeOf returns the outcome of a call that failed in phase p. It is the only place that decides
// this. Written is the number of bytes of the request that were handed to the operating system.
func OutcomeOf(p Phase, written int) Outcome {
	switch p {
	case PhaseDial, PhaseRefused:
		return OutcomeNotRun
	case PhaseSend:
		if written == 0 {
			return OutcomeNotRun
		}
	}
	return OutcomeUnknown
}
