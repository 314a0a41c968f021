// Package ingress serves callers: it finds a request's route, places the request at a target, repeats it where that is safe
// and answers in time whatever fails.
package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
)

// NoKey is the key of a request that names none.
const NoKey = -1

// Meta is what a caller says about its request.
type Meta struct {
	ID string
	// Wait is how long the caller waits from now on; zero if it doesn't say.
	Wait time.Duration
	// Key is NoKey if the request names none.
	Key int
	// Caller is the caller's credential, empty if it shows none.
	Caller string
}

// AnswerMeta is what a target says beside its answer.
type AnswerMeta struct {
	ID string
	// NotRun tells that the target has not run the request and never will.
	NotRun bool
	// Leaving tells that the target leaves: it wants nothing new.
	Leaving bool
	// Signed tells that a target's service produced the answer.
	Signed  bool
	Load    placing.Report
	HasLoad bool
	// ClosedFor is how long a target that refused the request wants nothing from this VM. ClosedUnclear tells that it said so in a way
	// that can't be read.
	ClosedFor     time.Duration
	ClosedUnclear bool
}

// Dialect reads and writes the header fields that callers and targets use.
type Dialect interface {
	ReadRequest(h http.Header) (Meta, error)
	RequestID(h http.Header) string
	StampRequest(h http.Header, target string, left time.Duration)
	StampAnswer(h http.Header, id string)
	ReadAnswer(status int, h http.Header) AnswerMeta
}

// View is what is known at one moment. It is immutable.
type View struct {
	Snapshot *inventory.Snapshot
	// Routes are the slices of the keyed pools, sorted.
	Routes map[string][]coordinator.Route
	// Taken is when the routes were received, since their waiting times count from then.
	Taken time.Time
	// Changed is closed once there is a newer view.
	Changed chan struct{}
}

// Knowledge provides the newest view.
type Knowledge interface {
	Current() *View
	// KeyUsed notes a request for a key of a pool.
	KeyUsed(pool string, key int)
	// TargetLeaves notes that an answer of a target says that it leaves.
	TargetLeaves(life inventory.Life)
}

// Placer asks the VM that places all requests for a target.
type Placer interface {
	// Place waits for a verdict. ok is false if nobody can be asked; the request is placed locally then. The placement is
	// nil if the verdict names no target.
	Place(ctx context.Context, a placing.Ask) (p Placement, v placing.Verdict, ok bool)
}

// Placement is a place at a target.
type Placement interface {
	// Done gives the place back.
	Done(elapsed time.Duration, how placing.Ending, report *placing.Report)
}

// outcome tells what became of an attempt at a target.
type outcome int

const (
	// answered means that the target's whole answer is there.
	answered outcome = iota
	// notRun means that the target stated that it did not run the request.
	notRun
	// unsent means that no byte was sent.
	unsent
	// unknown means that the request may have run.
	unknown
	// expired means that the deadline passed, or the caller left, after the request was sent.
	expired
)

// String implements fmt.Stringer.
func (o outcome) String() string {
	return [...]string{"answered", "not-run", "unsent", "unknown", "expired"}[o]
}
