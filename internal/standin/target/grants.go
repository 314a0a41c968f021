package target

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// Headers of the interface to targets.
const (
	headerGroupEpoch = "Bronzelever-Group-Epoch"
	headerSliceEpoch = "Bronzelever-Slice-Epoch"
	headerKeyHash    = "Bronzelever-Key-Hash"
	headerDeadline   = "Bronzelever-Deadline-Ms"
	headerNotRun     = "Bronzelever-Not-Run"
)

type grantSlice struct {
	Low   uint64 `json:"low,string"`
	High  uint64 `json:"high,string"`
	Epoch uint64 `json:"epoch,string"`
}

type grantBody struct {
	GroupEpoch uint64 `json:"group_epoch,string"`
	TTLMillis  int64  `json:"ttl_ms"`
	// AsOf is the target's clock as its last answer told it. The grant's lifetime counts from there, so that a grant which
	// the target reads late, because it was frozen, has lapsed already. Without it, the lifetime counts from the receipt.
	AsOf   clock.Instant `json:"as_of,string,omitempty"`
	Slices []grantSlice  `json:"slices"`
}

type grantAnswer struct {
	GroupEpoch uint64 `json:"group_epoch,string"`
	// Now is the target's clock; gateways return it as AsOf.
	Now clock.Instant `json:"now,string"`
}

// grant is what a gateway may use this target for. The group epoch never decreases.
type grant struct {
	groupEpoch uint64
	expires    clock.Instant
	slices     []grantSlice
}

// refusal tells why a request is not executed.
type refusal struct {
	status int
	reason string
	count  func(*Refusals)
}

var (
	refusedOlder = &refusal{http.StatusConflict, "the group or slice epoch is not the granted one",
		func(r *Refusals) { r.OlderEpoch++ }}
	refusedNoGrant = &refusal{http.StatusConflict, "no grant covers the key hash", func(r *Refusals) { r.NoGrant++ }}
	refusedShed    = &refusal{http.StatusServiceUnavailable, "no slot is free", func(r *Refusals) { r.Shed++ }}
	refusedLate    = &refusal{http.StatusServiceUnavailable, "the deadline passed before the start",
		func(r *Refusals) { r.Deadline++ }}
)

// check returns nil if the grant covers the request now.
func (g *grant) check(q *request, now clock.Instant) *refusal {
	if !q.hasGroupEpoch || now >= g.expires || len(g.slices) == 0 {
		return refusedNoGrant
	}
	if q.groupEpoch != g.groupEpoch {
		return refusedOlder
	}
	if !q.hasKeyHash {
		return nil
	}
	for _, s := range g.slices {
		if s.Low > q.keyHash || q.keyHash > s.High {
			continue
		}
		if s.Epoch != q.sliceEpoch {
			return refusedOlder
		}
		return nil
	}
	return refusedNoGrant
}

// putGrants answers PUT /bronzelever/grants. It returns once the executions that lost their grant have ended.
func (t *Target) putGrants(w http.ResponseWriter, r *http.Request) {
	var body grantBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !t.waitThawed(r) {
		return
	}
	newest, lost, ok := t.installGrant(body)
	for _, x := range lost {
		select {
		case <-x.ended:
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(grantAnswer{GroupEpoch: newest, Now: t.clock.Now()})
}

func (t *Target) installGrant(body grantBody) (newest uint64, lost []*execution, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if body.GroupEpoch < t.grant.groupEpoch {
		return t.grant.groupEpoch, nil, false
	}
	now := t.clock.Now()
	ttl := time.Duration(body.TTLMillis) * time.Millisecond
	from := now
	if body.AsOf != 0 {
		from = min(now, body.AsOf)
	}
	t.grant = grant{groupEpoch: body.GroupEpoch, expires: from.Add(ttl), slices: body.Slices}
	for x := range t.active {
		t.carryOver(x, now)
	}
	lost = t.abortUncovered()
	time.AfterFunc(t.grant.expires.Sub(now), t.expireGrant)
	return t.grant.groupEpoch, lost, true
}

// carryOver extends an execution's cover to a new grant if the key never left the target: the old cover must not have
// lapsed, since another target may have owned the key after that. The gateway or the slice epoch may have changed.
func (t *Target) carryOver(x *execution, now clock.Instant) {
	if now >= x.coveredUntil {
		return
	}
	if t.grant.contains(x.request) {
		x.coveredUntil = t.grant.expires
	} else {
		x.coveredUntil = now
	}
}

// contains tells whether the grant includes the request's key under the request's slice epoch or a newer one.
func (g *grant) contains(q *request) bool {
	if !q.hasKeyHash {
		return len(g.slices) > 0
	}
	for _, s := range g.slices {
		if s.Low <= q.keyHash && q.keyHash <= s.High {
			return s.Epoch >= q.sliceEpoch
		}
	}
	return false
}

func (t *Target) expireGrant() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abortUncovered()
}

// abortUncovered ends the executions whose cover has lapsed. A target without fencing has none.
func (t *Target) abortUncovered() []*execution {
	if !t.settings.Fenced {
		return nil
	}
	now := t.clock.Now()
	var lost []*execution
	for x := range t.active {
		if now < x.coveredUntil {
			continue
		}
		x.abort()
		lost = append(lost, x)
	}
	return lost
}

func headerNumber(r *http.Request, name string) (uint64, bool) {
	n, err := strconv.ParseUint(r.Header.Get(name), 10, 64)
	return n, err == nil
}
