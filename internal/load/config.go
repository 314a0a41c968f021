// Package load sends requests at a fixed rate, independently of the answers, and checks that every answer is whole and
// belongs to its request.
package load

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the kind of requests of a class.
type Kind string

const (
	// Read sends GET /status/{key} with Zipf-distributed keys.
	Read Kind = "read"
	// Order sends POST /orders, each with an Idempotency-Key of its own.
	Order Kind = "order"
	// Upload sends POST /photos.
	Upload Kind = "upload"
	// Download sends GET /photos/{name}.
	Download Kind = "download"
)

// Defaults of a class.
const (
	DefaultKeys        = 10_000
	DefaultZipf        = 1.1
	DefaultTimeout     = 5 * time.Second
	DefaultBundleBytes = 1 << 20
	DefaultMaxInFlight = 4096
)

// Class describes one stream of requests.
type Class struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Rate is the mean number of requests per second; arrivals form a Poisson process.
	Rate float64 `json:"rate"`
	// Tenant is sent as Bronzelever-Tenant if it is set.
	Tenant string `json:"tenant,omitempty"`
	// Path replaces the default path: a prefix of the key for reads and downloads, the whole path otherwise.
	Path string `json:"path,omitempty"`
	// Weight is the class weight in the weighted goodput.
	Weight int `json:"weight"`
	// Keys and Zipf describe the distribution of keys; Zipf is the exponent and must be above 1.
	Keys int     `json:"keys,omitempty"`
	Zipf float64 `json:"zipf,omitempty"`
	// RepeatShare is the share of orders that are sent a second time through another URL: half of them at once, half of
	// them after the first answer.
	RepeatShare float64 `json:"repeat_share,omitempty"`
	// BundleBytes is the size of a bundle.
	BundleBytes int64 `json:"bundle_bytes,omitempty"`
	// Timeout bounds a request at the client; it is also sent as Request-Timeout-Ms.
	Timeout time.Duration `json:"timeout,omitempty"`
}

// Config describes a run.
type Config struct {
	// URLs are the bases of the entry routers; each request picks one at random. One that refuses connections is skipped
	// for a short time, as a load balancer does.
	URLs     []string
	Classes  []Class
	Duration time.Duration
	Seed     uint64
	// MaxInFlight bounds the requests in flight over all classes; arrivals beyond it are counted as dropped.
	MaxInFlight int
	// TimelineStep adds counts per step to the report if it isn't 0.
	TimelineStep time.Duration
}

func (c *Config) complete() error {
	var problems []error
	if len(c.URLs) == 0 {
		problems = append(problems, errors.New("no URL"))
	}
	if len(c.Classes) == 0 {
		problems = append(problems, errors.New("no class"))
	}
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	classes := append([]Class(nil), c.Classes...)
	for i := range classes {
		if err := classes[i].complete(); err != nil {
			problems = append(problems, err)
		}
	}
	c.Classes = classes
	return errors.Join(problems...)
}

var defaultPaths = map[Kind]string{
	Read:     "/status/",
	Order:    "/orders",
	Upload:   "/photos",
	Download: "/photos/",
}

func (c *Class) complete() error {
	path, known := defaultPaths[c.Kind]
	if !known {
		return fmt.Errorf("class %q: unknown kind %q", c.Name, c.Kind)
	}
	if c.Rate <= 0 {
		return fmt.Errorf("class %q: the rate must be positive", c.Name)
	}
	if c.Name == "" {
		c.Name = string(c.Kind)
	}
	if c.Path == "" {
		c.Path = path
	}
	setDefault(&c.Weight, 1)
	setDefault(&c.Keys, DefaultKeys)
	setDefault(&c.Zipf, DefaultZipf)
	setDefault(&c.BundleBytes, DefaultBundleBytes)
	setDefault(&c.Timeout, DefaultTimeout)
	if c.Zipf <= 1 {
		return fmt.Errorf("class %q: the Zipf exponent must be above 1", c.Name)
	}
	return nil
}

func setDefault[T int | int64 | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}
