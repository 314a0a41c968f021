package replica

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
	"github.com/bronzelever/bronzelever/pkg/sharedrate"
)

// Update is a message from the coordinator or a distributor to another VM. It carries what has changed, and also serves as a
// heartbeat.
type Update struct {
	Deltas []Delta `msgpack:"d,omitempty"`
	// Packed contains large deltas in compressed form: whole tables for a VM that has connected, and large changes.
	Packed []byte `msgpack:"p,omitempty"`
	// Routes are the changed slices of keyed pools, or all of them if AllRoutes is set.
	Routes    map[string][]coordinator.Route `msgpack:"k,omitempty"`
	AllRoutes bool                           `msgpack:"w,omitempty"`
	// Leader is set by a VM that isn't the coordinator. It names the VM to connect to instead.
	Leader *coordinator.Notice `msgpack:"o,omitempty"`
	// Distributor is the address of the VM from which the receiver gets the tables and routes. It is empty if they come with
	// this update.
	Distributor string `msgpack:"h,omitempty"`
	// Region is the sender's region, and Format the short messages that it understands (formatShort). Both are sent in the first update
	// on a connection.
	Region string `msgpack:"rg,omitempty"`
	Format int    `msgpack:"fm,omitempty"`
	// MinElectionDelayMs is the lowest BaseElectionDelayMs of the connected VMs and the coordinator.
	MinElectionDelayMs int64 `msgpack:"s,omitempty"`
	// LeaseVersion is the version of the coordinator's row.
	LeaseVersion uint64 `msgpack:"l"`
	// StoreAge is the time since the coordinator's last read of the store, in milliseconds.
	StoreAge int64 `msgpack:"a"`
	// ConfigurationAgeMs is the time since the sender's newest information about the configuration, in milliseconds, at least 1. It is 0
	// if the sender doesn't state it; StoreAge then applies.
	ConfigurationAgeMs int64 `msgpack:"c,omitempty"`
	// Suspects are the changed records of requests that may crash targets.
	Suspects []quarantine.Record `msgpack:"q,omitempty"`
	// QuarantineKnown is set with Suspects if the sender knows the stored records of refused requests, directly or from other VMs. A
	// VM of an earlier version doesn't set it.
	QuarantineKnown bool `msgpack:"qk,omitempty"`
	// Leaving are the targets that have announced in a response that they are shutting down.
	Leaving []inventory.Incarnation `msgpack:"g,omitempty"`
	// Limits are the changed rate limits of targets.
	Limits []ratelimit.Record `msgpack:"m,omitempty"`
	// Quota is about the receiver's share of the organisations' quotas. It is sent only if any of them has one.
	Quota *sharedrate.Offer `msgpack:"b,omitempty"`
	// Index is the number of the receiver among the connected VMs, starting at 1; only earlier versions use it. Count is the number of
	// VMs including the coordinator.
	Index int `msgpack:"i"`
	Count int `msgpack:"n"`
}

// SpanAge is a Span as sent to another VM: how long ago it began and ended, in milliseconds.
type SpanAge struct {
	FromMs int64 `msgpack:"f"`
	ToMs   int64 `msgpack:"t"`
}

// Age returns the span as seen at the given time.
func (s Span) Age(now clock.Instant) SpanAge {
	return SpanAge{FromMs: now.Sub(s.From).Milliseconds(), ToMs: now.Sub(s.To).Milliseconds()}
}

// Before returns the span that had the given age at the given time.
func (a SpanAge) Before(now clock.Instant) Span {
	to := now.Add(-time.Duration(max(0, a.ToMs)) * time.Millisecond)
	return Span{From: min(to, now.Add(-time.Duration(a.FromMs)*time.Millisecond)), To: to}
}

// Report is a message from a VM to the coordinator or a distributor. The first one opens the connection.
type Report struct {
	VM     string `msgpack:"vm,omitempty"`
	Domain string `msgpack:"d,omitempty"`
	Region string `msgpack:"r,omitempty"`
	// Format tells which short messages the VM understands (formatShort). It is sent in the first report.
	Format int `msgpack:"fm,omitempty"`
	// Address is where other VMs reach this one. It is sent in the first report.
	Address string `msgpack:"p,omitempty"`
	// TablesOnly is set in the first report by a VM that only wants the tables and routes, from a distributor.
	TablesOnly bool `msgpack:"t,omitempty"`
	// Unreachable is the address of a distributor that sends nothing.
	Unreachable string `msgpack:"u,omitempty"`
	// DelayMs is the delay of place responses, without the time in the broker's queues, in milliseconds.
	DelayMs int64 `msgpack:"l,omitempty"`
	// BaseElectionDelayMs is the estimated delay that the VM's processor and link add if it is the coordinator, in milliseconds.
	// It is sent in the first report.
	BaseElectionDelayMs int64 `msgpack:"w,omitempty"`
	// Leader is set by a new coordinator that announces itself to the previous one.
	Leader *coordinator.Notice `msgpack:"o,omitempty"`
	// Suspects are the changed records of requests that may crash targets.
	Suspects []quarantine.Record `msgpack:"q,omitempty"`
	// Leaving are the targets that have announced in a response that they are shutting down.
	Leaving []inventory.Incarnation `msgpack:"g,omitempty"`
	// Limits are the changed rate limits of targets.
	Limits []ratelimit.Record `msgpack:"m,omitempty"`
	// StoreSeen is the newest period in which the VM has read the store itself, nil if it hasn't since the last report. It tells the
	// coordinator that a gap in its own reads was no outage of the store.
	StoreSeen *SpanAge `msgpack:"s,omitempty"`
	// Removed are the registrations that the VM has seen removed from the store meanwhile.
	Removed []Removal `msgpack:"x,omitempty"`
	// Keys are the keys, by pool, that were requested without the coordinator's knowledge since the last report.
	Keys map[string][]uint16 `msgpack:"k,omitempty"`
	// Quota is about the VM's share of the organisations' quotas.
	Quota *sharedrate.Answer `msgpack:"b,omitempty"`
}

// PlaceRequest asks the coordinator for a target for a request. Its encoding is described in place_request.go.
type PlaceRequest struct {
	//lint:ignore U1000 msgpack reads the tag: the fields are sent without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
	Pool     string
	Key      int
	Priority int
	LeftMs   int64
	// ObjectiveMs is relative to the time of sending, like LeftMs.
	ObjectiveMs int64
	Body        int64
	Homes       []string
	Avoid       []string
	Repeat      bool
	// Content and Caller are the fingerprint of the request.
	Content, Caller uint64
	// Organisation is the name of the organisation that sent the request, or empty if there is none. It is sent after the array.
	Organisation string `msgpack:"-"`
	// Hedge reports whether the request is placed only if it needn't wait, because another attempt is in flight. It is sent after
	// the array.
	Hedge bool `msgpack:"-"`
}

// PlaceResponse is the response to a PlaceRequest. Target is empty if no target is available.
type PlaceResponse struct {
	//lint:ignore U1000 msgpack reads the tag: the fields are sent without their names.
	_msgpack   struct{} `msgpack:",as_array"`
	Seq        uint64
	Target     string
	Reason     placing.Reason
	ExpectedMs int64
	// WaitedMs is the time that the request spent in the broker's queue.
	WaitedMs int64
}

// PlaceRelease reports the end of a request that was given a target, or the cancellation of a PlaceRequest. A cancellation has
// no fields other than Seq and Cancelled.
type PlaceRelease struct {
	//lint:ignore U1000 msgpack reads the tag: the fields are sent without their names.
	_msgpack  struct{} `msgpack:",as_array"`
	Seq       uint64
	Cancelled bool
	ElapsedMs int64
	Ending    placing.Result
	HasReport bool
	Report    placing.Report
}
