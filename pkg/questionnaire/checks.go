package questionnaire

import (
	"fmt"
	"slices"
	"strings"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/jsonc"
)

// checkService reports contradictions between the answers of one service.
func (g *generator) checkService(path string, s *Service) {
	if s.DividedByKey != nil && !*s.DividedByKey && s.Key != nil {
		g.Fail(jsonc.Join(path, "key"), "the service is not divided by key, but a place of the key is answered", "no key, or divided_by_key: true")
	}
	if s.DividedByKey != nil && *s.DividedByKey && s.Key == nil {
		g.Fail(jsonc.Join(path, "divided_by_key"), "the service is divided by key, but no place of the key is answered", "key: place and name or segment")
	}
	g.checkLimits(path, s)
	g.checkRepetition(path, s)
}

func (g *generator) checkLimits(path string, s *Service) {
	if s.Slots == nil {
		return
	}
	if s.ColdConcurrency != nil && *s.ColdConcurrency > *s.Slots {
		g.Fail(jsonc.Join(path, "cold_concurrency"),
			fmt.Sprintf("a cold target accepts %d requests, but a warm one has %d slots", *s.ColdConcurrency, *s.Slots),
			"at most the slots")
	}
	if s.Connections != nil && *s.Connections < *s.Slots {
		g.Fail(jsonc.Join(path, "connections"),
			fmt.Sprintf("%d connections can't carry %d requests at once", *s.Connections, *s.Slots),
			"at least the slots")
	}
}

// checkRepetition checks that request names are unique and that the lists of requests that may be repeated and that must
// never run twice are consistent.
func (g *generator) checkRepetition(path string, s *Service) {
	var known []string
	for i, q := range s.Requests {
		if slices.Contains(known, q.Name) {
			at := jsonc.Join(jsonc.Element(jsonc.Join(path, "requests"), i), "name")
			g.Fail(at, fmt.Sprintf("request %q is given twice", q.Name), "each request once")
		}
		known = append(known, q.Name)
	}
	g.checkListed(jsonc.Join(path, "may_be_repeated"), s.MayBeRepeated, known)
	g.checkListed(jsonc.Join(path, "never_twice"), s.NeverTwice, known)
	for i, name := range s.MayBeRepeated {
		if slices.Contains(s.NeverTwice, name) {
			at := jsonc.Element(jsonc.Join(path, "may_be_repeated"), i)
			g.Fail(at, fmt.Sprintf("request %q is also in never_twice", name), "each request in one of the two lists")
		}
	}
}

func (g *generator) checkListed(path string, list, known []string) {
	for i, name := range list {
		at := jsonc.Element(path, i)
		switch {
		case !slices.Contains(known, name):
			g.Fail(at, fmt.Sprintf("the service has no request %q", name), strings.Join(known, ", "))
		case slices.Contains(list[:i], name):
			g.Fail(at, fmt.Sprintf("request %q is listed twice", name), "each request once")
		}
	}
}

// idempotent reports whether a request may be repeated. A request in neither list must never run twice.
func (g *generator) idempotent(serviceFrom, to string, s *Service, request string) bool {
	mayPath := jsonc.Join(serviceFrom, "may_be_repeated")
	neverPath := jsonc.Join(serviceFrom, "never_twice")
	may := slices.Index(s.MayBeRepeated, request)
	never := slices.Index(s.NeverTwice, request)
	switch {
	case never >= 0:
		g.recordAnswer(to, jsonc.Element(neverPath, never))
		return false
	case may >= 0:
		g.recordAnswer(to, jsonc.Element(mayPath, may))
		return true
	}
	g.recordAssumption(to, neverPath, fmt.Sprintf("request %q must never run twice", request), "it is in neither list")
	return false
}

// checkTakeover checks that the time within which keys must be served again after a loss covers the lease and the longest
// execution, and that it is given only for a service that is divided by key.
func (g *generator) checkTakeover(path string, s *Service, p *config.Pool) {
	if s.ServedAgainWithin == nil {
		return
	}
	at := jsonc.Join(path, "served_again_within_ms")
	if !p.Keyed {
		g.Fail(at, "the service is not divided by key", "only for services that are divided by key")
		return
	}
	need := config.LeaseTTL + p.MaxDeadline
	if need > *s.ServedAgainWithin {
		message := fmt.Sprintf("keys wait for the lease (%d ms) and the longest execution (%d ms), %d ms together",
			config.LeaseTTL, p.MaxDeadline, need)
		g.Fail(at, message, fmt.Sprintf("at least %d, or a longest execution of at most %d ms", need, max(*s.ServedAgainWithin-config.LeaseTTL, 0)))
	}
}

func (g *generator) checkLink(link *Link) {
	if link.BitsPerSecond <= 0 {
		g.Fail("link.bits_per_second", fmt.Sprintf("%d is out of range", link.BitsPerSecond), "at least 1")
	}
	if link.RoutersPerRegion <= 0 {
		g.Fail("link.routers_per_region", fmt.Sprintf("%d is out of range", link.RoutersPerRegion), "at least 1")
	}
}

// regionsOf returns the names of the regions in which a service has targets, in the order of the answers.
func (g *generator) regionsOf(s *Service) []string {
	domains := map[string]bool{}
	for _, t := range s.Targets {
		domains[t.Domain] = true
	}
	var regions []string
	for _, r := range g.answers.Regions {
		if slices.ContainsFunc(r.Domains, func(d string) bool { return domains[d] }) {
			regions = append(regions, r.Name)
		}
	}
	return regions
}
