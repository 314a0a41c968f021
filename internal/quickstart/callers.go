package quickstart

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/internal/standin/target"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

const (
	// callDeadline is what callers ask for; callTimeout leaves time for the refusal.
	callDeadline = 2 * time.Second
	callTimeout  = 3 * time.Second
	// orderInterval, orderAttempts and attemptPause describe callers that send an order again until it is answered.
	orderInterval = 100 * time.Millisecond
	orderAttempts = 8
	attemptPause  = 150 * time.Millisecond
	maxAnswer     = 1 << 20
)

// sending is one request of a caller with its answer.
type sending struct {
	// id is the request ID; each sending has its own, so that the targets' records tell which sending ran.
	id      string
	order   string
	status  int
	outcome problem.Outcome
	body    string
	err     error
}

func (s *sending) answered() bool {
	return s.err == nil && s.status == http.StatusOK
}

func (s *sending) String() string {
	return fmt.Sprintf("request %s, order %s: status %d, outcome %q, %.200s, error %v", s.id, s.order, s.status, s.outcome, s.body, s.err)
}

// callers send requests and remember every answer.
type callers struct {
	client *http.Client

	mu       sync.Mutex
	sendings []sending
}

func newCallers() *callers {
	return &callers{client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call is a request of a caller.
type call struct {
	base, method, path, id, order, tenant string
	body                                  string
}

func (c *callers) send(ctx context.Context, k call) sending {
	s := c.exchange(ctx, k)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendings = append(c.sendings, s)
	return s
}

func (c *callers) exchange(ctx context.Context, k call) sending {
	s := sending{id: k.id, order: k.order}
	request, err := http.NewRequestWithContext(ctx, k.method, k.base+k.path, bytes.NewReader([]byte(k.body)))
	if err != nil {
		s.err = err
		return s
	}
	request.Header.Set("X-Request-Id", k.id)
	request.Header.Set("Request-Timeout-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	if k.order != "" {
		request.Header.Set("Idempotency-Key", k.order)
	}
	if k.tenant != "" {
		request.Header.Set("Bronzelever-Tenant", k.tenant)
	}
	response, err := c.client.Do(request)
	if err != nil {
		s.err = err
		return s
	}
	defer func() { _ = response.Body.Close() }()
	s.status = response.StatusCode
	s.outcome = problem.Outcome(response.Header.Get(problem.HeaderOutcome))
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	s.body, s.err = string(body), err
	return s
}

// orderUntilAnswered sends an order through one URL after the other until it is answered.
func (c *callers) orderUntilAnswered(ctx context.Context, order string, bases []string) bool {
	for attempt := range orderAttempts {
		if attempt > 0 {
			time.Sleep(attemptPause)
		}
		s := c.send(ctx, call{
			base:   bases[attempt%len(bases)],
			method: http.MethodPost,
			path:   "/orders",
			id:     fmt.Sprintf("%s-try%d", order, attempt),
			order:  order,
			body:   `{"order":"` + order + `"}`,
		})
		if s.answered() {
			return true
		}
	}
	return false
}

// run sends orders and reads until the context ends and waits for the last answers.
func (c *callers) run(ctx context.Context, bases []string) {
	var sent sync.WaitGroup
	defer sent.Wait()
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		order := fmt.Sprintf("caller-order-%d", n)
		rotated := append(append([]string(nil), bases[n%len(bases):]...), bases[:n%len(bases)]...)
		// The last orders get their full time.
		sent.Go(func() { c.orderUntilAnswered(context.WithoutCancel(ctx), order, rotated) })
		read := call{base: rotated[0], method: http.MethodGet, path: fmt.Sprintf("/status/caller-key-%d", n), id: fmt.Sprintf("caller-read-%d", n)}
		sent.Go(func() { c.send(context.WithoutCancel(ctx), read) })
	}
}

// judge compares every answer with what the targets recorded.
func (c *callers) judge(r *report, records []target.Record) {
	runs, orders := map[string]int{}, map[string]int{}
	for i := range records {
		for _, e := range records[i].Executions {
			runs[e.RequestID]++
			if e.OrderKey != "" {
				orders[e.OrderKey]++
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	answered, notRun, unknown, untrue, crossed := 0, 0, 0, 0, 0
	kinds := map[string]int{}
	for i := range c.sendings {
		s := &c.sendings[i]
		if kind := s.kind(); !s.answered() {
			if kinds[kind]++; kinds[kind] == 1 {
				r.note("first of "+kind, s.String())
			}
		}
		switch {
		case s.answered():
			answered++
			if s.order != "" && !s.ownAnswer() {
				crossed++
				r.note("answer to another order, or a second run", s.String())
			}
		case s.err == nil && s.outcome == problem.NotRun:
			notRun++
			if runs[s.id] > 0 {
				untrue++
				r.note("refusal not-run of an executed request", s.String())
			}
		default:
			unknown++
		}
	}
	r.note("callers' orders and reads: answered / not run / unknown", fmt.Sprintf("%d / %d / %d", answered, notRun, unknown))
	atMost(r, "refusals not-run that are untrue", untrue, 0, "")
	atMost(r, "orders with a wrong answer", crossed, 0, "")
}

// kind groups sendings by status and error code.
func (s *sending) kind() string {
	var document struct {
		Code string `json:"code"`
	}
	if s.err != nil || json.Unmarshal([]byte(s.body), &document) != nil {
		return fmt.Sprintf("status %d without a code", s.status)
	}
	return fmt.Sprintf("%d %s", s.status, document.Code)
}

// ownAnswer tells whether the body belongs to the order and shows a single run.
func (s *sending) ownAnswer() bool {
	var a target.OrderAnswer
	return json.Unmarshal([]byte(s.body), &a) == nil && a.Order == s.order && a.Runs == 1
}
