package quarantine

import (
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

const (
	// silenceTTL is how long an unanswered run is remembered. A registration outlasts its target by three heartbeats of about a second, and
	// by the time in which its removal becomes known.
	silenceTTL = 10 * time.Second
	// minSilence is how long a target has answered nothing when its registration expires after a crash: at least two of three heartbeats. A
	// target that leaves without notice goes on answering.
	minSilence = 1500 * time.Millisecond
	// maxSilentRuns bounds the unanswered runs that are remembered of one incarnation, maxSilentIncarnations the incarnations.
	maxSilentRuns         = 64
	maxSilentIncarnations = 1024
)

// silentRun is a run that ended without a complete answer.
type silentRun struct {
	fingerprint Fingerprint
	endedAt     clock.Instant
}

// TargetRemoved records that the registration of an incarnation is gone or belongs to its next incarnation. announced tells that the
// incarnation had said that it leaves. A target that loses power closes no connection: only its silence and the end of its registration show
// the crash.
func (t *Tracker) TargetRemoved(incarnation inventory.Incarnation, announced bool, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateRecordCount()
	silent, silentSince := t.silent[incarnation], now.Add(-minSilence)
	if t.answeredAt[incarnation] <= silentSince {
		for r := range t.runsAt[incarnation] {
			if r.startedAt <= silentSince {
				silent = append(silent, silentRun{fingerprint: r.fingerprint, endedAt: now})
			}
		}
	}
	delete(t.silent, incarnation)
	delete(t.answeredAt, incarnation)
	t.pruneSilent(now)
	if announced {
		return
	}
	t.removed[incarnation] = now
	t.attributeSilent(incarnation, silent, now)
}

// BodyEnded records the end of an answer that was passed on in parts, at the VM that does so. Other VMs learn of it through the records. An
// answer that breaks off counts as a crash once the target is gone.
func (t *Tracker) BodyEnded(f Fingerprint, incarnation inventory.Incarnation, complete bool, now clock.Instant) {
	if f.ByCaller == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateRecordCount()
	if complete {
		t.succeeded(f, now)
		return
	}
	t.addSilent(silentRun{fingerprint: f, endedAt: now}, incarnation, now)
}

// unanswered records that a run ended without an answer. If its target is gone, it counts as a crash; otherwise it does once the target
// is gone without having answered meanwhile.
func (t *Tracker) unanswered(r *activeRun, now clock.Instant) {
	run := silentRun{fingerprint: r.fingerprint, endedAt: now}
	if at, ok := t.removed[r.incarnation]; ok && r.startedAt <= at {
		t.attributeSilent(r.incarnation, []silentRun{run}, now)
		return
	}
	t.addSilent(run, r.incarnation, now)
}

// addSilent remembers a run until its target answers or its registration is removed.
func (t *Tracker) addSilent(run silentRun, incarnation inventory.Incarnation, now clock.Instant) {
	list := t.silent[incarnation]
	if list == nil && len(t.silent) >= maxSilentIncarnations {
		t.pruneSilent(now)
		if len(t.silent) >= maxSilentIncarnations {
			return
		}
	}
	if len(list) >= maxSilentRuns {
		list = list[1:]
	}
	t.silent[incarnation] = append(list, run)
}

// attributeSilent attributes the crash of an incarnation to its unanswered runs.
func (t *Tracker) attributeSilent(incarnation inventory.Incarnation, silent []silentRun, now clock.Instant) {
	t.pruneCrashes(now)
	c := t.crashes[incarnation]
	var list []Fingerprint
	for _, s := range silent {
		if now.Sub(s.endedAt) <= silenceTTL && !slices.Contains(list, s.fingerprint) && (c == nil || !slices.Contains(c.attributed, s.fingerprint.ByCaller)) {
			list = append(list, s.fingerprint)
		}
	}
	if len(list) == 0 {
		return
	}
	if c == nil {
		c = &crash{at: now}
		t.crashes[incarnation] = c
	}
	for _, f := range list {
		c.attributed = append(c.attributed, t.attributableIDs(f, now)...)
	}
	for _, f := range list {
		t.attribute(t.attributableIDs(f, now), hashIncarnation(incarnation), now)
	}
	t.addEvent(Event{Kind: EventSilentCrash, Incarnation: incarnation, Suspects: len(list)})
}

// pruneSilent removes what is too old to matter.
func (t *Tracker) pruneSilent(now clock.Instant) {
	for incarnation, list := range t.silent {
		if now.Sub(list[len(list)-1].endedAt) > silenceTTL {
			delete(t.silent, incarnation)
		}
	}
	for _, times := range []map[inventory.Incarnation]clock.Instant{t.removed, t.answeredAt} {
		for incarnation, at := range times {
			if now.Sub(at) >= crashTTL {
				delete(times, incarnation)
			}
		}
	}
}
