// Package check collects findings about single values: names, addresses, URLs and ranges. Findings carry paths; the
// document's index adds the places.
package check

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"github.com/bronzelever/bronzelever/pkg/finding"
)

const (
	// AllowedName describes what ValidName accepts.
	AllowedName = "lower-case letters, digits and inner hyphens, 1 to 63 characters"
	// AllowedAddress describes what Address accepts.
	AllowedAddress = "host:port with a port from 1 to 65535"
	// AllowedURL describes what ValidURL accepts.
	AllowedURL = "http://host or https://host, with or without port and path"
)

// namePattern keeps names usable in group IDs, store keys and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Checker collects findings.
type Checker struct {
	Findings finding.List
}

// Fail adds an error.
func (c *Checker) Fail(path, message, allowed string) {
	c.Findings.Add(finding.Finding{Path: path, Message: message, Allowed: allowed})
}

// Warn adds a warning.
func (c *Checker) Warn(path, message, allowed string) {
	c.Findings.Add(finding.Finding{Severity: finding.Warning, Path: path, Message: message, Allowed: allowed})
}

// Name checks a name with ValidName.
func (c *Checker) Name(path, name string) {
	switch {
	case name == "":
		c.Fail(path, "missing", AllowedName)
	case !ValidName(name):
		c.Fail(path, fmt.Sprintf("%q is not a name", name), AllowedName)
	}
}

// Address checks a host:port.
func (c *Checker) Address(path, address string) {
	if address == "" {
		c.Fail(path, "missing", AllowedAddress)
		return
	}
	if err := ParseAddress(address); err != nil {
		c.Fail(path, err.Error(), AllowedAddress)
	}
}

// URL checks an absolute http or https URL.
func (c *Checker) URL(path, text string) {
	switch {
	case text == "":
		c.Fail(path, "missing", AllowedURL)
	case !ValidURL(text):
		c.Fail(path, fmt.Sprintf("%q is not a URL", text), AllowedURL)
	}
}

// Within checks an inclusive range.
func (c *Checker) Within(path string, n, low, high int64) {
	if n < low || n > high {
		c.Fail(path, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("%d to %d", low, high))
	}
}

// Required checks that a text is given.
func (c *Checker) Required(path, text, what string) {
	if text == "" {
		c.Fail(path, "missing", what)
	}
}

// ValidName tells whether a name may be used for VMs, cells, regions, failure domains, pools, routes and targets.
func ValidName(name string) bool {
	return namePattern.MatchString(name)
}

// ParseAddress checks a host:port.
func ParseAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || strings.ContainsAny(host, " /") {
		return fmt.Errorf("%q is not an address", address)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 {
		return fmt.Errorf("%q has no valid port", address)
	}
	return nil
}

// ValidURL tells whether text is an absolute http or https URL.
func ValidURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
