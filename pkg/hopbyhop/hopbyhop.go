// Package hopbyhop identifies hop-by-hop header fields, which concern a single connection (RFC 9110, section 7.6.1).
package hopbyhop

import (
	"net/http"
	"strings"
)

var fields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	// These two are end-to-end fields, but each hop sets its own framing and expectation.
	"Content-Length": true, "Expect": true,
}

// IsField reports whether the field with the given canonical name must not be forwarded.
func IsField(name string) bool {
	return fields[name]
}

// ConnectionOptions returns the canonical names of the fields listed in the values of a Connection header, which must not be
// forwarded either. It returns nil if there is no Connection header.
func ConnectionOptions(connection []string) map[string]bool {
	if len(connection) == 0 {
		return nil
	}
	options := make(map[string]bool)
	for _, value := range connection {
		for option := range strings.SplitSeq(value, ",") {
			options[http.CanonicalHeaderKey(strings.TrimSpace(option))] = true
		}
	}
	return options
}
