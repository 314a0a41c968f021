package wire

import (
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// Header is one HTTP header field.
type Header struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Request starts an exchange from an entry router to the gateway of a group. Body and End frames follow. Empty fields are
// left out, because encoding and decoding them takes a good part of the time of an exchange.
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
	// ContentLength is -1 if unknown.
	ContentLength int64 `msgpack:"length,omitempty"`
	// DeadlineMicros is the remaining time when the frame was sent.
	DeadlineMicros int64 `msgpack:"deadline,omitempty"`
	Idempotent     bool  `msgpack:"idempotent,omitempty"`
	Keyed          bool  `msgpack:"keyed,omitempty"`
	// KeyHash and SliceEpoch are set for keyed pools.
	KeyHash        uint64         `msgpack:"key,omitempty"`
	SliceEpoch     topology.Epoch `msgpack:"sliceepoch,omitempty"`
	GroupEpoch     topology.Epoch `msgpack:"groupepoch,omitempty"`
	IdempotencyKey string         `msgpack:"idemkey,omitempty"`
	// Claimed tells that the home group has already claimed the idempotency key.
	Claimed bool `msgpack:"claimed,omitempty"`
	// Fingerprint identifies equal requests; 0 if none was taken.
	Fingerprint uint64 `msgpack:"fp,omitempty"`
	// HomeRegions bind the request; empty means any region.
	HomeRegions []string `msgpack:"home,omitempty"`
}

// Body is a chunk of a body.
type Body struct {
	Data []byte `msgpack:"d"`
}

// End closes a body.
type End struct {
	// Complete is false if the sender couldn't deliver the whole body.
	Complete bool `msgpack:"complete"`
}

// Response starts the answer to a Request. Body and End frames follow.
type Response struct {
	ID            string   `msgpack:"id,omitempty"`
	Status        int      `msgpack:"status,omitempty"`
	Headers       []Header `msgpack:"headers,omitempty"`
	ContentLength int64    `msgpack:"length,omitempty"`
	Outcome       string   `msgpack:"outcome,omitempty"`
	// Code is set if the gateway refused the request; no body follows then, Detail explains.
	Code   string `msgpack:"code,omitempty"`
	Detail string `msgpack:"detail,omitempty"`
	// RetryAfterMillis is 0 where coming back makes no sense.
	RetryAfterMillis int64 `msgpack:"retry,omitempty"`
	// Load of the group, for the choice among groups.
	QueueLength   int   `msgpack:"queue,omitempty"`
	FreeSlots     int   `msgpack:"free,omitempty"`
	LatencyMicros int64 `msgpack:"lat,omitempty"`
	// TableVersion tells the entry router that a newer table exists.
	TableVersion topology.Version `msgpack:"table,omitempty"`
}

// ClaimState is the state of an idempotency claim.
type ClaimState string

const (
	// ClaimRunning means that the order may be running.
	ClaimRunning ClaimState = "running"
	// ClaimDone means that the order ran and its answer is known.
	ClaimDone ClaimState = "done"
	// ClaimUnknown means that nobody knows whether the order ran.
	ClaimUnknown ClaimState = "unknown"
	// ClaimFree means that the order certainly didn't run; the key may be claimed again.
	ClaimFree ClaimState = "free"
)

// Claim is the record of one order.
type Claim struct {
	Group topology.GroupID `msgpack:"group"`
	// Key is the idempotency key with the tenant.
	Key   string     `msgpack:"key"`
	State ClaimState `msgpack:"state"`
	// Fingerprint detects the reuse of a key for another order.
	Fingerprint uint64   `msgpack:"fp"`
	Status      int      `msgpack:"status"`
	Headers     []Header `msgpack:"headers"`
	Body        []byte   `msgpack:"body"`
	// AgeMillis is the time since the claim was made.
	AgeMillis int64 `msgpack:"age"`
}

// MirrorClaim stores a claim at the mirror router.
type MirrorClaim struct {
	Group topology.GroupID `msgpack:"group"`
	Epoch topology.Epoch   `msgpack:"epoch"`
	Claim Claim            `msgpack:"claim"`
}

// MirrorClaimReply acknowledges MirrorClaim. Complete tells whether the mirror has held every claim since Epoch began.
type MirrorClaimReply struct {
	OK       bool `msgpack:"ok"`
	Complete bool `msgpack:"complete"`
}

// FetchClaims asks a router for what it has of a group's claims, as holder or mirror.
type FetchClaims struct {
	Group topology.GroupID `msgpack:"group"`
}

// ClaimsReply answers FetchClaims. The claims of a group fit in several frames; More announces another one.
type ClaimsReply struct {
	Claims []Claim `msgpack:"claims"`
	// Since tells the epoch from which on the router has every claim; 0 if it has none.
	Since topology.Epoch `msgpack:"since"`
	More  bool           `msgpack:"more"`
}

// Suspect is a fingerprint of a request that was in flight when a target crashed.
type Suspect struct {
	Fingerprint uint64 `msgpack:"fp" json:"fingerprint"`
	// Crashes counts the targets lost while it was in flight alone or with others.
	Crashes     int  `msgpack:"crashes" json:"crashes"`
	Quarantined bool `msgpack:"quarantined" json:"quarantined"`
	// TTLMillis is the remaining life of the record.
	TTLMillis int64 `msgpack:"ttl" json:"ttl_ms"`
}

// Suspects spreads suspects within a cell.
type Suspects struct {
	Suspects []Suspect `msgpack:"suspects"`
}

// SuspectsReply acknowledges Suspects.
type SuspectsReply struct{}
