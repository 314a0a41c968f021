package event

import "github.com/charmbracelet/log"

// Events of the router's control plane: 500 to 599.
var (
	AuthorityGained    = define(500, log.InfoLevel, "authority gained")
	AuthorityLost      = define(501, log.WarnLevel, "authority lost, groups dropped")
	ControllerFound    = define(502, log.InfoLevel, "controller found")
	ControllerLost     = define(503, log.WarnLevel, "controller lost")
	TermAccepted       = define(504, log.InfoLevel, "term accepted")
	ConfigInForce      = define(505, log.InfoLevel, "configuration in force")
	AgentConfigInvalid = define(506, log.ErrorLevel, "configuration is invalid")
	AgentLeaving       = define(507, log.InfoLevel, "router is leaving its cell")
	VMListUnreadable   = define(508, log.WarnLevel, "failed to read the VM list")
)
