package event

import "github.com/charmbracelet/log"

// Controller events: 300 to 399.
var (
	TermAcquired       = define(300, log.InfoLevel, "term acquired")
	TermLost           = define(301, log.WarnLevel, "term lost")
	TermReleased       = define(302, log.InfoLevel, "term released")
	AuthorityExpired   = define(303, log.WarnLevel, "authority expired")
	AuthorityRegained  = define(304, log.InfoLevel, "authority regained")
	CellCollected      = define(305, log.InfoLevel, "cell state collected after a change of term")
	RosterChanged      = define(306, log.InfoLevel, "roster changed")
	GroupGranted       = define(307, log.InfoLevel, "group granted")
	GroupRevoked       = define(308, log.InfoLevel, "group revoked")
	GroupFreed         = define(309, log.InfoLevel, "group free")
	SlicesWritten      = define(310, log.InfoLevel, "slices written")
	SlicesConflict     = define(311, log.WarnLevel, "slices were written by another controller")
	StoreLost          = define(312, log.WarnLevel, "store unreachable")
	StoreRegained      = define(313, log.InfoLevel, "store reachable again")
	ConfigAdopted      = define(314, log.InfoLevel, "configuration adopted")
	ConfigInvalid      = define(315, log.ErrorLevel, "stored configuration is invalid")
	RouterSilent       = define(316, log.WarnLevel, "router sends no heartbeats")
	RecordInvalid      = define(317, log.ErrorLevel, "stored record is invalid")
	SuccessorsPromoted = define(318, log.WarnLevel, "recorded successors promoted without the store")
)
