package event

import "github.com/charmbracelet/log"

// Events of the entry process: 800 to 899.
var (
	EntryListening       = define(800, log.InfoLevel, "entry VM listens")
	EntryStopping        = define(801, log.InfoLevel, "graceful shutdown begins")
	EntryStopped         = define(802, log.InfoLevel, "graceful shutdown ended")
	SettingsReloaded     = define(803, log.InfoLevel, "settings read again")
	SettingsRejected     = define(804, log.ErrorLevel, "changed settings are invalid; the former ones stay in force")
	ConfigurationInForce = define(805, log.InfoLevel, "configuration in force")
	ConfigurationBad     = define(806, log.ErrorLevel, "configuration can't be decoded; the former one stays in force")
	RegistrationBad      = define(807, log.WarnLevel, "registration names no usable target")
	TargetRegistered     = define(808, log.InfoLevel, "target registered")
	TargetChanged        = define(809, log.InfoLevel, "registration of the target changed")
	TargetUnregistered   = define(810, log.InfoLevel, "target is no longer registered")
	DomainsOutChanged    = define(811, log.InfoLevel, "failure domains out of service changed")
	CoordinatorLost      = define(814, log.WarnLevel, "connection to the coordinator lost")
	CoordinatorRegained  = define(815, log.InfoLevel, "connected to the coordinator")
	EntriesDropped       = define(816, log.WarnLevel, "log lines dropped")
	MetricsFailed        = define(817, log.ErrorLevel, "metrics listener failed")
	FollowerJoined       = define(818, log.InfoLevel, "entry VM connected to this coordinator")
	FollowerLeft         = define(819, log.InfoLevel, "connection of an entry VM ended")

	DistributorChosen   = define(812, log.InfoLevel, "VM passes the tables on to its region")
	DistributorFollowed = define(813, log.InfoLevel, "tables come from another VM of the region")
	DistributorLost     = define(831, log.WarnLevel, "VM that passes the tables on is silent or behind")

	LeadershipTaken    = define(820, log.InfoLevel, "this VM has become the coordinator")
	LeadershipLost     = define(821, log.WarnLevel, "this VM is no longer the coordinator")
	LeadershipReleased = define(822, log.InfoLevel, "this VM has given up the coordinator's role")
	LeadershipYielded  = define(830, log.WarnLevel, "this VM is too slow for the coordinator's role and gives it up")
	ControlRowBad      = define(823, log.ErrorLevel, "row of the control table can't be decoded")
	CommitUnresolved   = define(824, log.WarnLevel, "outcome of a control write is unknown")
	SlicesMoved        = define(825, log.InfoLevel, "keys get another owner")
	SliceGranted       = define(826, log.InfoLevel, "owner has its keys")
	SliceFenced        = define(827, log.WarnLevel, "target has seen a higher fence; keys get a new one")
	TargetLost         = define(828, log.WarnLevel, "target no longer answers grants")
	KeysReleased       = define(829, log.InfoLevel, "former owner has released its keys")

	RequestAnswered = define(840, log.DebugLevel, "request answered")
	RequestRefused  = define(841, log.InfoLevel, "request refused without having run")
	RequestFailed   = define(842, log.WarnLevel, "request failed")
	AttemptFailed   = define(843, log.InfoLevel, "attempt at a target failed")
	CallerLeft      = define(844, log.InfoLevel, "caller gave up")

	TargetBoundBroken      = define(845, log.WarnLevel, "target broke a bound of what is read from it")
	MessageRejected        = define(847, log.WarnLevel, "message of another VM can't be handled, its connection is closed")
	TargetBroke            = define(848, log.WarnLevel, "connections to the target ended before an answer")
	TargetAnswersAgain     = define(849, log.InfoLevel, "target answers after its connections had ended: it hasn't crashed")
	CrashingRequestRefused = define(850, log.ErrorLevel, "request has crashed several targets and is refused")

	TargetLeaves = define(851, log.InfoLevel, "target says in an answer that it leaves")

	TargetClosed = define(852, log.InfoLevel, "target wants nothing from this VM for a time")

	PanicRecovered = define(846, log.ErrorLevel, "unexpected error, the process goes on")
)
