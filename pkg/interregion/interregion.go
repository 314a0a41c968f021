// Package interregion counts the bytes that a VM sends to and receives from other regions, by their purpose. Traffic between regions is
// billed by volume. The counts are those of the connections' payload, without packet headers and connection setup.
package interregion

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Kind is the purpose of bytes.
type Kind int

const (
	// Placement is for place requests, responses and releases.
	Placement Kind = iota
	// Tables is for updates that contain rows or routes.
	Tables
	// Reports is for updates without rows and routes, and for reports of VMs.
	Reports
	// Grants is for grants and releases of keys at targets.
	Grants
	// KeyedRequests, HomeRequests and OtherRequests are for the first attempts of callers' requests with their responses: those of keyed
	// pools, those of other pools that may run in certain regions only, and all others. Retries is for further attempts of all of them,
	// hedges included.
	KeyedRequests
	HomeRequests
	OtherRequests
	Retries
	// Store is for calls of the store. The region of the store isn't known, so all of them are counted.
	Store
	kindCount
)

// kindNames are the names of the kinds in metrics, the state dump and the log.
var kindNames = [kindCount]string{"placement", "tables", "reports", "grants", "requests_keyed", "requests_homes", "requests_other", "retries", "store"}

// String returns the name of the kind.
func (k Kind) String() string {
	return kindNames[k]
}

// Volume is a number of bytes in each direction.
type Volume struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

// Counter counts the bytes of a process. It is safe for concurrent use. A nil Counter counts nothing.
type Counter struct {
	sent, received [kindCount]atomic.Int64
}

// AddSent counts bytes that were sent to another region.
func (c *Counter) AddSent(k Kind, n int) {
	if c != nil {
		c.sent[k].Add(int64(n))
	}
}

// AddReceived counts bytes that were received from another region.
func (c *Counter) AddReceived(k Kind, n int) {
	if c != nil {
		c.received[k].Add(int64(n))
	}
}

// Total returns the bytes of a kind since the start of the process.
func (c *Counter) Total(k Kind) Volume {
	if c == nil {
		return Volume{}
	}
	return Volume{Sent: c.sent[k].Load(), Received: c.received[k].Load()}
}

// Totals returns the bytes of all kinds by name.
func (c *Counter) Totals() map[string]Volume {
	totals := make(map[string]Volume, kindCount)
	for k := range kindCount {
		totals[k.String()] = c.Total(k)
	}
	return totals
}

// Flow returns the part of the counter for one kind, nil for a nil Counter.
func (c *Counter) Flow(k Kind) *Flow {
	if c == nil {
		return nil
	}
	return &Flow{counter: c, kind: k}
}

// Flow counts bytes of one kind. A nil Flow counts nothing.
type Flow struct {
	counter *Counter
	kind    Kind
}

// AddSent counts bytes that were sent.
func (f *Flow) AddSent(n int) {
	if f != nil {
		f.counter.AddSent(f.kind, n)
	}
}

// AddReceived counts bytes that were received.
func (f *Flow) AddReceived(n int) {
	if f != nil {
		f.counter.AddReceived(f.kind, n)
	}
}

// Dialer opens a connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dialer whose connections count their bytes.
func (f *Flow) Dialer(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil || f == nil {
			return c, err
		}
		return &conn{Conn: c, flow: f}, nil
	}
}

// conn counts the bytes of a connection.
type conn struct {
	net.Conn
	flow *Flow
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.flow.AddReceived(n)
	return n, err
}

// Write implements io.Writer. The bytes are counted before they are written, so that the response to a call doesn't arrive before they are
// counted.
func (c *conn) Write(p []byte) (int, error) {
	c.flow.AddSent(len(p))
	n, err := c.Conn.Write(p)
	if n < len(p) {
		c.flow.AddSent(n - len(p))
	}
	return n, err
}

// Peer counts the bytes of a connection to another VM. Until the regions of both ends are known, it keeps the counts for itself. A nil
// Peer counts nothing.
type Peer struct {
	mu      sync.Mutex
	counter *Counter
	// pending holds the counts until the regions are known, and is nil after that.
	pending *Counter
}

// NewPeer returns a Peer that adds to a counter.
func NewPeer(c *Counter) *Peer {
	return &Peer{counter: c, pending: &Counter{}}
}

// SetRegions states the regions of both ends. It has no effect if one of them is empty or if they are known.
func (p *Peer) SetRegions(own, other string) {
	if p == nil || own == "" || other == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending == nil {
		return
	}
	if own == other {
		p.counter, p.pending = nil, nil
		return
	}
	for k := range kindCount {
		v := p.pending.Total(k)
		p.counter.AddSent(k, int(v.Sent))
		p.counter.AddReceived(k, int(v.Received))
	}
	p.pending = nil
}

// add calls a function with the counter to add to. SetRegions, which moves the counts kept so far, waits for it.
func (p *Peer) add(f func(*Counter)) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending != nil {
		f(p.pending)
		return
	}
	f(p.counter)
}

// AddSent counts bytes that were sent to the other VM.
func (p *Peer) AddSent(k Kind, n int) {
	p.add(func(c *Counter) { c.AddSent(k, n) })
}

// AddReceived counts bytes that were received from the other VM.
func (p *Peer) AddReceived(k Kind, n int) {
	p.add(func(c *Counter) { c.AddReceived(k, n) })
}

// Metrics shows the counts of a Counter. Record must not be called concurrently.
type Metrics struct {
	counter        *Counter
	sent, received [kindCount]tally.Counter
	recorded       [kindCount]Volume
}

// NewMetrics registers the metrics in the "inter_region" subscope of scope.
func NewMetrics(scope tally.Scope, c *Counter) *Metrics {
	m := &Metrics{counter: c}
	s := scope.SubScope("inter_region")
	for k := range kindCount {
		m.sent[k] = s.Tagged(map[string]string{"kind": k.String(), "direction": "sent"}).Counter("bytes")
		m.received[k] = s.Tagged(map[string]string{"kind": k.String(), "direction": "received"}).Counter("bytes")
	}
	return m
}

// Record adds what was counted since the last call to the metrics.
func (m *Metrics) Record() {
	for k := range kindCount {
		v := m.counter.Total(k)
		increase(m.sent[k], &m.recorded[k].Sent, v.Sent)
		increase(m.received[k], &m.recorded[k].Received, v.Received)
	}
}

// increase raises a metric from the recorded value to a new one. A count falls if a write fails after its bytes were counted; the metric
// then stays until the count has passed it, since a Prometheus counter panics if it decreases.
func increase(metric tally.Counter, recorded *int64, value int64) {
	if value > *recorded {
		metric.Inc(value - *recorded)
		*recorded = value
	}
}

// Fields returns the counts as key-value pairs for a log line, in a fixed order and without kinds that have no bytes.
func (c *Counter) Fields() []any {
	var fields []any
	for k := range kindCount {
		if v := c.Total(k); v != (Volume{}) {
			fields = append(fields, k.String()+"_sent", v.Sent, k.String()+"_received", v.Received)
		}
	}
	return fields
}
