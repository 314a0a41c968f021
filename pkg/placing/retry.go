package placing

import (
	"math/rand/v2"
	"time"
)

// Outcome is the outcome of an attempt that brought no usable answer.
type Outcome int

const (
	// NotRun means that the target stated that it did not run the request.
	NotRun Outcome = iota
	// Unsent means that no byte was sent.
	Unsent
	// Unknown means that the request may have run.
	Unknown
	// FailedAnswer means that the target ran the request and answered with a failure.
	FailedAnswer
	// Expired means that the deadline passed or the caller disconnected.
	Expired
)

// Attempt describes a failed attempt, as the input of NextStep.
type Attempt struct {
	Outcome    Outcome
	Idempotent bool
	// Attempts counts the targets that the request was sent to, out of MaxAttempts.
	Attempts, MaxAttempts int
	// Replayable reports whether the body can be sent again.
	Replayable bool
	// Unsent counts the previous attempts that ended before a byte was sent, out of MaxUnsent.
	Unsent, MaxUnsent int
	// TimeLeft is the time until the deadline, UsualServiceTime the usual service time.
	TimeLeft, UsualServiceTime time.Duration
}

// Step is what to do with a request after a failed attempt.
type Step int

const (
	// GiveUp ends the request.
	GiveUp Step = iota
	// Retry makes another attempt if the retry budget permits.
	Retry
)

// NextStep decides whether to retry a request. A request that isn't idempotent is retried only if it certainly hasn't run, and no
// request is retried if too little time is left for an answer: under load, such retries only add work.
func NextStep(a Attempt) Step {
	if a.Outcome == Expired || !a.Replayable || a.TimeLeft < a.UsualServiceTime/2 {
		return GiveUp
	}
	if a.Outcome == Unsent {
		if a.Unsent >= a.MaxUnsent {
			return GiveUp
		}
		return Retry
	}
	if a.Attempts >= a.MaxAttempts {
		return GiveUp
	}
	if a.Outcome != NotRun && !a.Idempotent {
		return GiveUp
	}
	return Retry
}

const (
	// retryDelayMin is the minimum delay before a refused caller should retry; queues change within it.
	retryDelayMin = 80 * time.Millisecond
	// retryDelayShare is the part of the remaining time after which a caller should retry at the latest.
	retryDelayShare = 0.3
	// retryJitter is the relative range over which retries are spread, so that callers don't return together.
	retryJitter = 0.5
)

// RetryAfter returns when a refused caller should retry: after half of the expected wait, but early enough to be served before
// its deadline.
func RetryAfter(expected, left time.Duration) time.Duration {
	return retryAfter(expected, left, rand.Float64())
}

// retryAfter is like RetryAfter with a random number from 0 to 1.
func retryAfter(expected, left time.Duration, random float64) time.Duration {
	latest := time.Duration(float64(left) * retryDelayShare)
	base := min(max(expected/2, retryDelayMin), max(latest, retryDelayMin))
	factor := 1 - retryJitter/2 + retryJitter*random
	return time.Duration(float64(base) * factor)
}
