// Package check validates single values, such as names, addresses, URLs and ranges, and collects findings about them.
// Findings carry paths within the document; the document's index adds their positions.
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

// Checker validates values and collects the findings.
type Checker struct {
	Findings finding.List
}

// Fail adds a finding of severity error.
func (c *Checker) Fail(path, message, allowed string) {
	c.Findings.Add(finding.Finding{Path: path, Message: message, Allowed: allowed})
}

// Warn adds a finding of severity warning.
func (c *Checker) Warn(path, message, allowed string) {
	c.Findings.Add(finding.Finding{Severity: finding.Warning, Path: path, Message: message, Allowed: allowed})
}

// Name adds an error if name is missing or ValidName rejects it.
func (c *Checker) Name(path, name string) {
	switch {
	case name == "":
		c.Fail(path, "missing", AllowedName)
	case !ValidName(name):
		c.Fail(path, fmt.Sprintf("%q is not a name", name), AllowedName)
	}
}

// Address adds an error if address is missing or ParseAddress rejects it.
func (c *Checker) Address(path, address string) {
	if address == "" {
		c.Fail(path, "missing", AllowedAddress)
		return
	}
	if err := ParseAddress(address); err != nil {
		c.Fail(path, err.Error(), AllowedAddress)
	}
}

// URL adds an error if text is missing or ValidURL rejects it.
func (c *Checker) URL(path, text string) {
	switch {
	case text == "":
		c.Fail(path, "missing", AllowedURL)
	case !ValidURL(text):
		c.Fail(path, fmt.Sprintf("%q is not a URL", text), AllowedURL)
	}
}

// Within adds an error if n is outside the inclusive range from low to high.
func (c *Checker) Within(path string, n, low, high int64) {
	if n < low || n > high {
		c.Fail(path, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("%d to %d", low, high))
	}
}

// Required adds an error if text is empty.
func (c *Checker) Required(path, text, allowed string) {
	if text == "" {
		c.Fail(path, "missing", allowed)
	}
}

// ValidName reports whether name is a valid name for VMs, cells, regions, failure domains, pools, routes and targets.
func ValidName(name string) bool {
	return namePattern.MatchString(name)
}

// ParseAddress returns an error unless address is host:port with a port from 1 to 65535.
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

// ValidURL reports whether text is an absolute http or https URL.
func ValidURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
