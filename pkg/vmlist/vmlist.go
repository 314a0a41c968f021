// Package vmlist polls the platform's list of VMs.
//
// The list lags behind reality by an unknown time. It tells whom to ask and who is about to leave; it never proves that a
// VM is dead or that it is alive. For this reason the package offers no test for absence that reads like one for death: a
// VM that isn't listed is Unlisted, which covers new, dead and forgotten VMs.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
)

const (
	// DefaultInterval between polls: a leaving VM has to be known within 2 s.
	DefaultInterval = 500 * time.Millisecond
	// DefaultTimeout bounds a poll.
	DefaultTimeout = time.Second
	// staleAfter is the number of intervals without a new list after which the list counts as stale.
	staleAfter = 6
	// maxBytes bounds a list; 12,000 VMs take about 1.3 MB.
	maxBytes = 8 << 20
)

// State is what the platform says about a VM.
type State string

const (
	// Live VMs are meant to run.
	Live State = "live"
	// Leaving VMs will be stopped soon.
	Leaving State = "leaving"
	// Unlisted VMs are not in the list. This says nothing about whether they run.
	Unlisted State = ""
)

// VM is one entry.
type VM struct {
	VM string `json:"vm"`
	// Address is a host, without port.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Cell          string `json:"cell"`
	State         State  `json:"state"`
}

// List is an immutable snapshot.
type List struct {
	VMs []VM
	// Asked is when the poll that returned the list was sent. The platform's own lag comes on top.
	Asked clock.Instant
}

// Age returns the time since the list was asked for.
func (l *List) Age(now clock.Instant) time.Duration {
	return now.Sub(l.Asked)
}

// State returns what the list says about a VM.
func (l *List) State(vm string) State {
	for i := range l.VMs {
		if l.VMs[i].VM == vm {
			return l.VMs[i].State
		}
	}
	return Unlisted
}

// Cell returns the VMs of a cell, leaving ones included.
func (l *List) Cell(cell string) []VM {
	var out []VM
	for _, vm := range l.VMs {
		if vm.Cell == cell {
			out = append(out, vm)
		}
	}
	return out
}

// Options of a client. URL is required.
type Options struct {
	URL      string
	Interval time.Duration
	Timeout  time.Duration
	Clock    clock.Clock
	Log      *event.Logger
	Scope    tally.Scope
	// Transport is http.DefaultTransport if it is nil.
	Transport http.RoundTripper
}

// Client polls the list.
type Client struct {
	o       Options
	http    http.Client
	changed chan struct{}

	mu      sync.Mutex
	current *List
	etag    string
	stale   bool
	started clock.Instant
}

// New returns a client. Run does the polling.
func New(o Options) *Client {
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Clock == nil {
		o.Clock = clock.Boottime{}
	}
	if o.Log == nil {
		o.Log = event.Discard()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Client{
		o:       o,
		http:    http.Client{Timeout: o.Timeout, Transport: o.Transport},
		changed: make(chan struct{}, 1),
		started: o.Clock.Now(),
	}
}

// Current returns the newest list, nil before the first one. It stays available while the platform doesn't answer; its age
// tells how much it is worth.
func (c *Client) Current() *List {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Changed receives a value when the content of the list has changed.
func (c *Client) Changed() <-chan struct{} {
	return c.changed
}

// Run polls until the context ends.
func (c *Client) Run(ctx context.Context) {
	for {
		err := c.Poll(ctx)
		if ctx.Err() != nil {
			return
		}
		c.report(err)
		select {
		case <-c.o.Clock.After(c.o.Interval):
		case <-ctx.Done():
			return
		}
	}
}

// Poll asks for the list once.
func (c *Client) Poll(ctx context.Context) error {
	asked := c.o.Clock.Now()
	vms, etag, err := c.fetch(ctx)
	result := "ok"
	if err != nil {
		result = "failed"
	}
	c.o.Scope.Tagged(map[string]string{"result": result}).Counter("vm_list_polls").Inc(1)
	if err != nil {
		return trace.Wrap(err, "list of VMs")
	}
	c.adopt(vms, etag, asked)
	return nil
}

// fetch returns nil VMs if the list is unchanged.
func (c *Client) fetch(ctx context.Context) (vms []VM, etag string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.o.URL, nil)
	if err != nil {
		return nil, "", err
	}
	known := c.knownETag()
	if known != "" {
		request.Header.Set("If-None-Match", known)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && known != "" {
		return nil, known, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, "", fmt.Errorf("status %s", response.Status)
	}
	vms, err = decode(io.LimitReader(response.Body, maxBytes))
	return vms, response.Header.Get("ETag"), err
}

// decode refuses lists that contradict themselves: using half of such a list would be worse than using an older one.
func decode(r io.Reader) ([]VM, error) {
	vms := []VM{}
	if err := json.NewDecoder(r).Decode(&vms); err != nil {
		return nil, err
	}
	if vms == nil {
		return nil, fmt.Errorf("the answer is no list")
	}
	seen := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.VM == "" || seen[vm.VM] {
			return nil, fmt.Errorf("VM %q is listed twice or has no name", vm.VM)
		}
		seen[vm.VM] = true
	}
	return vms, nil
}

func (c *Client) knownETag() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag
}

func (c *Client) adopt(vms []VM, etag string, asked clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag = etag
	if c.current != nil && asked < c.current.Asked {
		return
	}
	if vms == nil {
		c.current = &List{VMs: c.current.VMs, Asked: asked}
		return
	}
	changed := c.current == nil || !reflect.DeepEqual(c.current.VMs, vms)
	c.current = &List{VMs: vms, Asked: asked}
	if !changed {
		return
	}
	c.o.Log.Emit(event.VMListChanged, "vms", len(vms))
	select {
	case c.changed <- struct{}{}:
	default:
		// A notification is waiting already.
	}
}

// report publishes the list's age and logs when it becomes stale or current.
func (c *Client) report(err error) {
	age, wasStale, isStale := c.noteStaleness()
	c.o.Scope.Gauge("vm_list_age_seconds").Update(age.Seconds())
	switch {
	case isStale && !wasStale:
		c.o.Log.Emit(event.VMListUnavailable, "age", age, "error", errorText(err))
	case wasStale && !isStale:
		c.o.Log.Emit(event.VMListAvailable)
	}
}

func (c *Client) noteStaleness() (age time.Duration, was, is bool) {
	now := c.o.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	age = now.Sub(c.started)
	if c.current != nil {
		age = c.current.Age(now)
	}
	was = c.stale
	c.stale = age > staleAfter*c.o.Interval
	return age, was, c.stale
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
