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
	// requestTimeout is the time limit that callers send with their requests.
	requestTimeout = 1500 * time.Millisecond
	// clientTimeout ends an exchange at the client; a VM must have answered long before.
	clientTimeout = requestTimeout + time.Second
	// abandonTimeout is the client timeout of a caller that abandons its request early.
	abandonTimeout = 30 * time.Millisecond
	// keyCount is the number of distinct keys in requests.
	keyCount = 65536
)

// runCaller sends requests one after another until ctx ends. It reuses each connection until the VM closes it.
func (r *run) runCaller(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	random := rand.New(rand.NewPCG(r.Seed, uint64(caller)+100))
	for n := 0; ctx.Err() == nil; n++ {
		x := exchange{id: fmt.Sprintf("%d-%d-%d", r.Seed, caller, n), vm: random.IntN(r.VMs)}
		r.choosePath(&x, random.IntN(8), random.IntN(3) == 0)
		timeout := clientTimeout
		if random.IntN(40) == 0 {
			timeout = abandonTimeout
		}
		r.send(ctx, client, &x, random.IntN(keyCount), timeout)
		if ctx.Err() == nil {
			r.checker.checkExchange(x)
		}
		wait(ctx, time.Duration(5+random.IntN(30))*time.Millisecond)
	}
}

// choosePath makes a request a read, an order, a read with a home region or a probe of the configuration. With previous set, a probe
// asks for the version before the newest one, whose route must be gone.
func (r *run) choosePath(x *exchange, draw int, previous bool) {
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
		if previous {
			x.version--
		}
		x.path = standin.VersionPath(x.version) + x.id
	}
}

// send sends a request to its VM and records the response in x.
func (r *run) send(ctx context.Context, client *http.Client, x *exchange, key int, timeout time.Duration) {
	method := http.MethodGet
	if x.order {
		method = http.MethodPost
	}
	requestCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	v := r.vms[x.vm]
	request, err := http.NewRequestWithContext(requestCtx, method, "http://"+v.callerLink.Address()+x.path, strings.NewReader(strings.Repeat("x", len(x.id))))
	if err != nil {
		r.checker.addViolation("request %s: %v", x.id, err)
		return
	}
	// The HTTP client must not resend the request by itself. It can't without GetBody.
	request.GetBody = nil
	request.Host = "shop.example"
	standin.SetRequestHeader(request.Header, x.id, requestTimeout, key)
	if x.version == 0 {
		r.deployment.Checker.OnRequest(x.path)
	}
	x.generation, x.sentAt = r.checker.generationOf(x.vm), time.Now()
	r.deployment.Checker.OnSend(x.id, fmt.Sprintf("VM %d, generation %d", x.vm, x.generation))
	response, err := client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		// Closing has no effect on the result: the body has been read or its connection has failed.
		_ = response.Body.Close()
		x.status, x.signed, x.body = response.StatusCode, standin.Signed(response.Header), string(body)
	}
	x.err, x.answeredAt = err, time.Now()
	x.abandoned = timeout < requestTimeout && errors.Is(err, context.DeadlineExceeded)
}
