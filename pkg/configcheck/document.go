// Package configcheck checks a version of the operator's configuration before it is stored: what VMs would refuse or can't use, what in
// it can never have an effect, which limits contradict each other, and what it changes in the version in force.
package configcheck

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// Field is a field of an item of the configuration.
type Field int

// Fields that findings are about. Self is the item as a whole.
const (
	Self Field = iota
	Version
	Limits
	Pools
	Organisations
	Name
	HeaderBytes
	BodyBytes
	HeaderTimeout
	IdleTimeout
	MaxConnections
	Keyed
	ColdRate
	WarmupTime
	Host
	Prefix
	Kind
	Timeout
	Objective
	Priority
	Pool
	Split
	MaxAttempts
	HomeRegions
	Public
	Credentials
	Rate
	Burst
)

// Index finds the values of a file by their paths. jsonc.Index implements it.
type Index interface {
	// Position returns the position of a value, or of the nearest enclosing one.
	Position(path string) finding.Position
	// Rejected reports whether a value, or one that encloses it, couldn't be decoded. Such values aren't checked.
	Rejected(path string) bool
}

// Document is a version of the configuration as a file describes it. Other than inventory.Configuration, it keeps what contradicts
// itself. Numbers and durations are those of the file, also negative ones.
type Document struct {
	Version       uint64
	Limits        inventory.Limits
	Pools         []PoolItem
	Hosts         []HostItem
	Organisations []OrganisationItem
	// FieldNames are the names that the file has for fields.
	FieldNames map[Field]string
	Index      Index
}

// PoolItem is a pool and its path in the file.
type PoolItem struct {
	inventory.Pool
	Path       string
	WarmupTime time.Duration
}

// HostItem is a host with its routes.
type HostItem struct {
	Path, Name string
	Routes     []RouteItem
}

// RouteItem is a route and its path in the file.
type RouteItem struct {
	inventory.Route
	Path string
	// SplitPaths are the paths of the PoolWeights. It is empty if the route names a single pool.
	SplitPaths []string
	// UnusedPool is the single pool that the route names although it has a split, which takes precedence.
	UnusedPool string
}

// OrganisationItem is an organisation and its path in the file.
type OrganisationItem struct {
	inventory.Organisation
	Path string
	Held []Credential
}

// Credential describes a credential without containing it.
type Credential struct {
	Path string
	// Digest identifies the credential. All documents that are compared use the same salt.
	Digest inventory.CredentialDigest
	// Bytes is its length.
	Bytes int
	// Sendable is false if no request can carry it in a header field.
	Sendable bool
}

// path returns the path of a field of an item. The item "" is the document.
func (d *Document) path(item string, field Field) string {
	name := d.FieldNames[field]
	switch {
	case field == Self:
		return item
	case item == "":
		return name
	}
	return item + "." + name
}

// finding returns a finding about a field of an item, and false if the value at its place couldn't be decoded.
func (d *Document) finding(severity finding.Severity, item string, field Field, message string) (finding.Finding, bool) {
	path := d.path(item, field)
	f := finding.Finding{Severity: severity, Path: path, Message: message, Position: d.Index.Position(path)}
	return f, !d.Index.Rejected(path)
}

// limitsPath is the path of the limits.
func (d *Document) limitsPath() string {
	return d.path("", Limits)
}

// configuration returns what VMs would use of the document to find routes.
func (d *Document) configuration() *inventory.Configuration {
	var routes []*inventory.Route
	for i := range d.Hosts {
		for j := range d.Hosts[i].Routes {
			routes = append(routes, &d.Hosts[i].Routes[j].Route)
		}
	}
	return inventory.NewConfiguration(d.Version, d.Limits, nil, routes)
}
