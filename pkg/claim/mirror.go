package claim

import (
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// mirrorLease is how long a mirror reports its copy as complete after the last message from the holder. The holder waits at
// least that long before it continues without an unreachable mirror, so that an outdated copy is never accepted as complete.
// The value has to exceed the duration of a takeover. With a live controller that is about 2.5 s: the router's lease, the
// controller's proof that the lease has ended, the distribution of a table, and refreshInterval.
const mirrorLease = 5 * time.Second

// copyRetention is how long a mirror keeps a copy. It covers the longest repeat window. A new holder applies its own window
// to the claims that it fetches.
const copyRetention = 10 * time.Minute

// A control message has no key. Its state determines the operation.
const (
	// controlBegin discards the copy and starts a new one.
	controlBegin = wire.ClaimFree
	// controlSeal marks the copy as complete.
	controlSeal = wire.ClaimDone
	// controlRefresh renews the mirror's lease.
	controlRefresh = wire.ClaimRunning
	// controlRetire marks the copy as incomplete, which ends the router's role as mirror.
	controlRetire = wire.ClaimUnknown
)

// groupCopy is a mirror's copy of a group's claims.
type groupCopy struct {
	// from is the VM of the holder that sent the copy.
	from     string
	epoch    topology.Epoch
	records  *records
	complete bool
	// lastHeard is when the holder's last message arrived.
	lastHeard clock.Instant
}

// Mirror stores copies of the claims of groups that other routers hold. It is safe for concurrent use.
type Mirror struct {
	clock clock.Clock

	mu     sync.Mutex
	copies map[topology.GroupID]*groupCopy
	// leaving is set when the router is stopping and no longer accepts messages.
	leaving bool
}

// NewMirror returns a mirror without copies.
func NewMirror(c clock.Clock) *Mirror {
	return &Mirror{clock: c, copies: make(map[topology.GroupID]*groupCopy)}
}

// Store applies a message from the holder of a group. Messages from an earlier holder are refused.
func (m *Mirror) Store(from string, message *wire.MirrorClaim) wire.MirrorClaimReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		return wire.MirrorClaimReply{}
	}
	now := m.clock.Now()
	c := m.copies[message.Group]
	if c != nil && message.Epoch < c.epoch {
		return wire.MirrorClaimReply{}
	}
	if message.Claim.Key == "" && message.Claim.State == controlBegin {
		m.copies[message.Group] = &groupCopy{from: from, epoch: message.Epoch, records: newRecords(), lastHeard: now}
		return wire.MirrorClaimReply{OK: true}
	}
	if c == nil || c.epoch != message.Epoch {
		return wire.MirrorClaimReply{}
	}
	c.lastHeard = now
	if message.Claim.Key == "" {
		return c.control(message.Claim.State)
	}
	c.records.sweep(now)
	if message.Claim.State == wire.ClaimFree {
		c.records.free(message.Claim.Key)
		return wire.MirrorClaimReply{OK: true, Complete: c.complete}
	}
	ok := c.records.merge(&message.Claim, copyRetention, now)
	c.complete = c.complete && ok
	return wire.MirrorClaimReply{OK: ok, Complete: c.complete}
}

// control applies a control message other than controlBegin.
func (c *groupCopy) control(state wire.ClaimState) wire.MirrorClaimReply {
	switch state {
	case controlSeal:
		c.complete = true
	case controlRetire:
		c.complete = false
	}
	return wire.MirrorClaimReply{OK: true, Complete: c.complete}
}

// Fetch returns the copy of a group. If the copy is incomplete or the mirror's lease has expired, the reply is empty and
// Since is 0. A holder that asks for the claims of its predecessor does not get back the copy that it sent itself.
func (m *Mirror) Fetch(asker string, id topology.GroupID) wire.ClaimsReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.copies[id]
	if c == nil || c.from == asker {
		return wire.ClaimsReply{}
	}
	now := m.clock.Now()
	if !c.complete || now.Sub(c.lastHeard) >= mirrorLease {
		return wire.ClaimsReply{}
	}
	return wire.ClaimsReply{Claims: c.records.exportAll(now), Since: c.epoch}
}

// Leave ends the router's role as mirror before a planned stop. Holders whose messages are refused replace the mirror
// immediately, because it no longer reports any copy as complete.
func (m *Mirror) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	for _, c := range m.copies {
		c.complete = false
	}
}

// Forget deletes copies whose holder has sent nothing for longer than copyRetention. All their claims are past the repeat
// window by then.
func (m *Mirror) Forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for id, c := range m.copies {
		if now.Sub(c.lastHeard) > copyRetention {
			delete(m.copies, id)
		}
	}
}
