package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	// callerWait is how long a caller waits.
	callerWait = 1500 * time.Millisecond
	// patientWait is when a caller's connection is given up; a VM must have answered long before.
	patientWait = callerWait + time.Second
	// impatientWait is how long a caller waits that leaves early.
	impatientWait = 30 * time.Millisecond
	// keySpace is the number of keys.
	keySpace = 65536
)

// call sends requests one after another on connections that are kept until the VM closes them.
func (r *run) call(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	random := rand.New(rand.NewPCG(r.Seed, uint64(caller)+100))
	for n := 0; ctx.Err() == nil; n++ {
		x := exchange{id: fmt.Sprintf("%d-%d-%d", r.Seed, caller, n), vm: random.IntN(r.VMs)}
		r.choosePath(&x, random.IntN(8), random.IntN(3) == 0)
		patience := patientWait
		if random.IntN(40) == 0 {
			patience = impatientWait
		}
		r.send(ctx, client, &x, random.IntN(keySpace), patience)
		if ctx.Err() == nil {
			r.judge.take(x)
		}
		wait(ctx, time.Duration(5+random.IntN(30))*time.Millisecond)
	}
}

// choosePath sets the kind of a request: reads, orders, reads with a home region, and probes of the configuration. former probes
// the version before the newest one, whose route must be gone.
func (r *run) choosePath(x *exchange, draw int, former bool) {
	switch {
	case draw < 3:
		x.path = standin.PathRead + x.id
	case draw < 6:
		x.path, x.order = standin.PathOrder+x.id, true
	case draw < 7:
		x.path = standin.PathHome + x.id
	default:
		r.mu.Lock()
		x.version = r.version
		r.mu.Unlock()
		if former {
			x.version--
		}
		x.path = standin.VersionPath(x.version) + x.id
	}
}

// send makes one exchange with a VM.
func (r *run) send(ctx context.Context, client *http.Client, x *exchange, key int, patience time.Duration) {
	method := http.MethodGet
	if x.order {
		method = http.MethodPost
	}
	limited, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	v := r.vms[x.vm]
	request, err := http.NewRequestWithContext(limited, method, "http://"+v.callers.Address()+x.path, strings.NewReader(strings.Repeat("x", len(x.id))))
	if err != nil {
		r.judge.note("request %s: %v", x.id, err)
		return
	}
	// The HTTP client must not send a request again by itself.
	request.GetBody = nil
	request.Host = "shop.example"
	standin.SetRequestHeader(request.Header, x.id, callerWait, key)
	if x.version == 0 {
		r.deployment.Checker.OnRequest(x.path)
	}
	x.life, x.sent = r.judge.lifeOf(x.vm), time.Now()
	r.deployment.Checker.OnSend(x.id, fmt.Sprintf("VM %d, life %d", x.vm, x.life))
	response, err := client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		// The body has been read or its connection has failed.
		_ = response.Body.Close()
		x.status, x.signed, x.body = response.StatusCode, standin.Signed(response.Header), string(body)
	}
	x.err, x.answered = err, time.Now()
	x.gaveUp = patience < callerWait && errors.Is(err, context.DeadlineExceeded)
}
