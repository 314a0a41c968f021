package wire

import (
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// Header is one HTTP header field.
type Header struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Request starts an exchange from an entry router to the gateway of a group. Body and End frames follow.
type Request struct {
	ID      string           `msgpack:"id"`
	Route   string           `msgpack:"route"`
	Pool    string           `msgpack:"pool"`
	Group   topology.GroupID `msgpack:"group"`
	Class   string           `msgpack:"class"`
	Weight  int              `msgpack:"weight"`
	Tenant  string           `msgpack:"tenant"`
	Method  string           `msgpack:"method"`
	Path    string           `msgpack:"path"`
	Headers []Header         `msgpack:"headers"`
	// ContentLength is -1 if unknown.
	ContentLength int64 `msgpack:"length"`
	// DeadlineMicros is the remaining time when the frame was sent.
	DeadlineMicros int64 `msgpack:"deadline"`
	Idempotent     bool  `msgpack:"idempotent"`
	Keyed          bool  `msgpack:"keyed"`
	// KeyHash and SliceEpoch are set for keyed pools.
	KeyHash        uint64         `msgpack:"key"`
	SliceEpoch     topology.Epoch `msgpack:"sliceepoch"`
	GroupEpoch     topology.Epoch `msgpack:"groupepoch"`
	IdempotencyKey string         `msgpack:"idemkey"`
	// Claimed tells that the home group has already claimed the idempotency key.
	Claimed bool `msgpack:"claimed"`
	// Fingerprint identifies equal requests; 0 if none was taken.
	Fingerprint uint64 `msgpack:"fp"`
	// HomeRegions bind the request; empty means any region.
	HomeRegions []string `msgpack:"home"`
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
	ID            string   `msgpack:"id"`
	Status        int      `msgpack:"status"`
	Headers       []Header `msgpack:"headers"`
	ContentLength int64    `msgpack:"length"`
	Outcome       string   `msgpack:"outcome"`
	// Code is set if the gateway refused the request; no body follows then, Detail explains.
	Code   string `msgpack:"code"`
	Detail string `msgpack:"detail"`
	// RetryAfterMillis is 0 where coming back makes no sense.
	RetryAfterMillis int64 `msgpack:"retry"`
	// Load of the group, for the choice among groups.
	QueueLength   int   `msgpack:"queue"`
	FreeSlots     int   `msgpack:"free"`
	LatencyMicros int64 `msgpack:"lat"`
	// TableVersion tells the entry router that a newer table exists.
	TableVersion topology.Version `msgpack:"table"`
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
	// After asks for the claims with greater keys only, in the order of the keys.
	After string `msgpack:"after"`
}

// ClaimsReply answers FetchClaims. More tells that further claims follow the last key of Claims.
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
