package event

import "github.com/charmbracelet/log"

// Events of the router's data plane: 200 to 299.
var (
	RouterListening     = define(200, log.InfoLevel, "router listening")
	RouterDrainStep     = define(201, log.InfoLevel, "graceful shutdown proceeds")
	RouterDrainFailed   = define(202, log.ErrorLevel, "graceful shutdown ended with exchanges in flight")
	ResponseTruncated   = define(203, log.WarnLevel, "response was cut short; caller connection aborted")
	HTTPServerMessage   = define(204, log.WarnLevel, "HTTP server message")
	SuspectsUnconfirmed = define(205, log.WarnLevel, "router did not acknowledge suspect requests")
)
