package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// maxDelegations bounds the groups that are asked to run one order.
const maxDelegations = 3

// execute runs a claimed order at the group's own targets, or at those of another group of the pool while none of its own
// serves. The claim stays here: the home group of an order doesn't depend on which targets serve.
func (gw *Gateway) execute(ctx context.Context, cancel context.CancelFunc, g *group, request *wire.Request, body io.Reader, w *waiter) (*exchange.Response, error) {
	if g.serves() {
		return gw.attempts(ctx, cancel, g, request, body, w)
	}
	counted := &countingReader{source: body}
	var err error
	for _, other := range gw.siblings(g, request) {
		var response *exchange.Response
		response, err = gw.delegate(ctx, cancel, other, request, counted)
		if err == nil {
			return response, nil
		}
		if counted.read > 0 || !isNotRun(err) {
			return nil, err
		}
	}
	if err != nil {
		return nil, err
	}
	return gw.attempts(ctx, cancel, g, request, counted, w)
}

// serves tells whether any target of the group may get work soon.
func (g *group) serves() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.notBefore.Sub(g.clock.Now()) > maxTakeoverWait {
		return false
	}
	return slices.ContainsFunc(g.targets, func(t *target) bool {
		return !t.lost && !t.draining && !t.out
	})
}

// siblings returns other groups of the pool that the order may run in, in random order, those of the own cell first.
func (gw *Gateway) siblings(g *group, request *wire.Request) []topology.Group {
	view := gw.view.Load()
	if view == nil || view.Config == nil {
		return nil
	}
	var own, away []topology.Group
	for cell, table := range view.Tables {
		for _, other := range table.Groups {
			region := view.Config.RegionOf(other.ID.Domain())
			permitted := len(request.HomeRegions) == 0 || slices.Contains(request.HomeRegions, region)
			usable := other.Gateway != "" && !view.Config.DomainOut(other.ID.Domain())
			if other.ID == g.id || other.ID.Pool() != g.id.Pool() || !permitted || !usable {
				continue
			}
			if cell == view.Cell {
				own = append(own, other)
			} else {
				away = append(away, other)
			}
		}
	}
	rand.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	rand.Shuffle(len(away), func(i, j int) { away[i], away[j] = away[j], away[i] })
	all := append(own, away...)
	return all[:min(len(all), maxDelegations)]
}

// delegate sends a claimed order to the gateway of another group.
func (gw *Gateway) delegate(ctx context.Context, cancel context.CancelFunc, other topology.Group, request *wire.Request, body io.Reader) (*exchange.Response, error) {
	delegated := *request
	delegated.Group = other.ID
	delegated.GroupEpoch = other.Epoch
	delegated.Claimed = true
	handler := exchange.Handler(gw)
	if other.Gateway != gw.view.Load().VM {
		if gw.Remote == nil {
			return nil, refuse(http.StatusServiceUnavailable, problem.CodeNoOwner, "no other gateway can be reached", 0)
		}
		handler = gw.Remote(other.GatewayAddress)
	}
	response, err := handler.Handle(ctx, &delegated, body)
	if err != nil {
		return nil, err
	}
	if head := &response.Head; head.Code != "" {
		_ = response.Body.Close()
		return nil, problem.New(head.Status, problem.Code(head.Code), problem.Outcome(head.Outcome), head.Detail)
	}
	response.Body = cancelOnClose{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

func isNotRun(err error) bool {
	var refusal *problem.Error
	return errors.As(err, &refusal) && refusal.Outcome == problem.NotRun
}

// countingReader tells whether a body has been read.
type countingReader struct {
	source io.Reader
	read   int
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.read += n
	return n, err
}

// cancelOnClose frees the resources of an exchange with its answer.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}
