package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const keyCount = 65536

// keyCall is the body of a grant or a release.
type keyCall struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence int64   `json:"fence"`
	HoldS float64 `json:"hold_s"`
}

// keyTable records which upstreams have had which keys, for all upstreams of a service.
type keyTable struct {
	mu sync.Mutex
	// highest is the highest fence with which any upstream has had a key, and by whom.
	highest [keyCount]int64
	by      [keyCount]*keys
	// orders counts the grants and releases that came, and unanswered those that were left without an answer.
	orders, unanswered int
	// lowFences counts the times that an upstream took keys with a fence that wasn't above all with which others had had them.
	lowFences int
	// longest is the longest time for which two upstreams have held a key at once.
	longest time.Duration
}

// keys are the keys that one upstream holds.
type keys struct {
	table    *keyTable
	upstream *upstream
	seen     [keyCount]int64
	until    [keyCount]time.Time
	running  sync.WaitGroup
	// lateGrants and lateReleases, if positive, make the upstream leave grants and releases without an answer and apply them so much later.
	lateGrants, lateReleases time.Duration
	// onLate is called for each such grant.
	onLate func(keyCall)
}

// serveCall answers a grant or a release.
func (k *keys) serveCall(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var c keyCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.From < 0 || c.To >= keyCount {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u := k.upstream
	k.table.mu.Lock()
	lateGrants, lateReleases, onLate := k.lateGrants, k.lateReleases, k.onLate
	k.table.orders++
	if r.URL.Path == "/-/release" && lateReleases > 0 || r.URL.Path == "/-/grant" && lateGrants > 0 {
		k.table.unanswered++
	}
	k.table.mu.Unlock()
	if r.URL.Path == "/-/release" {
		if lateReleases > 0 {
			u.world.note("%s gets a release of %d-%d, fence %d, and doesn't answer", u.id, c.From, c.To, c.Fence)
			time.AfterFunc(lateReleases, func() { k.release(c) })
			<-r.Context().Done()
			return
		}
		k.release(c)
		k.running.Wait()
		w.Header().Set("Handover", "h"+strconv.FormatInt(c.Fence, 16))
		return
	}
	if lateGrants > 0 {
		u.world.note("%s gets a grant of %d-%d, fence %d, hold %g s, and doesn't answer", u.id, c.From, c.To, c.Fence, c.HoldS)
		time.AfterFunc(lateGrants, func() { k.apply(c, arrived, true) })
		if onLate != nil {
			onLate(c)
		}
		<-r.Context().Done()
		return
	}
	if !k.apply(c, arrived, false) {
		w.WriteHeader(http.StatusConflict)
	}
}

// release stops new work on keys. The upstream has then seen the fence of the release, too.
func (k *keys) release(c keyCall) {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	for key := c.From; key <= c.To; key++ {
		k.until[key] = time.Time{}
		k.seen[key] = max(k.seen[key], c.Fence)
	}
	k.upstream.world.note("%s releases %d-%d, fence %d", k.upstream.id, c.From, c.To, c.Fence)
}

// apply carries out a grant that arrived at the given time. It returns false if a higher fence was seen on one of the keys.
func (k *keys) apply(c keyCall, arrived time.Time, late bool) bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now, until := time.Now(), arrived.Add(time.Duration(c.HoldS*float64(time.Second)))
	for key := c.From; key <= c.To; key++ {
		if k.seen[key] > c.Fence {
			k.upstream.world.note("%s has seen a higher fence than %d", k.upstream.id, c.Fence)
			return false
		}
	}
	if !now.Before(until) {
		k.upstream.world.note("%s: the time of the grant of %d-%d, fence %d, is over", k.upstream.id, c.From, c.To, c.Fence)
		return true
	}
	low, taken, heldBy := 0, 0, ""
	for key := c.From; key <= c.To; key++ {
		if !now.Before(k.until[key]) {
			taken++
		}
		if other := t.by[key]; other != nil && other != k {
			if t.highest[key] >= c.Fence {
				low++
				heldBy = other.upstream.id
			}
			if both := min(other.until[key].Sub(now), until.Sub(now)); both > t.longest {
				t.longest = both
			}
		}
		k.seen[key], k.until[key] = c.Fence, until
		if c.Fence >= t.highest[key] {
			t.highest[key], t.by[key] = c.Fence, k
		}
	}
	if taken > 0 || late || low > 0 {
		k.upstream.world.note("%s takes %d-%d with fence %d for %.1f s (late: %v)", k.upstream.id, c.From, c.To, c.Fence, until.Sub(now).Seconds(), late)
	}
	if low > 0 {
		t.lowFences++
		k.upstream.world.note("%s has taken %d keys with fence %d, though %s has had them with a fence that isn't lower", k.upstream.id, low, c.Fence, heldBy)
	}
	return true
}

// holds reports whether the upstream holds a key.
func (k *keys) holds(key int) bool {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	return key >= 0 && key < keyCount && time.Now().Before(k.until[key])
}

// setLate changes the delays of unanswered grants and releases.
func (k *keys) setLate(grants, releases time.Duration, onLate func(keyCall)) {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	k.lateGrants, k.lateReleases, k.onLate = grants, releases, onLate
}

// counts returns the number of orders that came, and of those that were left without an answer.
func (t *keyTable) counts() (orders, unanswered int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.orders, t.unanswered
}

// addKeyed starts an upstream of a service that is divided by key.
func (w *world) addKeyed(t *keyTable, id, service, zone string, slots int, work time.Duration) (*keys, error) {
	u, err := w.addUpstream(id, service, zone, slots, fixed(work))
	if err != nil {
		return nil, err
	}
	k := &keys{table: t, upstream: u}
	u.special = func(rw http.ResponseWriter, r *http.Request) bool {
		key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
		if err == nil && k.holds(key) {
			return false
		}
		rw.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	u.calls = k.serveCall
	u.server.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Shard-Key") != "" {
			k.running.Add(1)
			defer k.running.Done()
		}
		u.ServeHTTP(rw, r)
	})
	u.begin()
	return k, nil
}
