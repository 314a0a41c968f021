package event

import "github.com/charmbracelet/log"

// Events of the platform's services: 600 to 699.
var (
	VMListUnavailable = define(610, log.WarnLevel, "VM list is stale")
	VMListAvailable   = define(611, log.InfoLevel, "VM list is current again")
	VMListChanged     = define(612, log.InfoLevel, "VM list changed")
)
