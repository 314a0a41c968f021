package event

import (
	"log"
	"strings"
)

// HTTPLog returns a standard logger for net/http that writes each message as an event. The messages contain addresses and errors of
// connections, but no data of requests.
func (l *Logger) HTTPLog() *log.Logger {
	return log.New(httpLogWriter{l}, "", 0)
}

type httpLogWriter struct {
	log *Logger
}

// Write implements io.Writer. It logs the first line of a message and drops the rest.
func (l httpLogWriter) Write(p []byte) (int, error) {
	text, _, _ := strings.Cut(string(p), "\n")
	l.log.Emit(HTTPServerMessage, "message", text)
	return len(p), nil
}
