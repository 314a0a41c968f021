package event

import "github.com/charmbracelet/log"

// Events of the operator tools: 700 to 799.
var (
	OperatorStored     = define(700, log.InfoLevel, "configuration stored")
	OperatorAccepted   = define(701, log.InfoLevel, "configuration in force in every cell")
	OperatorIncomplete = define(702, log.WarnLevel, "configuration stored, not yet in force in every cell")
	OperatorConflict   = define(703, log.WarnLevel, "configuration not stored: another operator changed it first")
	OperatorRefused    = define(704, log.ErrorLevel, "configuration not accepted: the store is unavailable")
	OperatorPending    = define(705, log.ErrorLevel, "outcome of the configuration write is unknown")
	OperatorCancelled  = define(706, log.WarnLevel, "pending configuration write cancelled")
)
