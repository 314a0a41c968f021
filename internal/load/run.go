package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// Run sends requests until the duration has passed or ctx ends, waits for the outstanding responses, and returns the report.
// The seed determines the sequence of requests of each class.
func Run(ctx context.Context, config Config) (Report, error) {
	if err := config.normalize(); err != nil {
		return Report{}, err
	}
	r := &runner{
		config:   config,
		balancer: newBalancer(config.URLs),
		client:   newClient(),
		inFlight: make(chan struct{}, config.MaxInFlight),
		start:    time.Now(),
	}
	defer r.client.CloseIdleConnections()
	sending, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	classStats := make([]*stats, len(config.Classes))
	var senders sync.WaitGroup
	for i := range config.Classes {
		classStats[i] = newStats(&config.Classes[i], r.start, config.TimelineStep)
		senders.Go(func() { r.sendClass(sending, uint64(i), classStats[i]) })
	}
	senders.Wait()
	ended := time.Now()
	r.exchanges.Wait()
	report := Report{Seed: config.Seed, Duration: ended.Sub(r.start)}
	for i, s := range classStats {
		report.Classes = append(report.Classes, s.summarize(config.Classes[i].Weight, ended))
	}
	return report, nil
}

type runner struct {
	config   Config
	balancer *balancer
	client   interface {
		httpClient
		CloseIdleConnections()
	}
	inFlight  chan struct{}
	exchanges sync.WaitGroup
	start     time.Time
}

// sendClass sends the requests of one class at its rate.
func (r *runner) sendClass(ctx context.Context, index uint64, s *stats) {
	class := &r.config.Classes[index]
	random := rand.New(rand.NewPCG(r.config.Seed, index))
	zipf := rand.NewZipf(random, class.Zipf, 1, uint64(class.Keys-1))
	intended := r.start
	for n := 0; ; n++ {
		intended = intended.Add(time.Duration(random.ExpFloat64() / class.Rate * float64(time.Second)))
		e := &exchange{
			class:              class,
			id:                 "load-" + strconv.FormatUint(r.config.Seed, 36) + "-" + strconv.FormatUint(index, 10) + "-" + strconv.Itoa(n),
			key:                "key-" + strconv.FormatUint(zipf.Uint64(), 10),
			urlIndex:           random.IntN(len(r.config.URLs)),
			repeat:             random.Float64() < class.RepeatShare && class.Kind == Order,
			repeatConcurrently: random.IntN(2) == 0,
		}
		if !sleepUntil(ctx, intended) {
			return
		}
		r.launch(e, s, intended)
	}
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// launch sends a request without waiting for its response. It drops the request if too many are in flight.
func (r *runner) launch(e *exchange, s *stats, intended time.Time) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		s.recordDropped()
		return
	}
	r.exchanges.Go(func() {
		defer func() { <-r.inFlight }()
		r.runExchange(e, s, intended)
	})
}

func (r *runner) runExchange(e *exchange, s *stats, intended time.Time) {
	if !e.repeat {
		r.sendOnce(e, s, intended, false)
		return
	}
	repeated := *e
	repeated.urlIndex = (e.urlIndex + 1) % len(r.config.URLs)
	var first, second string
	if e.repeatConcurrently {
		var both sync.WaitGroup
		both.Go(func() { first = r.sendOnce(e, s, intended, false) })
		both.Go(func() { second = r.sendOnce(&repeated, s, intended, true) })
		both.Wait()
	} else {
		first = r.sendOnce(e, s, intended, false)
		second = r.sendOnce(&repeated, s, time.Now(), true)
	}
	if first != "" && second != "" && first != second {
		s.recordMismatch(e.id, first, second)
	}
}

// sendOnce sends one request and, for an order, returns the body of a correct response.
func (r *runner) sendOnce(e *exchange, s *stats, intended time.Time, repeat bool) string {
	s.recordSent(repeat)
	// The context of the run only stops new requests. Requests in flight keep their full timeout.
	ctx, cancel := context.WithTimeout(context.Background(), e.class.Timeout)
	defer cancel()
	sendResult, body := e.send(ctx, r.client, r.balancer)
	s.recordResult(sendResult, intended, time.Now())
	return body
}
