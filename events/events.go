// Package events defines the events that spanrill logs. Each has a number whose meaning never
// changes. docs/EVENTS.md documents them, and a test compares it with this package.
//
// # Usage
//
//	events.ConfigActivated.Log(log, logrus.Fields{"revision": 7})
package events

import (
	"github.com/sirupsen/logrus"
)

// Event is a kind of log line with a fixed number, level and message.
type Event struct {
	number int
	level  logrus.Level
	text   string
}

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Level returns the level at which the event is logged.
func (e Event) Level() logrus.Level { return e.level }

// Text returns the event's message.
func (e Event) Text() string { return e.text }

// Log writes the event with the given fields if its level is enabled.
func (e Event) Log(log logrus.FieldLogger, fields logrus.Fields) {
	entry := log.WithField("event", e.number)
	if entry.Logger.IsLevelEnabled(e.level) {
		entry.WithFields(fields).Log(e.level, e.text)
	}
}

// catalogue holds all defined events.
var catalogue []Event

// define returns a new event and adds it to the catalogue.
func define(number int, level logrus.Level, text string) Event {
	e := Event{number: number, level: level, text: text}
	catalogue = append(catalogue, e)
	return e
}

// All returns all events in the order of their definition.
func All() []Event { return append([]Event(nil), catalogue...) }

// The process, 100 to 199.
var (
	DaemonStarted       = define(100, logrus.InfoLevel, "daemon started")
	DaemonReady         = define(101, logrus.InfoLevel, "daemon ready")
	DaemonDraining      = define(102, logrus.InfoLevel, "daemon draining")
	DaemonStopped       = define(103, logrus.InfoLevel, "daemon stopped")
	DaemonDrainTimedOut = define(104, logrus.WarnLevel, "drain took longer than allowed")
	ComponentFailed     = define(105, logrus.ErrorLevel, "component of the daemon failed")
	SettingsReloaded    = define(106, logrus.InfoLevel, "settings file checked, running settings unchanged")
	AcceptFailed        = define(107, logrus.WarnLevel, "cannot accept new connections from callers")
	AcceptRecovered     = define(108, logrus.InfoLevel, "accepting new connections from callers")
	RequestsHeld        = define(109, logrus.InfoLevel, "holding requests until configuration and upstreams are known")
	ProcessStalled      = define(110, logrus.WarnLevel, "process ran late what was due")
)

// Configuration, 200 to 299.
var (
	ConfigActivated       = define(200, logrus.InfoLevel, "configuration in force")
	ConfigRejected        = define(201, logrus.ErrorLevel, "configuration rejected")
	ConfigDiverged        = define(203, logrus.ErrorLevel, "platform's configuration lacks accepted edits")
	ConfigWrittenBack     = define(204, logrus.WarnLevel, "accepted edits written back to the platform")
	ConfigWriteBackFailed = define(205, logrus.ErrorLevel, "accepted edits could not be written back")
	ConfigFromPeer        = define(206, logrus.InfoLevel, "configuration taken from a peer")
	ConfigStale           = define(207, logrus.WarnLevel, "configuration can no longer be confirmed as current")
	ConfigFresh           = define(208, logrus.InfoLevel, "configuration confirmed as current")
	KeysWithdrawn         = define(209, logrus.InfoLevel, "keys withdrawn by a configuration")
	ConfigImplausible     = define(210, logrus.WarnLevel, "configuration has an implausible value, using the observed one")
	ConfigIgnored         = define(211, logrus.WarnLevel, "configuration with a lower version ignored")
	ConfigUnproved        = define(212, logrus.WarnLevel, "proof of the configuration is older than a change may take")
	ConfigProved          = define(213, logrus.InfoLevel, "configuration proved as the newest")
)

// The platform, 300 to 399.
var (
	PlatformLost      = define(300, logrus.WarnLevel, "platform does not answer")
	PlatformRecovered = define(301, logrus.InfoLevel, "platform answers again")
	HistoryGone       = define(302, logrus.WarnLevel, "platform no longer has the requested changes, listing again")
	StoreRestored     = define(303, logrus.WarnLevel, "platform store restored from an older copy")
	ListOutdated      = define(304, logrus.WarnLevel, "ignored a collection list older than the known revision")
)

// Membership and peers, 400 to 449.
var (
	PeerJoined     = define(400, logrus.InfoLevel, "peer joined")
	PeerSuspected  = define(401, logrus.WarnLevel, "peer suspected to have failed")
	PeerLost       = define(402, logrus.WarnLevel, "peer lost")
	PeerReturned   = define(403, logrus.InfoLevel, "peer returned")
	PeerLeft       = define(404, logrus.InfoLevel, "peer left")
	FleetSizeKnown = define(405, logrus.InfoLevel, "number of daemons known")

	RetriesBorrowed = define(406, logrus.InfoLevel, "tried to borrow retries from other daemons")
	LoanInvalid     = define(407, logrus.WarnLevel, "peer granted an invalid loan of retries")
	PeerRefused     = define(410, logrus.WarnLevel, "rejected a peer during the handshake")
	FrameRefused    = define(411, logrus.WarnLevel, "frame refused")
	PeerQueueFull   = define(412, logrus.WarnLevel, "message to peer dropped because its queue is full")
)

// Connections, 450 to 499.
var (
	ConnectionSilent = define(450, logrus.WarnLevel, "closed an open connection that had gone silent")
	PathLost         = define(460, logrus.WarnLevel, "lost the network path to the upstreams of a service")
	PathRestored     = define(461, logrus.InfoLevel, "network path to the upstreams of a service works again")
	TunnelUsed       = define(462, logrus.InfoLevel, "connected to an upstream through another daemon")
	TunnelDenied     = define(463, logrus.InfoLevel, "another daemon did not connect this one to an upstream")
	TunnelOpened     = define(464, logrus.InfoLevel, "connected another daemon to an upstream")
	PeerPathLost     = define(465, logrus.WarnLevel, "another daemon has lost its network path to the upstreams of a service")
	PeerPathRestored = define(466, logrus.InfoLevel, "another daemon's network path to the upstreams of a service works again")
	NoHelperFound    = define(467, logrus.WarnLevel, "found no daemon that reaches an upstream")
)

// Upstreams, 500 to 599.
var (
	UpstreamFound           = define(500, logrus.InfoLevel, "upstream found")
	UpstreamLeaving         = define(501, logrus.InfoLevel, "upstream leaving")
	UpstreamRemoved         = define(502, logrus.InfoLevel, "upstream removed")
	UpstreamEjected         = define(503, logrus.WarnLevel, "upstream ejected")
	UpstreamRecovered       = define(504, logrus.InfoLevel, "upstream recovered")
	UpstreamEntryKept       = define(505, logrus.InfoLevel, "upstream entry missing after a platform outage or restore, upstream kept for now")
	UpstreamEntryUnreadable = define(506, logrus.ErrorLevel, "invalid upstream entry")
	UpstreamVerified        = define(511, logrus.InfoLevel, "lease holder checked an upstream that requests reported as failing")
	UpstreamStalled         = define(507, logrus.WarnLevel, "upstream marked as dead: a request waiting for it has stalled")
	UpstreamSlow            = define(509, logrus.WarnLevel, "upstream reports that it is slow")

	UpstreamRestarted         = define(512, logrus.InfoLevel, "upstream restarted under the same name")
	AddressConflictChecked    = define(513, logrus.InfoLevel, "upstream at an address listed by two entries identified itself")
	AddressConflictUnanswered = define(514, logrus.WarnLevel, "upstream at an address listed by two entries did not identify itself")

	UpstreamResting          = define(515, logrus.InfoLevel, "upstream asks for no requests for a while (Retry-After)")
	UpstreamAnnouncedLeaving = define(516, logrus.InfoLevel, "upstream announced in an answer that it is leaving")
	RestUnreadable           = define(517, logrus.WarnLevel, "upstream sends a Retry-After that is not a valid number of seconds")
	LimitSet                 = define(519, logrus.InfoLevel, "upstream sets a rate limit for all daemons combined")
	LimitRemoved             = define(520, logrus.InfoLevel, "upstream removes its rate limit")
	LimitUnreadable          = define(521, logrus.WarnLevel, "upstream sends an invalid rate limit")
	LocalResourcesExhausted  = define(518, logrus.WarnLevel, "cannot open connections: out of descriptors, ports or memory")

	EntryQuarantined = define(522, logrus.InfoLevel, "removed upstream entry reappeared after the store was restored, quarantined")

	ChainsChanged = define(508, logrus.InfoLevel, "chains of a service changed")
)

// Requests, 600 to 699.
var (
	RequestRefused       = define(600, logrus.DebugLevel, "request refused")
	StreamResumed        = define(601, logrus.InfoLevel, "stream resumed on another chain")
	StreamFailed         = define(602, logrus.WarnLevel, "stream ended with an error")
	TokenRejected        = define(603, logrus.ErrorLevel, "generated token rejected")
	CallOutcomeUnknown   = define(604, logrus.WarnLevel, "outcome of a call unknown")
	ClaimUnsettled       = define(605, logrus.WarnLevel, "outcome of a claim could not be recorded")
	RequestPanicked      = define(607, logrus.ErrorLevel, "request handler panicked")
	RequestSent          = define(620, logrus.InfoLevel, "request sent to an upstream")
	RequestEnded         = define(621, logrus.InfoLevel, "request ended")
	RequestRetried       = define(622, logrus.InfoLevel, "request retried")
	RequestGivenUp       = define(623, logrus.WarnLevel, "request refused, no further attempt")
	RequestMoved         = define(624, logrus.InfoLevel, "running request moved to another path")
	RequestMoveFailed    = define(625, logrus.WarnLevel, "running request could not be moved")
	ContinuationAdopted  = define(626, logrus.InfoLevel, "stream continued on another path after its last event")
	CallerLeft           = define(627, logrus.InfoLevel, "caller disconnected, request cancelled")
	NoOtherPath          = define(628, logrus.InfoLevel, "no other path available for a request")
	PathSilent           = define(629, logrus.WarnLevel, "long silence on a path")
	ContinuationSent     = define(631, logrus.InfoLevel, "continuation sent on another path, any running attempt kept until it is accepted")
	ContinuationRejected = define(632, logrus.InfoLevel, "continuation was not accepted")
	UpstreamCrashed      = define(633, logrus.WarnLevel, "upstream crashed while running a request")
	RequestSuspected     = define(634, logrus.WarnLevel, "request withheld: upstreams crashed while running it")
	SuspectsReceived     = define(635, logrus.InfoLevel, "peer sent records of upstream crashes during requests")
	SuspectsStored       = define(636, logrus.InfoLevel, "stored the records of requests suspected of crashing upstreams")
	SuspectsLoaded       = define(637, logrus.InfoLevel, "read from the store the records of requests suspected of crashing upstreams")
	SuspectsStoreFailed  = define(638, logrus.WarnLevel, "cannot read or write the stored records of requests suspected of crashing upstreams")
	PartWithheld         = define(650, logrus.WarnLevel, "part of prompts withheld: engines crashed under requests with it")
	PartReleased         = define(651, logrus.InfoLevel, "part of prompts no longer withheld")
	PartTrialSent        = define(652, logrus.InfoLevel, "request with suspected parts sent as a trial")
	PartsReceived        = define(653, logrus.InfoLevel, "peer sent evidence about parts of prompts")
	RequestTrialSent     = define(639, logrus.InfoLevel, "request suspected of crashing upstreams sent to one upstream as a trial")
	RoomDivisionChanged  = define(640, logrus.InfoLevel, "room of a service is divided among the daemons from now on, or no longer")
	RoomGranterChanged   = define(641, logrus.InfoLevel, "this daemon grants the room of a service from now on, or no longer")
	RoomGranterSilent    = define(642, logrus.WarnLevel, "daemon that grants the room of a service does not answer")
	RoomOwnShare         = define(643, logrus.WarnLevel, "no daemon grants room, starting requests within this daemon's own share")
	RoomGranterReached   = define(644, logrus.InfoLevel, "daemon that grants the room of a service answers again")
	RoomGrantUnusable    = define(645, logrus.InfoLevel, "this daemon cannot use the chain that a request was granted")
	RoomShort            = define(646, logrus.InfoLevel, "requests of a service wait for room or are refused")
	RoomLapsed           = define(647, logrus.WarnLevel, "room of requests whose daemons stopped reporting taken back")
	LogsDropped          = define(630, logrus.WarnLevel, "log lines dropped, output too slow")
)

// Leases, orders and placement, 700 to 799.
var (
	LeaseAcquired   = define(700, logrus.InfoLevel, "lease acquired")
	LeaseLost       = define(701, logrus.WarnLevel, "lease lost")
	LeaseHandedBack = define(702, logrus.InfoLevel, "lease handed back")
	OrderGiven      = define(710, logrus.InfoLevel, "order given to an upstream")
	OrderRefused    = define(711, logrus.WarnLevel, "upstream refused an order")
	OrderFailed     = define(712, logrus.WarnLevel, "order to an upstream failed")
	OrderDelayed    = define(713, logrus.InfoLevel, "order to an upstream not sent")
	LayoutPlanned   = define(714, logrus.InfoLevel, "layout planned")
)
