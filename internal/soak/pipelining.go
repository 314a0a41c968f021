package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	// pipelinerCount is the number of callers that send further requests before the first one has been answered.
	pipelinerCount = 3
	// maxPipelined is the highest number of requests that are sent at once.
	maxPipelined = 12
	// lateReadTime is how long a caller that reads late waits.
	lateReadTime = 300 * time.Millisecond
)

// runPipeliner sends groups of reads on one connection after another until ctx ends. Every fifth group is read late.
func (r *run) runPipeliner(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(r.Seed, uint64(caller)+900))
	for n := 0; ctx.Err() == nil; n++ {
		group := make([]exchange, 2+random.IntN(maxPipelined-1))
		vm := random.IntN(r.VMs)
		for i := range group {
			group[i] = exchange{id: fmt.Sprintf("%d-p%d-%d-%d", r.Seed, caller, n, i), vm: vm, noBody: true}
			group[i].path = standin.PathRead + group[i].id
		}
		answered := r.sendPipelined(ctx, group, random, n%5 == 0)
		if ctx.Err() == nil {
			for _, x := range group[:answered] {
				r.checker.checkExchange(x)
			}
		}
		wait(ctx, time.Duration(20+random.IntN(100))*time.Millisecond)
	}
}

// sendPipelined sends a group of requests at once and reads the responses in order. It returns how many of them count: requests behind a
// response that closes the connection, or whose connection couldn't be opened, count as not read.
func (r *run) sendPipelined(ctx context.Context, group []exchange, random *rand.Rand, late bool) int {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.vms[group[0].vm].callerLink.Address())
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(clientTimeout))
	writer, reader := bufio.NewWriter(c), bufio.NewReader(c)
	for i := range group {
		x := &group[i]
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://shop.example"+x.path, nil)
		if err != nil {
			r.checker.addViolation("request %s: %v", x.id, err)
			return 0
		}
		standin.SetRequestHeader(request.Header, x.id, requestTimeout, random.IntN(keyCount))
		r.deployment.Checker.OnRequest(x.path)
		x.generation, x.sentAt = r.checker.generationOf(x.vm), time.Now()
		r.deployment.Checker.OnSend(x.id, fmt.Sprintf("VM %d, generation %d", x.vm, x.generation))
		// An error is returned by Flush, too.
		_ = request.Write(writer)
	}
	if writer.Flush() != nil {
		return 0
	}
	if late {
		wait(ctx, lateReadTime)
	}
	for i := range group {
		x := &group[i]
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(response.Body)
			x.status, x.signed, x.body = response.StatusCode, standin.Signed(response.Header), string(body)
		}
		if err != nil && late {
			// It isn't known when the connection ended.
			return i
		}
		x.err, x.answeredAt = err, time.Now()
		if err != nil || response.Close {
			return i + 1
		}
	}
	return len(group)
}
