package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxProblemBytes bounds what an error quotes of an answer.
const maxProblemBytes = 1000

// maxFailures is the share of failed requests above which a measurement is void.
const maxFailures = 0.01

// sample holds the sorted latencies of a phase.
type sample []time.Duration

func (s sample) at(p float64) time.Duration {
	return s[int(float64(len(s)-1)*p)]
}

// sendAtRate sends requests at a fixed rate, independently of the answers, and returns the latencies of the good ones. The
// phase is void if too many failed.
func sendAtRate(ctx context.Context, rate float64, duration time.Duration, send func(n int) error) (sample, error) {
	latencies, failed, err := countAtRate(ctx, rate, duration, send)
	if float64(failed) > maxFailures*float64(failed+len(latencies)) || len(latencies) == 0 {
		return nil, fmt.Errorf("%d of %d requests failed: %w", failed, failed+len(latencies), err)
	}
	return latencies, nil
}

// countAtRate is sendAtRate for phases in which failures are a result. The error is that of the last failed request.
func countAtRate(ctx context.Context, rate float64, duration time.Duration, send func(n int) error) (sample, int, error) {
	var (
		mu        sync.Mutex
		latencies sample
		failed    int
		lastErr   error
		wait      sync.WaitGroup
	)
	start := time.Now()
	for n := 0; ; n++ {
		at := time.Duration(float64(n) / rate * float64(time.Second))
		if at >= duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(start.Add(at)))
		wait.Go(func() {
			began := time.Now()
			err := send(n)
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				lastErr = err
				return
			}
			latencies = append(latencies, took)
		})
	}
	wait.Wait()
	slices.Sort(latencies)
	return latencies, failed, errors.Join(lastErr, ctx.Err())
}

// sendInLoops sends requests one after the other from each worker and returns the answers per second.
func sendInLoops(ctx context.Context, workers int, duration time.Duration, send func(worker int) error) float64 {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var answered atomic.Int64
	var wait sync.WaitGroup
	start := time.Now()
	for worker := range workers {
		wait.Go(func() {
			for ctx.Err() == nil {
				if send(worker) == nil {
					answered.Add(1)
				}
			}
		})
	}
	wait.Wait()
	return float64(answered.Load()) / time.Since(start).Seconds()
}

// newClient returns a client that keeps enough connections for the rates of the measurements.
func newClient(perHost int) *http.Client {
	return &http.Client{
		Timeout:   5 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: perHost, MaxConnsPerHost: perHost, DisableCompression: true},
	}
}

// get reads a whole answer.
func get(client *http.Client, url string) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func median(values []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

func micros(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}
