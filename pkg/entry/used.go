package entry

import "sync"

// usedKeys collects the requested keys between two reports.
type usedKeys struct {
	mu   sync.Mutex
	keys map[string][]uint16
}

// maxUsedKeys bounds the keys of a pool in one report; more say nothing new about where the load is.
const maxUsedKeys = 1000

func (u *usedKeys) add(pool string, key int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.keys == nil {
		u.keys = map[string][]uint16{}
	}
	if len(u.keys[pool]) < maxUsedKeys {
		u.keys[pool] = append(u.keys[pool], uint16(key))
	}
}

func (u *usedKeys) take() map[string][]uint16 {
	u.mu.Lock()
	defer u.mu.Unlock()
	keys := u.keys
	u.keys = nil
	return keys
}
