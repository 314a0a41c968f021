package claim

import (
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// mirrorLease is how long a mirror vouches for its copy without a word from the holder. The holder waits at least that long
// before it continues without this mirror, so that an outdated copy is never taken for complete. A takeover with a live
// controller takes about 2.5 s: the lease, the controller's proof that it has ended, a table and refreshInterval.
const mirrorLease = 5 * time.Second

// mirrorWindow is how long a mirror keeps a copy. It covers the longest repeat window; the new holder applies its own.
const mirrorWindow = 10 * time.Minute

// Control messages have no key. The state tells what to do.
const (
	// controlBegin drops the copy and starts a new one.
	controlBegin = wire.ClaimFree
	// controlSeal declares the copy complete.
	controlSeal = wire.ClaimDone
	// controlRefresh renews the mirror's lease.
	controlRefresh = wire.ClaimRunning
	// controlRetire ends the mirror's role.
	controlRetire = wire.ClaimUnknown
)

// groupCopy is a mirror's copy of a group's claims.
type groupCopy struct {
	// from is the holder that sent the copy.
	from     string
	epoch    topology.Epoch
	records  *records
	complete bool
	heard    clock.Instant
}

// Mirror keeps copies of the claims of groups that other routers hold. It is safe for concurrent use.
type Mirror struct {
	clock clock.Clock

	mu     sync.Mutex
	copies map[topology.GroupID]*groupCopy
	// leaving tells that the router stops; it mirrors nothing any more.
	leaving bool
}

// NewMirror returns a mirror without copies.
func NewMirror(c clock.Clock) *Mirror {
	return &Mirror{clock: c, copies: make(map[topology.GroupID]*groupCopy)}
}

// Store executes a message of the holder. Messages of an earlier holder are refused.
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
		m.copies[message.Group] = &groupCopy{from: from, epoch: message.Epoch, records: newRecords(), heard: now}
		return wire.MirrorClaimReply{OK: true}
	}
	if c == nil || c.epoch != message.Epoch {
		return wire.MirrorClaimReply{}
	}
	c.heard = now
	if message.Claim.Key == "" {
		return c.control(message.Claim.State)
	}
	c.records.sweep(now)
	if message.Claim.State == wire.ClaimFree {
		c.records.free(message.Claim.Key)
		return wire.MirrorClaimReply{OK: true, Complete: c.complete}
	}
	ok := c.records.merge(&message.Claim, mirrorWindow, now)
	c.complete = c.complete && ok
	return wire.MirrorClaimReply{OK: ok, Complete: c.complete}
}

func (c *groupCopy) control(state wire.ClaimState) wire.MirrorClaimReply {
	switch state {
	case controlSeal:
		c.complete = true
	case controlRetire:
		c.complete = false
	}
	return wire.MirrorClaimReply{OK: true, Complete: c.complete}
}

// Fetch returns the copy of a group. Since is 0 unless the mirror vouches for the copy. A holder that asks for the claims of
// its predecessor doesn't get its own copy back.
func (m *Mirror) Fetch(asker string, id topology.GroupID) wire.ClaimsReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.copies[id]
	if c == nil || c.from == asker {
		return wire.ClaimsReply{}
	}
	now := m.clock.Now()
	if !c.complete || now.Sub(c.heard) >= mirrorLease {
		return wire.ClaimsReply{}
	}
	return wire.ClaimsReply{Claims: c.records.exportAll(now), Since: c.epoch}
}

// Leave ends the mirror's role before a planned stop. Holders that are refused replace the mirror at once, because it
// vouches for nothing any more.
func (m *Mirror) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	for _, c := range m.copies {
		c.complete = false
	}
}

// Forget drops copies of groups whose epoch has passed and whose claims can't be asked for any more.
func (m *Mirror) Forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for id, c := range m.copies {
		if now.Sub(c.heard) > mirrorWindow {
			delete(m.copies, id)
		}
	}
}
