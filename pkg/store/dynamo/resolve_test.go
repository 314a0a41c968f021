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
	contenderCount     = 3
	writesPerContender = 25
	rowKey             = "cells/a/term"
	resolveTimeout     = 40 * time.Millisecond
)

// faultsFor returns random faults for the next write of one contender.
func faultsFor(random *rand.Rand) platform.Faults {
	switch random.IntN(8) {
	case 0:
		return platform.Faults{LoseReplies: 1}
	case 1, 2:
		// Some late writes take effect while the contender is still resolving the outcome, others after it is settled.
		return platform.Faults{ApplyLateCount: 1, ApplyLateMillis: int64(10 + random.IntN(90))}
	case 3:
		return platform.Faults{Down: true, DownMode: platform.DownReset}
	case 4:
		return platform.Faults{Down: true, DownMode: platform.DownError}
	}
	return platform.Faults{}
}

// contend performs all writes of one contender and resolves each of them. It returns the revisions of the writes reported
// as won, and the number of writes reported as superseded because the row no longer held their tokens.
func contend(f *fixture, name string, random *rand.Rand) (won []store.Revision, superseded int, err error) {
	for i := range writesPerContender {
		row, err := f.store.Get(context.Background(), rowKey)
		if err != nil {
			row = store.Row{Key: rowKey}
		}
		f.front.SetFaults(faultsFor(random))
		w, err := store.NewWrite(f.store, row, []byte(name), fmt.Sprintf("%s-%d", name, i))
		if err != nil {
			return won, superseded, err
		}
		result := resolve(w, f.front)
		switch result.Outcome {
		case store.Won:
			won = append(won, result.Revision)
		case store.Superseded:
			superseded++
		}
	}
	return won, superseded, nil
}

// resolve calls w.Resolve until the write is no longer pending. It clears the faults after the first call.
func resolve(w *store.Write, front *platform.Front) store.Result {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
		result := w.Resolve(ctx)
		cancel()
		if result.Outcome != store.Pending {
			return result
		}
		front.SetFaults(platform.Faults{})
	}
}

// Guards against reporting one revision to two writers, and against a revision that is reported to no writer, when the
// client meets lost replies, late effects and outages. Each contender accesses the platform through its own front.
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
	writerByRevision := map[store.Revision]string{}
	totalSuperseded := 0
	var wg sync.WaitGroup
	for n := range contenderCount {
		f := first.withNewFront(t)
		name := fmt.Sprintf("w%d", n)
		wg.Go(func() {
			won, superseded, err := contend(f, name, rand.New(rand.NewPCG(seed, uint64(n))))
			if err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			totalSuperseded += superseded
			for _, revision := range won {
				if other, exists := writerByRevision[revision]; exists {
					t.Errorf("%s and %s were both reported as the writer of revision %d", other, name, revision)
				}
				writerByRevision[revision] = name
			}
		})
	}
	wg.Wait()
	row, err := first.store.Get(context.Background(), rowKey)
	if err != nil {
		t.Fatal(err)
	}
	for revision := range writerByRevision {
		if revision > row.Revision {
			t.Errorf("%s was reported as the writer of revision %d, the row has %d", writerByRevision[revision], revision, row.Revision)
		}
	}
	if missing := int(row.Revision) - len(writerByRevision); missing < 0 || missing > totalSuperseded {
		t.Errorf("%d revisions were reported and %d writes were superseded, the row has revision %d", len(writerByRevision), totalSuperseded, row.Revision)
	}
	t.Logf("%d of %d writes won, %+v", len(writerByRevision), contenderCount*writesPerContender, first.platform.Counts())
}
