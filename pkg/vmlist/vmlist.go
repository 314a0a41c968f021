// Package vmlist polls the platform's list of VMs.
//
// The list lags behind the actual state by an unknown time. It shows which VMs to contact and which are about to be
// stopped, but it doesn't prove that a VM is running or has stopped. The package therefore has no function that reports an
// absent VM as dead: a VM that isn't in the list has the state Unlisted, whether it is new, dead or missing by mistake.
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
	// DefaultInterval is the default time between polls. A leaving VM has to be known within 2 s.
	DefaultInterval = 500 * time.Millisecond
	// DefaultTimeout is the default timeout of a poll.
	DefaultTimeout = time.Second
	// staleAfterIntervals is the number of poll intervals without a successful poll after which the list is stale.
	staleAfterIntervals = 6
	// maxResponseBytes limits the size of a response; a list of 12,000 VMs takes about 1.3 MB.
	maxResponseBytes = 8 << 20
)

// State is the state of a VM according to the platform.
type State string

const (
	// Live is the state of a VM that is supposed to be running.
	Live State = "live"
	// Leaving is the state of a VM that will be stopped soon.
	Leaving State = "leaving"
	// Unlisted is the state of a VM that isn't in the list. It may or may not be running.
	Unlisted State = ""
)

// VM is an entry of the list.
type VM struct {
	VM string `json:"vm"`
	// Address is the host without a port.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Cell          string `json:"cell"`
	State         State  `json:"state"`
}

// List is an immutable snapshot of the VM list.
type List struct {
	VMs []VM
	// RequestedAt is the time at which the poll that returned the list was sent. The list may be older than that
	// by the platform's own lag.
	RequestedAt clock.Instant
}

// Age returns the time since the list was requested.
func (l *List) Age(now clock.Instant) time.Duration {
	return now.Sub(l.RequestedAt)
}

// State returns the state of a VM, or Unlisted if the VM isn't in the list.
func (l *List) State(vm string) State {
	for i := range l.VMs {
		if l.VMs[i].VM == vm {
			return l.VMs[i].State
		}
	}
	return Unlisted
}

// Cell returns the VMs of a cell, including leaving ones.
func (l *List) Cell(cell string) []VM {
	var out []VM
	for _, vm := range l.VMs {
		if vm.Cell == cell {
			out = append(out, vm)
		}
	}
	return out
}

// Options configures a Client. URL is required; the other fields have defaults.
type Options struct {
	URL      string
	Interval time.Duration
	Timeout  time.Duration
	Clock    clock.Clock
	Log      *event.Logger
	Scope    tally.Scope
	// Transport defaults to http.DefaultTransport.
	Transport http.RoundTripper
}

// Client polls the list of VMs and keeps the latest one.
type Client struct {
	options Options
	http    http.Client
	changed chan struct{}

	mu      sync.Mutex
	current *List
	etag    string
	stale   bool
	started clock.Instant
}

// New returns a client. It doesn't start polling; call Run for that.
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
		options: o,
		http:    http.Client{Timeout: o.Timeout, Transport: o.Transport},
		changed: make(chan struct{}, 1),
		started: o.Clock.Now(),
	}
}

// Current returns the latest list, or nil if no poll has succeeded yet. While polls fail, it continues to return the last
// list, so check its age before relying on it.
func (c *Client) Current() *List {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Changed returns a channel that receives a value when the content of the list changes. Pending notifications are merged.
func (c *Client) Changed() <-chan struct{} {
	return c.changed
}

// Run polls the list at every interval until the context is done.
func (c *Client) Run(ctx context.Context) {
	for {
		err := c.Poll(ctx)
		if ctx.Err() != nil {
			return
		}
		c.reportStaleness(err)
		select {
		case <-c.options.Clock.After(c.options.Interval):
		case <-ctx.Done():
			return
		}
	}
}

// Poll requests the list once.
func (c *Client) Poll(ctx context.Context) error {
	requestedAt := c.options.Clock.Now()
	vms, etag, err := c.fetch(ctx)
	result := "ok"
	if err != nil {
		result = "failed"
	}
	c.options.Scope.Tagged(map[string]string{"result": result}).Counter("vm_list_polls").Inc(1)
	if err != nil {
		return trace.Wrap(err, "poll VM list")
	}
	c.update(vms, etag, requestedAt)
	return nil
}

// fetch requests the list. It returns nil VMs if the list hasn't changed since the last ETag.
func (c *Client) fetch(ctx context.Context) (vms []VM, etag string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.options.URL, nil)
	if err != nil {
		return nil, "", err
	}
	cached := c.cachedETag()
	if cached != "" {
		request.Header.Set("If-None-Match", cached)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && cached != "" {
		return nil, cached, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, "", fmt.Errorf("unexpected status %s", response.Status)
	}
	vms, err = decode(io.LimitReader(response.Body, maxResponseBytes))
	return vms, response.Header.Get("ETag"), err
}

// decode rejects a list with duplicate or unnamed VMs as a whole: using part of it would be worse than keeping an older list.
func decode(r io.Reader) ([]VM, error) {
	vms := []VM{}
	if err := json.NewDecoder(r).Decode(&vms); err != nil {
		return nil, err
	}
	if vms == nil {
		return nil, fmt.Errorf("response is not a list")
	}
	seen := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.VM == "" || seen[vm.VM] {
			return nil, fmt.Errorf("VM %q is a duplicate or has no name", vm.VM)
		}
		seen[vm.VM] = true
	}
	return vms, nil
}

func (c *Client) cachedETag() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag
}

// update stores the ETag and the fetched list; it discards a list that was requested before the current one. Nil VMs
// mean that the list is unchanged: only its time advances.
func (c *Client) update(vms []VM, etag string, requestedAt clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag = etag
	if c.current != nil && requestedAt < c.current.RequestedAt {
		return
	}
	if vms == nil {
		c.current = &List{VMs: c.current.VMs, RequestedAt: requestedAt}
		return
	}
	changed := c.current == nil || !reflect.DeepEqual(c.current.VMs, vms)
	c.current = &List{VMs: vms, RequestedAt: requestedAt}
	if !changed {
		return
	}
	c.options.Log.Emit(event.VMListChanged, "vms", len(vms))
	select {
	case c.changed <- struct{}{}:
	default:
		// A notification is already pending.
	}
}

// reportStaleness updates the age metric and logs when the list becomes stale or is current again.
func (c *Client) reportStaleness(err error) {
	age, wasStale, isStale := c.updateStaleness()
	c.options.Scope.Gauge("vm_list_age_seconds").Update(age.Seconds())
	switch {
	case isStale && !wasStale:
		c.options.Log.Emit(event.VMListUnavailable, "age", age, "error", errorText(err))
	case wasStale && !isStale:
		c.options.Log.Emit(event.VMListAvailable)
	}
}

// updateStaleness returns the age of the list and whether it was stale before and is stale now. Before the first list, the
// age counts from the creation of the client.
func (c *Client) updateStaleness() (age time.Duration, wasStale, isStale bool) {
	now := c.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	age = now.Sub(c.started)
	if c.current != nil {
		age = c.current.Age(now)
	}
	wasStale = c.stale
	c.stale = age > staleAfterIntervals*c.options.Interval
	return age, wasStale, c.stale
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
