package gateway

import (
	"net/http"
	"time"

	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// maxTakeoverWait is how long a request that another group may serve waits for the end of a former holder's requests.
const maxTakeoverWait = 300 * time.Millisecond

// refuseWhileClosed refuses a request that other groups may serve while this group waits for the end of a former holder's
// requests. Without it, bundles queued for up to 20 s at a group that couldn't send anything, while other groups were free.
func (g *group) refuseWhileClosed(request *wire.Request) error {
	if request.Keyed || !request.Idempotent && !request.Claimed || g.asking {
		return nil
	}
	wait := g.notBefore.Sub(g.clock.Now())
	if wait <= maxTakeoverWait {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, problem.CodeNoOwner,
		"the gateway waits for the end of the former gateway's requests", wait)
}
