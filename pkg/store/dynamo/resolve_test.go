package dynamo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/internal/standin/platform"
	"github.com/bronzelever/bronzelever/pkg/store"
)

const (
	contenders     = 3
	writesEach     = 25
	contenderRow   = "cells/a/term"
	attemptTimeout = 40 * time.Millisecond
)

// faultsFor draws the faults for the next write of one contender.
func faultsFor(random *rand.Rand) platform.Faults {
	switch random.IntN(8) {
	case 0:
		return platform.Faults{LoseReplies: 1}
	case 1, 2:
		// Some late writes take effect while the contender still asks, others after it has been told the outcome.
		return platform.Faults{ApplyLateCount: 1, ApplyLateMillis: int64(10 + random.IntN(90))}
	case 3:
		return platform.Faults{Down: true, DownMode: platform.DownReset}
	case 4:
		return platform.Faults{Down: true, DownMode: platform.DownError}
	}
	return platform.Faults{}
}

// contend makes one contender write until all its writes are settled. It returns the revisions that it was told, and how
// many writes the row had forgotten before the contender could ask.
func contend(f *fixture, name string, random *rand.Rand) (won []store.Revision, forgotten int, err error) {
	for i := range writesEach {
		row, err := f.store.Get(context.Background(), contenderRow)
		if err != nil {
			row = store.Row{Key: contenderRow}
		}
		f.front.SetFaults(faultsFor(random))
		w, err := store.NewWrite(f.store, row, []byte(name), fmt.Sprintf("%s-%d", name, i))
		if err != nil {
			return won, forgotten, err
		}
		result := resolve(w, f.front)
		switch result.Outcome {
		case store.Won:
			won = append(won, result.Revision)
		case store.Superseded:
			forgotten++
		}
	}
	return won, forgotten, nil
}

// resolve continues a write until it is settled. After the first call, the faults end.
func resolve(w *store.Write, front *platform.Front) store.Result {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		result := w.Resolve(ctx)
		cancel()
		if result.Outcome != store.Pending {
			return result
		}
		front.SetFaults(platform.Faults{})
	}
}

// Guards against two writers that are told the same revision, and against a revision that nobody was told, when lost
// replies, late effects and outages meet the real client. Each contender reaches the platform through a front of its own.
func TestContendersUnderFaults(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	if raw := os.Getenv("STORE_SEED"); raw != "" {
		n, err := strconv.ParseUint(raw, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seed = n
	}
	t.Logf("STORE_SEED=%d", seed)
	first := newFixture(t, platform.Settings{})
	var mu sync.Mutex
	told := map[store.Revision]string{}
	unknown := 0
	var wg sync.WaitGroup
	for n := range contenders {
		f := first.another(t)
		name := fmt.Sprintf("w%d", n)
		wg.Go(func() {
			won, forgotten, err := contend(f, name, rand.New(rand.NewPCG(seed, uint64(n))))
			if err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			unknown += forgotten
			for _, revision := range won {
				if other, taken := told[revision]; taken {
					t.Errorf("%s and %s were both told revision %d", other, name, revision)
				}
				told[revision] = name
			}
		})
	}
	wg.Wait()
	row, err := first.store.Get(context.Background(), contenderRow)
	if err != nil {
		t.Fatal(err)
	}
	for revision := range told {
		if revision > row.Revision {
			t.Errorf("%s was told revision %d, the row has %d", told[revision], revision, row.Revision)
		}
	}
	if missing := int(row.Revision) - len(told); missing < 0 || missing > unknown {
		t.Errorf("%d revisions were told and %d writes were forgotten, the row has %d", len(told), unknown, row.Revision)
	}
	t.Logf("%d of %d writes won, %+v", len(told), contenders*writesEach, first.platform.Counts())
}
