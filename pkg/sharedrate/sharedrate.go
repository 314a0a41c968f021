// Package sharedrate divides rates that all VMs share: it decides who may use which part of them while VMs are disconnected, paused
// or replaced. It does no I/O and reads no clock.
//
// Each VM may hold a share, a fraction of every rate and burst, which the coordinator grants for GrantTime after the last contact.
// While a VM is connected it lends its share to the coordinator's broker for LendTime at a time, so that the whole rate follows the
// demand. Granter is the coordinator's side, Holder the VM's.
//
// Invariants: at any moment, the fractions that brokers and VMs may use add up to 1 at most. A user's tokens never exceed its
// fraction of the burst (plus the parts of the allowance listed at Allowance), and a fraction that changes hands takes no tokens
// along. docs/design/quotas.md derives the bound from them.
package sharedrate

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

const (
	// GrantTime is how long a VM may use its share after its last contact with the coordinator.
	GrantTime = 30 * time.Second
	// LendTime is how long the coordinator uses a share after it has sent the timestamp that the VM returned. Timestamps are sent
	// every 300 ms and returned every 250 ms, so that one lost in a row doesn't interrupt it.
	LendTime = 1200 * time.Millisecond
	// minSendDelay is the least MaxSendDelay, whatever the allowance: the broker's decision takes up to 70 ms to another region.
	minSendDelay = 100 * time.Millisecond
	// maxPromiseTime bounds how far ahead refused callers are told to return. Callers wait a few seconds.
	maxPromiseTime = 10 * time.Second
	// minRetryTime is the minimum time after which a refused caller should return.
	minRetryTime = 50 * time.Millisecond
	// noShareRetryTime is when a caller should return that a VM without a share has refused. A VM finds a coordinator within about
	// this time.
	noShareRetryTime = time.Second
)

// Limit is a rate in requests per second and the number of requests that may be sent at once, over all VMs. A Rate of 0 sets no
// limit.
type Limit struct {
	Rate, Burst float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool {
	return l.Rate > 0
}

// Allowance is by how much the requests within a window may exceed Rate x Window + Burst: by Over times that, plus Slack requests.
// These parts use it up: MaxSendDelay takes half of Over x Rate x Window and clock drift a tenth of it; each of two brokers within a
// window takes initialTokens and debt; and the VMs that use their own shares take what localBurst adds, all together.
type Allowance struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// DefaultAllowance is the allowance of the platform.
var DefaultAllowance = Allowance{Window: 5 * time.Second, Over: 0.1, Slack: 20}

const (
	// initialShare, debtShare and localShare are parts of Slack. Twice the first two and the last add up to 0.95.
	initialShare = 0.15
	debtShare    = 0.1
	localShare   = 0.45
	// localBurstShare is the part of Over x Burst that is added to the burst of VMs that use their own shares.
	localBurstShare = 0.5
)

// MaxSendDelay is the longest time between taking a token and sending the request. A request that is held up longer needs another
// token.
func (a Allowance) MaxSendDelay() time.Duration {
	return max(minSendDelay, time.Duration(float64(a.Window)*a.Over/2))
}

// initialTokens is what a new coordinator may use at once, and the least size of its buckets: its predecessor may have used the whole
// burst just now, but a bucket of less than one token permits no request.
func (a Allowance) initialTokens() float64 {
	return a.Slack * initialShare
}

// debt is by how much further attempts of admitted requests may overdraw a bucket of the coordinator.
func (a Allowance) debt() float64 {
	return a.Slack * debtShare
}

// brokerInterval is how long a coordinator must have had its role until the buckets of its successor may begin with initialTokens: a window
// and the delay after it contain the start of one such broker at most, and what an earlier one sends while it still acts.
func (a Allowance) brokerInterval() time.Duration {
	return clock.WithDrift(a.Window+a.MaxSendDelay()) + overlapTime
}

// localBurst is the burst that VMs divide that use their own shares. It is higher than the limit's, since a VM with less than one
// token can send nothing.
func (a Allowance) localBurst(l Limit) float64 {
	return l.Burst*(1+a.Over*localBurstShare) + a.Slack*localShare
}

// Verdict is the answer to a request for a token.
type Verdict int

const (
	// Granted means that the token was taken.
	Granted Verdict = iota
	// OverLimit means that the limit permits no request now.
	OverLimit
	// NoShare means that this user holds no share, or one too small for any request, whatever others use of the limit.
	NoShare
)

// Offer is what the coordinator sends to a VM with each heartbeat.
type Offer struct {
	// Coordinator identifies the term of the coordinator.
	Coordinator uint64 `msgpack:"c"`
	// Stamp is the coordinator's clock when it sent the offer, in nanoseconds.
	Stamp int64 `msgpack:"t"`
	// Process is the process that the share belongs to; a new one of the same VM must not use it. Echo is the newest Stamp
	// received from it.
	Process int64 `msgpack:"p,omitempty"`
	Echo    int64 `msgpack:"e,omitempty"`
	// Serial numbers the share's changes. Without it, the offer leaves the VM's share as it is.
	Serial uint32 `msgpack:"n,omitempty"`
	// Fraction is the share granted until GrantTime after Echo on the VM's clock.
	Fraction float64 `msgpack:"f,omitempty"`
}

// Answer is what a VM sends to the coordinator with each report, once it has received an offer.
type Answer struct {
	// Process is when the VM's process was started, in nanoseconds. A later process proves that earlier ones of the VM have ended.
	Process int64 `msgpack:"p"`
	// Stamp is the VM's clock when it sent the answer, in nanoseconds.
	Stamp int64 `msgpack:"t"`
	// Coordinator is the term that Echo comes from, Echo its newest Stamp. By returning it, the VM commits to use nothing of its
	// share before LendTime after Stamp, extended by the drift. Echo is 0 while the VM is committed to another coordinator.
	Coordinator uint64 `msgpack:"c,omitempty"`
	Echo        int64  `msgpack:"e,omitempty"`
	// Fraction is the share that the VM holds, GrantedBy and Serial the offer that set it, and LeftMs the rest of its time.
	Fraction  float64 `msgpack:"f,omitempty"`
	GrantedBy uint64  `msgpack:"g,omitempty"`
	Serial    uint32  `msgpack:"n,omitempty"`
	LeftMs    int64   `msgpack:"l,omitempty"`
	// QuietMs is how long no process of the VM has taken a token of its own share.
	QuietMs int64 `msgpack:"q,omitempty"`
	// Address is where other VMs reach the VM. The coordinator sets it from the VM's connection.
	Address string `msgpack:"-"`
}

// lentOnVM is how long a VM uses nothing of a share that it has lent.
func lentOnVM() time.Duration {
	return clock.WithDrift(LendTime)
}
