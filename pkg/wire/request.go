package wire

import (
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// Header is one HTTP header field.
type Header struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Request starts an exchange between an entry router and the gateway of a group. Body and End frames follow. Empty fields are omitted,
// because encoding and decoding them takes a considerable part of the time of an exchange.
type Request struct {
	ID      string           `msgpack:"id,omitempty"`
	Route   string           `msgpack:"route,omitempty"`
	Pool    string           `msgpack:"pool,omitempty"`
	Group   topology.GroupID `msgpack:"group,omitempty"`
	Class   string           `msgpack:"class,omitempty"`
	Weight  int              `msgpack:"weight,omitempty"`
	Tenant  string           `msgpack:"tenant,omitempty"`
	Method  string           `msgpack:"method,omitempty"`
	Path    string           `msgpack:"path,omitempty"`
	Headers []Header         `msgpack:"headers,omitempty"`
	// ContentLength is the length of the body, -1 if it is unknown.
	ContentLength int64 `msgpack:"length,omitempty"`
	// DeadlineMicros is the time that remained for the request when the frame was sent.
	DeadlineMicros int64 `msgpack:"deadline,omitempty"`
	Idempotent     bool  `msgpack:"idempotent,omitempty"`
	Keyed          bool  `msgpack:"keyed,omitempty"`
	// KeyHash and SliceEpoch are set for keyed pools.
	KeyHash        uint64         `msgpack:"key,omitempty"`
	SliceEpoch     topology.Epoch `msgpack:"sliceepoch,omitempty"`
	GroupEpoch     topology.Epoch `msgpack:"groupepoch,omitempty"`
	IdempotencyKey string         `msgpack:"idemkey,omitempty"`
	// Claimed reports that the home group has already claimed the idempotency key.
	Claimed bool `msgpack:"claimed,omitempty"`
	// Fingerprint is the same for identical requests. It is 0 if none was computed.
	Fingerprint uint64 `msgpack:"fp,omitempty"`
	// HomeRegions are the regions in which the request may be executed. Empty means any region.
	HomeRegions []string `msgpack:"home,omitempty"`
}

// Body is a chunk of a request or response body.
type Body struct {
	Data []byte `msgpack:"d"`
}

// End ends a body.
type End struct {
	// Complete is false if the sender couldn't send the whole body.
	Complete bool `msgpack:"complete"`
}

// Response starts the response to a Request. Body and End frames follow.
type Response struct {
	ID            string   `msgpack:"id,omitempty"`
	Status        int      `msgpack:"status,omitempty"`
	Headers       []Header `msgpack:"headers,omitempty"`
	ContentLength int64    `msgpack:"length,omitempty"`
	Outcome       string   `msgpack:"outcome,omitempty"`
	// Code is set if the gateway refused the request. No body follows then, and Detail holds an explanation.
	Code   string `msgpack:"code,omitempty"`
	Detail string `msgpack:"detail,omitempty"`
	// RetryAfterMillis is how long to wait before a retry. It is 0 if a retry is pointless.
	RetryAfterMillis int64 `msgpack:"retry,omitempty"`
	// QueueLength, FreeSlots and LatencyMicros are the load of the group, by which entry routers choose among groups.
	QueueLength   int   `msgpack:"queue,omitempty"`
	FreeSlots     int   `msgpack:"free,omitempty"`
	LatencyMicros int64 `msgpack:"lat,omitempty"`
	// TableVersion informs the entry router of a newer table.
	TableVersion topology.Version `msgpack:"table,omitempty"`
}

// ClaimState is the state of an idempotency claim.
type ClaimState string

const (
	// ClaimRunning means that the request may be executing.
	ClaimRunning ClaimState = "running"
	// ClaimDone means that the request was executed and its response is known.
	ClaimDone ClaimState = "done"
	// ClaimUnknown means that it can't be determined whether the request was executed.
	ClaimUnknown ClaimState = "unknown"
	// ClaimFree means that the request was certainly not executed, so that the key may be claimed again.
	ClaimFree ClaimState = "free"
)

// Claim is the record of a request with an idempotency key.
type Claim struct {
	Group topology.GroupID `msgpack:"group"`
	// Key consists of the tenant and the idempotency key.
	Key   string     `msgpack:"key"`
	State ClaimState `msgpack:"state"`
	// Fingerprint serves to detect that a key is reused for a different request.
	Fingerprint uint64   `msgpack:"fp"`
	Status      int      `msgpack:"status"`
	Headers     []Header `msgpack:"headers"`
	Body        []byte   `msgpack:"body"`
	// AgeMillis is the time since the claim was made.
	AgeMillis int64 `msgpack:"age"`
}

// MirrorClaim stores a copy of a claim at the router that mirrors the group's claims.
type MirrorClaim struct {
	Group topology.GroupID `msgpack:"group"`
	Epoch topology.Epoch   `msgpack:"epoch"`
	Claim Claim            `msgpack:"claim"`
}

// MirrorClaimReply answers MirrorClaim. Complete reports whether the mirror has every claim since the beginning of the epoch.
type MirrorClaimReply struct {
	OK       bool `msgpack:"ok"`
	Complete bool `msgpack:"complete"`
}

// FetchClaims asks a router for the claims of a group that it has as holder or mirror.
type FetchClaims struct {
	Group topology.GroupID `msgpack:"group"`
}

// ClaimsReply answers FetchClaims. The claims of a group may take several frames; More reports that another one follows.
type ClaimsReply struct {
	Claims []Claim `msgpack:"claims"`
	// Since is the epoch since which the router has every claim. It is 0 if the router can't vouch for that of any epoch.
	Since topology.Epoch `msgpack:"since"`
	More  bool           `msgpack:"more"`
}

// Suspect is the fingerprint of a request that was in flight at a target when it crashed.
type Suspect struct {
	Fingerprint uint64 `msgpack:"fp" json:"fingerprint"`
	// Crashes counts the targets that were lost while the request was in flight there, alone or with other requests.
	Crashes     int  `msgpack:"crashes" json:"crashes"`
	Quarantined bool `msgpack:"quarantined" json:"quarantined"`
	// TTLMillis is how long the record remains valid.
	TTLMillis int64 `msgpack:"ttl" json:"ttl_ms"`
}

// Suspects distributes suspects to the other routers of a cell.
type Suspects struct {
	Suspects []Suspect `msgpack:"suspects"`
}

// SuspectsReply acknowledges Suspects.
type SuspectsReply struct{}
