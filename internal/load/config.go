// Package load sends requests at a fixed mean rate, independently of the responses (open loop), and checks that every response is
// complete and belongs to its request.
package load

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the kind of the requests of a class.
type Kind string

const (
	// Read sends GET /status/{key} with Zipf-distributed keys.
	Read Kind = "read"
	// Order sends POST /orders, each order with an Idempotency-Key of its own.
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
	// Path replaces the default path. For reads and downloads it is the prefix before the key, otherwise the whole path.
	Path string `json:"path,omitempty"`
	// Weight is the class weight in the weighted goodput.
	Weight int `json:"weight"`
	// Keys is the number of keys. Zipf is the exponent of their distribution and must be above 1.
	Keys int     `json:"keys,omitempty"`
	Zipf float64 `json:"zipf,omitempty"`
	// RepeatShare is the share of orders that are sent a second time through another URL: half of them concurrently, half of
	// them after the first response.
	RepeatShare float64 `json:"repeat_share,omitempty"`
	// BundleBytes is the size of the body of an upload or a download.
	BundleBytes int64 `json:"bundle_bytes,omitempty"`
	// Timeout bounds a request at the client; it is also sent as Request-Timeout-Ms.
	Timeout time.Duration `json:"timeout,omitempty"`
}

// Config describes a run.
type Config struct {
	// URLs are the base URLs of the entry routers. Each request uses a random one. A URL that refuses connections is skipped for a
	// short time, as by a load balancer.
	URLs     []string
	Classes  []Class
	Duration time.Duration
	Seed     uint64
	// MaxInFlight limits the number of requests in flight over all classes. Arrivals beyond it are counted as dropped.
	MaxInFlight int
	// TimelineStep is the length of the steps of the timeline in the report; 0 omits the timeline.
	TimelineStep time.Duration
}

func (c *Config) normalize() error {
	var errs []error
	if len(c.URLs) == 0 {
		errs = append(errs, errors.New("no URL is configured"))
	}
	if len(c.Classes) == 0 {
		errs = append(errs, errors.New("no class is configured"))
	}
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	classes := append([]Class(nil), c.Classes...)
	for i := range classes {
		if err := classes[i].normalize(); err != nil {
			errs = append(errs, err)
		}
	}
	c.Classes = classes
	return errors.Join(errs...)
}

var defaultPaths = map[Kind]string{
	Read:     "/status/",
	Order:    "/orders",
	Upload:   "/photos",
	Download: "/photos/",
}

func (c *Class) normalize() error {
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
