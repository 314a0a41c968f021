package event

import "github.com/charmbracelet/log"

// Process events: 100 to 199.
var (
	ProcessStarted  = define(100, log.InfoLevel, "process started")
	ProcessDraining = define(101, log.InfoLevel, "graceful shutdown started")
	ProcessStopped  = define(102, log.InfoLevel, "process stopped")
	ProcessFailed   = define(103, log.ErrorLevel, "process failed")
	ListenerFailed  = define(104, log.ErrorLevel, "listener failed")
)
