package sharedrate

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// maxDips bounds the remembered dips. Two are merged beyond it, to the disadvantage of the user.
const maxDips = 16

const (
	// idleStep is the step to which idle times are rounded down, and maxIdleTime is the longest one that counts. They bound what a bucket
	// is computed from.
	idleStep    = 100 * time.Millisecond
	maxIdleTime = 10 * time.Second
)

// supply is the fraction of all limits that a user has had over time.
type supply struct {
	level float64
	at    clock.Instant
	// gained is the integral of the level until at, in seconds. Rate x gained is what a bucket without bound would have got.
	gained float64
	// dips are the levels to which the fraction has fallen, in order, each lower than those after it. A bucket that isn't kept
	// had no more than its capacity at each of them.
	dips []dip
	// idle sums up the fractions that nobody has used for a time before the user got them, by that time in steps. idleChanges counts
	// its changes.
	idle        []float64
	idleChanges int
}

// dip is a level that was reached from above when the integral was gained.
type dip struct {
	level, gained float64
}

// newSupply returns a supply that begins at zero.
func newSupply(now clock.Instant) supply {
	return supply{at: now, dips: []dip{{}}}
}

// advance adds the time until now at the current level.
func (s *supply) advance(now clock.Instant) {
	if now > s.at {
		s.gained += s.level * now.Sub(s.at).Seconds()
		s.at = now
	}
}

// set changes the level from the time of the last advance on.
func (s *supply) set(level float64) {
	if level < s.level {
		for len(s.dips) > 0 && s.dips[len(s.dips)-1].level >= level {
			s.dips = s.dips[:len(s.dips)-1]
		}
		s.dips = append(s.dips, dip{level, s.gained})
		s.mergeDips()
	}
	s.level = level
}

// addIdle records that nobody has used a fraction for a time before the user gets it now.
func (s *supply) addIdle(fraction float64, d time.Duration) {
	step := int(min(d, maxIdleTime) / idleStep)
	if step <= 0 || fraction < fractionError {
		return
	}
	if s.idle == nil {
		s.idle = make([]float64, maxIdleTime/idleStep+1)
	}
	s.idle[step] += fraction
	s.idleChanges++
}

// idleTokens returns what buckets that were empty before the idle times have gained in them.
func (s *supply) idleTokens(l Limit) float64 {
	tokens := 0.0
	for step, fraction := range s.idle {
		tokens += fraction * min(l.Burst, l.Rate*(time.Duration(step)*idleStep).Seconds())
	}
	return tokens
}

func (s *supply) mergeDips() {
	if len(s.dips) > maxDips {
		s.dips[0].gained = s.dips[1].gained
		s.dips = append(s.dips[:1], s.dips[2:]...)
	}
}
