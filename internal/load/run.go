package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// Run sends requests until the duration has passed or the context ends, waits for the answers, and returns the report.
// The sequence of requests of a class follows from the seed.
func Run(ctx context.Context, config Config) (Report, error) {
	if err := config.complete(); err != nil {
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
	all := make([]*stats, len(config.Classes))
	var senders sync.WaitGroup
	for i := range config.Classes {
		all[i] = newStats(&config.Classes[i], r.start, config.TimelineStep)
		senders.Go(func() { r.sendClass(sending, uint64(i), all[i]) })
	}
	senders.Wait()
	ended := time.Now()
	r.exchanges.Wait()
	report := Report{Seed: config.Seed, Duration: ended.Sub(r.start)}
	for i, s := range all {
		report.Classes = append(report.Classes, s.finish(config.Classes[i].Weight, ended))
	}
	return report, nil
}

type runner struct {
	config   Config
	balancer *balancer
	client   interface {
		doer
		CloseIdleConnections()
	}
	inFlight  chan struct{}
	exchanges sync.WaitGroup
	start     time.Time
}

// sendClass sends one class at its rate.
func (r *runner) sendClass(ctx context.Context, index uint64, s *stats) {
	class := &r.config.Classes[index]
	random := rand.New(rand.NewPCG(r.config.Seed, index))
	zipf := rand.NewZipf(random, class.Zipf, 1, uint64(class.Keys-1))
	intended := r.start
	for n := 0; ; n++ {
		intended = intended.Add(time.Duration(random.ExpFloat64() / class.Rate * float64(time.Second)))
		e := &exchange{
			class:  class,
			id:     "load-" + strconv.FormatUint(r.config.Seed, 36) + "-" + strconv.FormatUint(index, 10) + "-" + strconv.Itoa(n),
			key:    "key-" + strconv.FormatUint(zipf.Uint64(), 10),
			url:    random.IntN(len(r.config.URLs)),
			repeat: random.Float64() < class.RepeatShare && class.Kind == Order,
			atOnce: random.IntN(2) == 0,
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

// launch sends a request without waiting for its answer.
func (r *runner) launch(e *exchange, s *stats, intended time.Time) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		s.dropped()
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
	again := *e
	again.url = (e.url + 1) % len(r.config.URLs)
	var first, second string
	if e.atOnce {
		var both sync.WaitGroup
		both.Go(func() { first = r.sendOnce(e, s, intended, false) })
		both.Go(func() { second = r.sendOnce(&again, s, intended, true) })
		both.Wait()
	} else {
		first = r.sendOnce(e, s, intended, false)
		second = r.sendOnce(&again, s, time.Now(), true)
	}
	if first != "" && second != "" && first != second {
		s.addMismatch(e.id, first, second)
	}
}

// sendOnce sends one request and returns the body of a right answer to an order.
func (r *runner) sendOnce(e *exchange, s *stats, intended time.Time, repeat bool) string {
	s.sent(repeat)
	// The context of the run only ends the sending: requests in flight get their full time.
	ctx, cancel := context.WithTimeout(context.Background(), e.class.Timeout)
	defer cancel()
	res, body := e.send(ctx, r.client, r.balancer)
	s.add(res, intended, time.Now())
	return body
}
