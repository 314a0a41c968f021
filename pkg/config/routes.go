package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/bronzelever/bronzelever/pkg/check"
	"github.com/bronzelever/bronzelever/pkg/jsonc"
)

func (v *validator) checkRoutes() {
	seenNames := map[string]bool{}
	seenPaths := map[string]string{}
	used := map[string]bool{}
	for i := range v.config.Routes {
		r := &v.config.Routes[i]
		path := jsonc.Element("routes", i)
		v.Name(jsonc.Join(path, "name"), r.Name)
		if seenNames[r.Name] {
			v.Fail(jsonc.Join(path, "name"), fmt.Sprintf("route %q is given twice", r.Name), "each route once")
		}
		seenNames[r.Name] = true
		used[r.Pool] = true
		v.checkMatch(path, r, seenPaths)
		v.checkRouteLimits(path, r)
		v.checkRoutePool(path, r)
	}
	v.checkUnusedPools(used)
}

// checkUnusedPools warns about pools that no route uses.
func (v *validator) checkUnusedPools(used map[string]bool) {
	for i := range v.config.Pools {
		if name := v.config.Pools[i].Name; !used[name] {
			v.Warn(jsonc.Join(jsonc.Element("pools", i), "name"), fmt.Sprintf("no route uses pool %q", name), "at least one route")
		}
	}
}

// checkMatch checks the path prefix and the methods, and that no other route matches the same requests.
func (v *validator) checkMatch(path string, r *Route, seen map[string]string) {
	prefixPath := jsonc.Join(path, "path_prefix")
	if !strings.HasPrefix(r.PathPrefix, "/") || strings.ContainsAny(r.PathPrefix, " ?#") {
		v.Fail(prefixPath, fmt.Sprintf("%q is not a path prefix", r.PathPrefix), "a path that starts with /, without query")
	}
	methodsPath := jsonc.Join(path, "methods")
	if len(r.Methods) == 0 {
		v.Fail(methodsPath, "no method", strings.Join(methods, ", "))
	}
	for i, method := range r.Methods {
		at := jsonc.Element(methodsPath, i)
		if !slices.Contains(methods, method) {
			v.Fail(at, fmt.Sprintf("unknown method %q", method), strings.Join(methods, ", "))
			continue
		}
		key := method + " " + r.PathPrefix
		if other, ok := seen[key]; ok {
			v.Fail(at, fmt.Sprintf("%s is also matched by route %q", key, other), "one route per method and path prefix")
			continue
		}
		seen[key] = r.Name
	}
}

func (v *validator) checkRouteLimits(path string, r *Route) {
	v.Name(jsonc.Join(path, "class"), r.Class)
	v.Within(jsonc.Join(path, "weight"), int64(r.Weight), 1, maxWeight)
	v.Within(jsonc.Join(path, "deadline_ms"), int64(r.Deadline), 1, int64(maxDeadline))
	v.Within(jsonc.Join(path, "max_body_bytes"), r.MaxBodyBytes, 0, maxBodyBytes)
}

func (v *validator) checkRoutePool(path string, r *Route) {
	known := v.checkRegionList(jsonc.Join(path, "home_regions"), r.HomeRegions)
	p, ok := v.pools[r.Pool]
	if !ok {
		v.Fail(jsonc.Join(path, "pool"), fmt.Sprintf("unknown pool %q", r.Pool), joinKeys(v.pools))
		v.checkKeySource(jsonc.Join(path, "key"), r.Key)
		return
	}
	v.checkKey(path, r, p)
	if known {
		v.checkHomeRegions(path, r)
	}
	v.checkNonIdempotent(path, r, p)
}

// checkHomeRegions reports home regions in which the route's pool has no target.
func (v *validator) checkHomeRegions(path string, r *Route) {
	if len(r.HomeRegions) == 0 || len(v.poolRegions[r.Pool]) == 0 {
		return
	}
	var without []string
	for _, region := range r.HomeRegions {
		if !v.poolRegions[r.Pool][region] {
			without = append(without, region)
		}
	}
	homePath := jsonc.Join(path, "home_regions")
	allowed := joinKeys(v.poolRegions[r.Pool])
	switch {
	case len(without) == len(r.HomeRegions):
		message := fmt.Sprintf("pool %q has no target in any home region; no request could be served", r.Pool)
		v.Fail(homePath, message, allowed)
	case len(without) > 0:
		message := fmt.Sprintf("pool %q has no target in %s", r.Pool, strings.Join(without, ", "))
		v.Warn(homePath, message, allowed)
	}
}

// checkKey checks that a route of a keyed pool has a key and that other routes have none.
func (v *validator) checkKey(path string, r *Route, p *Pool) {
	keyPath := jsonc.Join(path, "key")
	switch {
	case p.Keyed && r.Key.Place == "":
		v.Fail(keyPath, fmt.Sprintf("pool %q is keyed and the route specifies no place of the key", p.Name), "place: header, path or query")
	case !p.Keyed && r.Key != (KeySource{}):
		v.Fail(keyPath, fmt.Sprintf("pool %q is not keyed", p.Name), "no key, or a keyed pool")
	default:
		v.checkKeySource(keyPath, r.Key)
	}
}

func (v *validator) checkKeySource(path string, key KeySource) {
	namePath := jsonc.Join(path, "name")
	switch key.Place {
	case "":
	case KeyInHeader, KeyInQuery:
		v.Required(namePath, key.Name, "the name of the "+string(key.Place))
		if key.Place == KeyInHeader && key.Name != "" && !validHeaderName(key.Name) {
			v.Fail(namePath, fmt.Sprintf("%q is not a header name", key.Name), "letters, digits and hyphens")
		}
		if key.Segment != 0 {
			v.Fail(jsonc.Join(path, "segment"), "a segment is given for a key that is not in the path", "no segment")
		}
	case KeyInPath:
		v.Within(jsonc.Join(path, "segment"), int64(key.Segment), 0, maxPathSegment)
		if key.Name != "" {
			v.Fail(namePath, "a name is given for a key in the path", "no name")
		}
	default:
		v.Fail(jsonc.Join(path, "place"), fmt.Sprintf("unknown place %q", key.Place), "header, path, query")
	}
}

func validHeaderName(name string) bool {
	return check.ValidName(strings.ToLower(name))
}

// checkNonIdempotent checks the pool settings that a non-idempotent route requires.
func (v *validator) checkNonIdempotent(path string, r *Route, p *Pool) {
	if r.Idempotent {
		return
	}
	at := jsonc.Join(path, "idempotent")
	if p.Keyed && !p.Deduplicates {
		// The claim of a request stays with the group that ran it. After a slice has moved to another group, a repeated
		// request would find no claim there and run again.
		message := fmt.Sprintf("the route is not idempotent, and the targets of keyed pool %q do not deduplicate", p.Name)
		v.Fail(at, message, "an idempotent route, a pool without keys, or targets that deduplicate")
	}
	if p.RepeatWindow <= 0 {
		message := fmt.Sprintf("the route is not idempotent and pool %q has no repeat_window_ms", p.Name)
		v.Fail(at, message, "a repeat window, or an idempotent route")
		return
	}
	if p.RepeatWindow < r.Deadline {
		message := fmt.Sprintf("the repeat window of pool %q (%d ms) ends before the route's deadline (%d ms)", p.Name, p.RepeatWindow, r.Deadline)
		v.Fail(at, message, "a repeat window of at least the deadline")
	}
}

// checkKeyedRoutes rejects routes of one keyed pool with different home regions: the same key would have an owner in each
// of two cells.
func (v *validator) checkKeyedRoutes() {
	first := map[string]*Route{}
	for i := range v.config.Routes {
		r := &v.config.Routes[i]
		p, ok := v.pools[r.Pool]
		if !ok || !p.Keyed {
			continue
		}
		other, seen := first[r.Pool]
		if !seen {
			first[r.Pool] = r
			continue
		}
		if canonicalRegions(other.HomeRegions) != canonicalRegions(r.HomeRegions) {
			message := fmt.Sprintf("route %q of the same keyed pool %q has the home regions [%s]; the same key would have two owners",
				other.Name, r.Pool, strings.Join(other.HomeRegions, ", "))
			v.Fail(jsonc.Join(jsonc.Element("routes", i), "home_regions"), message, "the same home regions for all routes of a keyed pool")
		}
	}
}

// checkNestedRoutes rejects a route with home regions if a route with a shorter prefix accepts, outside these regions, a
// method that no route with the same prefix lists: the router chooses the longest prefix that allows the method, so such
// requests would leave the home regions.
func (v *validator) checkNestedRoutes() {
	byPrefix := map[string][]*Route{}
	for i := range v.config.Routes {
		r := &v.config.Routes[i]
		prefix := strings.TrimSuffix(r.PathPrefix, "/")
		byPrefix[prefix] = append(byPrefix[prefix], r)
	}
	for i := range v.config.Routes {
		if r := &v.config.Routes[i]; len(r.HomeRegions) > 0 {
			v.checkFallThrough(jsonc.Join(jsonc.Element("routes", i), "methods"), r, byPrefix)
		}
	}
}

func (v *validator) checkFallThrough(path string, restricted *Route, byPrefix map[string][]*Route) {
	prefix := strings.TrimSuffix(restricted.PathPrefix, "/")
	listed := map[string]bool{}
	for _, r := range byPrefix[prefix] {
		for _, method := range r.Methods {
			listed[method] = true
		}
	}
	for end := strings.LastIndexByte(prefix, '/'); end >= 0; end = strings.LastIndexByte(prefix[:end], '/') {
		for _, shorter := range byPrefix[prefix[:end]] {
			v.checkShorterPrefix(path, restricted, shorter, listed)
		}
	}
}

func (v *validator) checkShorterPrefix(path string, restricted, shorter *Route, listed map[string]bool) {
	if len(shorter.HomeRegions) > 0 && isSubset(shorter.HomeRegions, restricted.HomeRegions) {
		return
	}
	for _, method := range shorter.Methods {
		if !listed[method] {
			message := fmt.Sprintf("%s below %s is matched by route %q, which doesn't have these home regions", method, restricted.PathPrefix, shorter.Name)
			v.Fail(path, message, "list the method here or in another route of this prefix")
		}
	}
}

func isSubset(part, whole []string) bool {
	return !slices.ContainsFunc(part, func(s string) bool { return !slices.Contains(whole, s) })
}
