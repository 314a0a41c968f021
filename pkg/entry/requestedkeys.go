package entry

import "sync"

// requestedKeys collects the requested keys between two reports.
type requestedKeys struct {
	mu   sync.Mutex
	keys map[string][]uint16
}

// maxReportedKeys limits the keys of a pool in one report. More keys tell nothing new about where the load is.
const maxReportedKeys = 1000

func (u *requestedKeys) add(pool string, key int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.keys == nil {
		u.keys = map[string][]uint16{}
	}
	if len(u.keys[pool]) < maxReportedKeys {
		u.keys[pool] = append(u.keys[pool], uint16(key))
	}
}

func (u *requestedKeys) take() map[string][]uint16 {
	u.mu.Lock()
	defer u.mu.Unlock()
	keys := u.keys
	u.keys = nil
	return keys
}
