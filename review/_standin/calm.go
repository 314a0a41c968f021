package main

import (
	"bytes"
	"compress/flate"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/keyrange"
)

// Limits of pkg/coordinator (codec.go, pools.go, coordinator.go), which doesn't export them.
const (
	storedTableLimit = 48 << 10
	newTermFenceStep = 16
	planEvery        = 0.9
	loadWindow       = 1.5
)

// calmSite is a keyed service under calm traffic: upstreams, slots, work in seconds, requests a second and the skew of the keys, as the site names
// them.
type calmSite struct {
	name            string
	upstreams       int
	slots           float64
	workS, perS     float64
	skew            float64
	keys            int
	speeds          []float64
	slicesToEncode  int
	maximumDuration time.Duration
}

// simulateCalm plays the planner alone, without store, upstreams and disruptions: every move succeeds at once. It prints when the table no longer
// fits into its row, and whether the table that a new coordinator would have to store then fits.
func simulateCalm() {
	speeds := []float64{0.5, 1, 1, 1.5}
	for _, s := range []calmSite{
		{"large/caruso-gate-large", 483, 2, 0.22, 1932, 0.3, 60000, speeds, 4100, time.Hour},
		{"grown/ventosul-gw-grown", 249, 4, 0.36, 1442, 0.33, 60000, []float64{0.7, 0.7, 1.6}, 4500, time.Hour},
		{"sites/caruso-gate", 20, 2, 0.22, 77, 0.66, 60000, speeds, 5500, 48 * time.Hour},
	} {
		s.play()
	}
}

func (s calmSite) play() {
	r := rand.New(rand.NewPCG(1, 2))
	var members []keyrange.Member
	for range s.upstreams {
		members = append(members, keyrange.Member{
			ID: fmt.Sprintf("i-%08x", r.Uint32()), Started: 1780000000000 + int64(r.IntN(100)), MayKeep: true, MayReceive: true,
			Capacity: s.speeds[r.IntN(len(s.speeds))] * s.slots / s.workS,
		})
	}
	weights, total := make([]float64, s.keys), 0.0
	for i := range weights {
		total += 1 / math.Pow(float64(i+1), s.skew)
		weights[i] = total
	}
	table := keyrange.InitialTable("pool", 1, members)
	var stored *keyrange.Table
	storedBytes := 0
	for now := 0.0; now < s.maximumDuration.Seconds(); now += planEvery {
		var keys []int
		for range int(s.perS * loadWindow) {
			i, _ := slices.BinarySearch(weights, r.Float64()*total)
			keys = append(keys, i*65536/s.keys)
		}
		slices.Sort(keys)
		table, _ = keyrange.Plan(table, members, keyrange.Load{Keys: keys, Seconds: loadWindow}, func(int64) keyrange.Progress { return keyrange.Settled }, true)
		for i := range table.Slices {
			// The move is complete, so the former owner is removed from the table.
			table.Slices[i].Previous, table.Slices[i].PreviousStarted, table.Slices[i].PreviousFence = "", 0, 0
		}
		if len(table.Slices) < s.slicesToEncode {
			continue
		}
		if n := encodedBytes(table); n <= storedTableLimit {
			stored, storedBytes = table.Clone(), n
			continue
		}
		if stored == nil {
			stored, storedBytes = table, encodedBytes(table)
		}
		next := stored.Clone()
		next.NextFence += newTermFenceStep
		for i := range stored.Slices {
			next.ReplaceOwner(stored.Slices[i].From, stored.Slices[i].Owner, stored.Slices[i].OwnerStarted)
		}
		fmt.Printf("%s: full after %.0f s of calm traffic with %d ranges in %d bytes; the table of a new coordinator has %d bytes, %d are allowed\n",
			s.name, now, len(stored.Slices), storedBytes, encodedBytes(next), storedTableLimit)
		return
	}
	fmt.Printf("%s: not full after %v, %d ranges\n", s.name, s.maximumDuration, len(table.Slices))
}

// encodedBytes returns the size of a table in its row, which is compressed.
func encodedBytes(t *keyrange.Table) int {
	value, err := msgpack.Marshal(t)
	if err != nil {
		panic(err)
	}
	compressed := bytes.NewBuffer([]byte{0xc1})
	w, err := flate.NewWriter(compressed, flate.DefaultCompression)
	if err != nil {
		panic(err)
	}
	if _, err := w.Write(value); err != nil {
		panic(err)
	}
	if err := w.Close(); err != nil {
		panic(err)
	}
	return compressed.Len()
}
