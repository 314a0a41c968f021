package bench

import (
	"fmt"

	"github.com/bronzelever/bronzelever/pkg/config"
)

// oneRegion is a configuration with one region of two failure domains and without pools.
func oneRegion() *config.Config {
	return regions(1)
}

// regions returns a configuration with regions of two failure domains each and without pools.
func regions(n int) *config.Config {
	cfg := &config.Config{LinkBytesPerSecond: 3_750_000}
	for i := range n {
		name := fmt.Sprintf("region-%d", i+1)
		cfg.Regions = append(cfg.Regions, config.Region{Name: name, Domains: []string{name + "-a", name + "-b"}})
	}
	return cfg
}

// poolOf returns a pool whose targets are spread over the failure domains. index separates the addresses of pools.
func poolOf(cfg *config.Config, name string, index, targets int) config.Pool {
	pool := config.Pool{
		Name:            name,
		NotRunTrusted:   true,
		Slots:           2,
		Connections:     120,
		ColdConcurrency: 1,
		QueueLimit:      64,
		MaxDeadline:     2000,
		RepeatWindow:    60_000,
	}
	var domains []string
	for _, r := range cfg.Regions {
		domains = append(domains, r.Domains...)
	}
	for i := range targets {
		pool.Targets = append(pool.Targets, config.Target{
			ID:      fmt.Sprintf("%s-%d", name, i+1),
			Address: fmt.Sprintf("%s.%d.%d:8000", network, 100+index, i+1),
			Domain:  domains[i%len(domains)],
		})
	}
	return pool
}

// keyed makes a pool keyed.
func keyed(pool config.Pool, slicesPerTarget int) config.Pool {
	pool.Keyed = true
	pool.SlicesPerTarget = slicesPerTarget
	pool.MovesPerMinute = 60
	return pool
}

// reads is an idempotent route for GET /status/{key}.
func reads(pool *config.Pool) config.Route {
	route := config.Route{
		Name:         pool.Name + "-read",
		PathPrefix:   "/status",
		Methods:      []string{"GET"},
		Pool:         pool.Name,
		Class:        "read",
		Weight:       1,
		Idempotent:   true,
		Deadline:     pool.MaxDeadline,
		MaxBodyBytes: 4096,
	}
	if pool.Keyed {
		route.Key = config.KeySource{Place: config.KeyInPath, Segment: 1}
	}
	return route
}

// downloads is an idempotent route for GET /photos/{name}.
func downloads(pool *config.Pool, weight int) config.Route {
	return config.Route{
		Name:         pool.Name + "-download",
		PathPrefix:   "/photos",
		Methods:      []string{"GET"},
		Pool:         pool.Name,
		Class:        "download",
		Weight:       weight,
		Idempotent:   true,
		Deadline:     pool.MaxDeadline,
		MaxBodyBytes: 4096,
	}
}
