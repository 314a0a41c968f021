package event

import "github.com/charmbracelet/log"

// Gateway events: 400 to 499.
var (
	GroupActivated     = define(400, log.InfoLevel, "group activated")
	GroupDraining      = define(401, log.InfoLevel, "group draining")
	GroupReleased      = define(402, log.InfoLevel, "group released")
	TargetStateChanged = define(403, log.WarnLevel, "target state changed")
	GrantRefused       = define(404, log.WarnLevel, "target refused a grant")
	SliceReleased      = define(405, log.InfoLevel, "slice released")
	SlicePromoted      = define(406, log.WarnLevel, "recorded successor promoted by the gateway")
	ClaimsRecovered    = define(407, log.InfoLevel, "idempotency claims recovered")
	ClaimsLost         = define(408, log.WarnLevel, "idempotency claims lost: holder and mirror are both gone")
	ClaimMirrorLost    = define(409, log.WarnLevel, "claim mirror lost")
	SuspectsFound      = define(410, log.WarnLevel, "requests in flight at a crashed target became suspects")
	RequestQuarantined = define(411, log.ErrorLevel, "request quarantined after a second crash")
)
