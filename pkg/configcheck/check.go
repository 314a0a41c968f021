package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// Bounds of plausible values. A value beyond them is a mistake, most often of the unit.
const (
	maxPlausibleTime        = 24 * time.Hour
	maxPlausibleBytes       = 1 << 40
	maxPlausibleConnections = 1 << 20
	maxPlausibleRate        = 1e9
	maxPlausibleAttempts    = 100
	// maxPriority is the last rank that is distinguished from the next one.
	maxPriority = 255
)

const (
	// minAnswerTime is less than a request takes to a target of the same region and back.
	minAnswerTime = time.Millisecond
	// minTimeoutShare is the share of the objective that a timeout must leave. The objective is what a usual answer takes, so that a
	// timeout below a tenth of it ends nearly all requests.
	minTimeoutShare = 0.1
)

// Options describe the deployment that the configuration is meant for.
type Options struct {
	// MaxHeaderBytes and HeaderTimeout are what VMs accept from callers, whatever the configuration says.
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	// Regions are the regions of the deployment; empty if they aren't known.
	Regions []string
}

type checker struct {
	*Document
	options  Options
	findings finding.List
}

// Check returns the errors and warnings of a document.
func Check(d *Document, o Options) finding.List {
	c := &checker{Document: d, options: o}
	c.checkLimits()
	c.checkPools()
	c.checkHosts()
	c.checkOrganisations()
	c.checkCommonRegions()
	return c.findings
}

func (c *checker) report(severity finding.Severity, item string, field Field, format string, args ...any) {
	if f, ok := c.finding(severity, item, field, fmt.Sprintf(format, args...)); ok {
		c.findings.Add(f)
	}
}

func (c *checker) fail(item string, field Field, format string, args ...any) {
	c.report(finding.Error, item, field, format, args...)
}

func (c *checker) warn(item string, field Field, format string, args ...any) {
	c.report(finding.Warning, item, field, format, args...)
}

// checkRange reports a value that is negative or absurdly high. It returns whether the value is plausible.
func checkRange[T int | int64 | float64 | time.Duration](c *checker, item string, field Field, value, highest T) bool {
	switch {
	case value < 0:
		c.fail(item, field, "is negative")
	case value > highest:
		c.fail(item, field, "is higher than any plausible value, %v", highest)
	}
	return value >= 0 && value <= highest
}

func (c *checker) checkLimits() {
	item, l := c.limitsPath(), c.Limits
	if checkRange(c, item, HeaderBytes, int64(l.HeaderBytes), maxPlausibleBytes) && l.HeaderBytes > c.options.MaxHeaderBytes {
		c.warn(item, HeaderBytes, "VMs accept at most %d", c.options.MaxHeaderBytes)
	}
	checkRange(c, item, BodyBytes, l.BodyBytes, maxPlausibleBytes)
	if checkRange(c, item, HeaderTimeout, l.HeaderTimeout, maxPlausibleTime) && l.HeaderTimeout > c.options.HeaderTimeout {
		c.warn(item, HeaderTimeout, "VMs wait at most %v", c.options.HeaderTimeout)
	}
	if checkRange(c, item, IdleTimeout, l.IdleTimeout, maxPlausibleTime) && l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		c.warn(item, IdleTimeout, "is shorter than the time for a header, %v", l.HeaderTimeout)
	}
}

func (c *checker) checkPools() {
	first, used := map[string]string{}, c.usedPools()
	for _, p := range c.Pools {
		c.checkPool(p)
		switch earlier, ok := first[p.Name]; {
		case p.Name == "":
			c.fail(p.Path, Name, "is missing or empty")
		case ok:
			c.fail(p.Path, Name, "pool %q is already listed at %s", p.Name, earlier)
		case !used[p.Name]:
			c.warn(p.Path, Name, "no route uses pool %q", p.Name)
		}
		if first[p.Name] == "" {
			first[p.Name] = p.Path
		}
	}
}

func (c *checker) checkPool(p PoolItem) {
	checkRange(c, p.Path, MaxConnections, p.MaxConnections, maxPlausibleConnections)
	checkRange(c, p.Path, ColdRate, p.ColdRate, maxPlausibleRate)
	if checkRange(c, p.Path, WarmupTime, p.WarmupTime, maxPlausibleTime) && p.WarmupTime > 0 && p.ColdRate == 0 {
		c.warn(p.Path, ColdRate, "is 0 with a warm-up time of %v; VMs use 1 request per second", p.WarmupTime)
	}
}

// usedPools returns the pools that get requests of any route.
func (c *checker) usedPools() map[string]bool {
	used := map[string]bool{}
	for _, h := range c.Hosts {
		for _, r := range h.Routes {
			for _, w := range r.PoolWeights {
				used[w.Pool] = used[w.Pool] || w.Weight > 0
			}
		}
	}
	return used
}

// checkRegions reports regions that the deployment doesn't have.
func (c *checker) checkRegions(item string, regions []string) {
	if slices.Contains(regions, "") {
		c.fail(item, HomeRegions, "contains an empty name")
	}
	if len(c.options.Regions) == 0 {
		return
	}
	unknown := slices.DeleteFunc(slices.Clone(regions), func(r string) bool { return slices.Contains(c.options.Regions, r) })
	switch {
	case len(unknown) == 0:
	case len(unknown) == len(regions):
		c.warn(item, HomeRegions, "names no region of the deployment, so that all requests are refused; it has %s", quoteList(c.options.Regions))
	default:
		c.warn(item, HomeRegions, "the deployment has no region %s", quoteList(unknown))
	}
}

// maxListed bounds how many names a finding lists.
const maxListed = 5

// quoteList returns names for a message, at most maxListed of them.
func quoteList(names []string) string {
	var quoted []string
	for _, name := range names[:min(len(names), maxListed)] {
		quoted = append(quoted, fmt.Sprintf("%q", name))
	}
	text := strings.Join(quoted, ", ")
	if more := len(names) - len(quoted); more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

// checkCommonRegions reports routes that share no region with an organisation that may use them.
func (c *checker) checkCommonRegions() {
	for _, h := range c.Hosts {
		for _, r := range h.Routes {
			if r.Public || len(r.HomeRegions) == 0 {
				continue
			}
			var none []string
			for _, o := range c.Organisations {
				if !shareRegion(&r.Route, &o.Organisation) {
					none = append(none, o.Name)
				}
			}
			if len(none) > 0 {
				c.warn(r.Path, HomeRegions, "has no region in common with %s, whose requests are refused", quoteList(none))
			}
		}
	}
}

func shareRegion(r *inventory.Route, o *inventory.Organisation) bool {
	return len(o.HomeRegions) == 0 || slices.ContainsFunc(r.HomeRegions, o.AllowsRegion)
}
