package event

import "github.com/charmbracelet/log"

// Events of the entry process: 800 to 899.
var (
	EntryListening       = define(800, log.InfoLevel, "entry VM listening")
	EntryStopping        = define(801, log.InfoLevel, "graceful shutdown started")
	EntryStopped         = define(802, log.InfoLevel, "graceful shutdown ended")
	SettingsReloaded     = define(803, log.InfoLevel, "settings reloaded")
	SettingsRejected     = define(804, log.ErrorLevel, "changed settings are invalid; the previous ones stay in force")
	ConfigurationInForce = define(805, log.InfoLevel, "configuration in force")
	ConfigurationInvalid = define(806, log.ErrorLevel, "configuration can't be decoded; the previous one stays in force")
	RegistrationInvalid  = define(807, log.WarnLevel, "target registration is invalid")
	TargetRegistered     = define(808, log.InfoLevel, "target registered")
	TargetChanged        = define(809, log.InfoLevel, "target registration changed")
	TargetUnregistered   = define(810, log.InfoLevel, "target is no longer registered")
	RemovalsReported     = define(834, log.InfoLevel, "another VM has seen registrations removed from the store")
	RegistrationIgnored  = define(832, log.WarnLevel, "registration names a pool that isn't configured; it is ignored")
	DomainsOutChanged    = define(811, log.InfoLevel, "failure domains out of service changed")
	CoordinatorLost      = define(814, log.WarnLevel, "connection to the coordinator lost")
	CoordinatorRegained  = define(815, log.InfoLevel, "connected to the coordinator")
	LogLinesDropped      = define(816, log.WarnLevel, "log lines dropped")
	MetricsFailed        = define(817, log.ErrorLevel, "metrics listener failed")
	FollowerJoined       = define(818, log.InfoLevel, "entry VM connected to this coordinator")
	FollowerLeft         = define(819, log.InfoLevel, "connection of an entry VM ended")

	DistributorAssigned = define(812, log.InfoLevel, "VM assigned as table distributor of its region")
	DistributorFollowed = define(813, log.InfoLevel, "receiving tables from another VM of the region")
	DistributorLost     = define(831, log.WarnLevel, "table distributor is silent or behind")

	LeadershipAcquired = define(820, log.InfoLevel, "this VM has become the coordinator")
	LeadershipLost     = define(821, log.WarnLevel, "this VM is no longer the coordinator")
	LeadershipReleased = define(822, log.InfoLevel, "this VM has resigned as coordinator")
	LeadershipYielded  = define(830, log.WarnLevel, "this VM is too slow to be the coordinator and resigns")
	ControlRowInvalid  = define(823, log.ErrorLevel, "row of the control table can't be decoded")
	CommitUnresolved   = define(824, log.WarnLevel, "outcome of a control write is unknown")
	SlicesMoved        = define(825, log.InfoLevel, "key range assigned to another owner")
	SliceGranted       = define(826, log.InfoLevel, "owner accepted the grant of its key range")
	SliceFenced        = define(827, log.WarnLevel, "target has seen a higher fence; key range gets a new one")
	TargetLost         = define(828, log.WarnLevel, "target no longer responds to grants")
	KeysReleased       = define(829, log.InfoLevel, "previous owner released its key range")
	OwnerReplaced      = define(833, log.InfoLevel, "another target shows that the previous owner is gone; its key range is granted without a release")

	RequestAnswered    = define(840, log.DebugLevel, "request answered")
	RequestRefused     = define(841, log.InfoLevel, "request refused without having run")
	RequestFailed      = define(842, log.WarnLevel, "request failed")
	AttemptFailed      = define(843, log.InfoLevel, "attempt at a target failed")
	CallerDisconnected = define(844, log.InfoLevel, "caller disconnected")

	CredentialRejected = define(856, log.InfoLevel, "request refused: it has no valid credential")

	RequestHedged = define(857, log.DebugLevel, "request was sent to a second target while the first one was working on it")

	TargetLimitExceeded    = define(845, log.WarnLevel, "target broke a bound of what is read from it")
	MessageRejected        = define(847, log.WarnLevel, "failed to handle a message of another VM; connection closed")
	TargetConnectionsLost  = define(848, log.WarnLevel, "connections to the target closed before a complete response")
	TargetRespondsAgain    = define(849, log.InfoLevel, "target responds after its connections had closed; it has not crashed")
	SilentTargetGone       = define(858, log.WarnLevel, "target is gone without notice and has left requests unanswered")
	CrashingRequestRefused = define(850, log.ErrorLevel, "request has crashed several targets and is refused")

	TargetLeaving = define(851, log.InfoLevel, "target announced in a response that it is leaving")

	TargetBackoffRequested = define(852, log.InfoLevel, "target asked this VM to send nothing for a time")

	TargetLimitNamed     = define(853, log.InfoLevel, "target named a rate limit")
	TargetLimitWithdrawn = define(854, log.InfoLevel, "target withdrew its rate limit")
	TargetLimitInvalid   = define(855, log.WarnLevel, "rate limit of a target can't be parsed; an earlier one remains")

	PipelineMismatch   = define(860, log.ErrorLevel, "a pipelined request differs from the one that was handled ahead; the result is dropped")
	CallerStalled      = define(861, log.InfoLevel, "caller doesn't read its response; its connection is closed")
	QuotaShareGranted  = define(870, log.InfoLevel, "share of the quotas granted to this VM")
	QuotaSharedLocally = define(871, log.WarnLevel, "this VM uses its own share of the quotas, without a coordinator")
	QuotaPartUnknown   = define(872, log.InfoLevel, "part of the quotas stays unused because a previous coordinator may have granted it")
	StoreRestored      = define(880, log.WarnLevel, "store was restored from an older copy")
	ControlTableLost   = define(881, log.WarnLevel, "restored store has an older control table; coordinator writes it again")
	RestoredTableHeld  = define(882, log.WarnLevel, "table of key ranges was restored with the store; its keys are granted after all earlier grants have expired")
	StartupCompleted   = define(891, log.InfoLevel, "process knows a configuration and targets")
	OlderConfiguration = define(883, log.WarnLevel, "restored store has an older configuration; the newer one stays in force")

	InterRegionBytes = define(890, log.InfoLevel, "bytes sent to and received from other regions since the process started")

	PanicRecovered = define(846, log.ErrorLevel, "unexpected error; the process continues")
)
