package questionnaire

import (
	"fmt"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/jsonc"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// Values for unanswered questions and for settings that no question asks for.
const (
	defaultSlots           = 1
	defaultColdConcurrency = 1
	defaultWeight          = 1
	defaultSlicesPerTarget = 16
	defaultMovesPerMinute  = 60
	defaultMaxBody         = int64(1) << 20
	// defaultKeyedDeadline lets a takeover end 2 s after a loss: 1.2 s for the lease and this deadline.
	defaultKeyedDeadline = config.Milliseconds(800)
	defaultDeadline      = config.Milliseconds(5_000)
	defaultRepeatWindow  = config.Milliseconds(60_000)
	// defaultLinkBytes is used for an unanswered link; it is small, since the link may be billed by volume.
	defaultLinkBytes = int64(100_000)
	// queueServiceTimes sizes the queue of a full group: as many requests as it executes in this many service times.
	queueServiceTimes = 4
	// linkPercent leaves a tenth of the link to headers and control traffic.
	linkPercent = 90
	bitsPerByte = 8
)

// Unanswered is a question without an answer.
type Unanswered struct {
	// Question is the path of the answer that is missing.
	Question string `json:"question"`
	// Assumed is the value that was taken instead, and why.
	Assumed string `json:"assumed"`
}

// Result is a generated configuration.
type Result struct {
	Config *config.Config
	// Text is the configuration in JSON with comments; each setting names its cause.
	Text       []byte
	Unanswered []Unanswered
}

// Generate reads answers and generates the configuration. Equal answers give equal bytes. The result is nil if the findings
// contain an error. Findings are located in the answers.
func Generate(data []byte, file string) (*Result, finding.List) {
	answers, index, decoded := jsonc.Decode[Answers](data, file)
	g := &generator{answers: &answers, index: index, causes: map[string]cause{}}
	g.generate()
	g.mapFindings(g.config.Validate())
	findings := index.Merge(decoded, g.Findings)
	if findings.Err() != nil {
		return nil, findings
	}
	text := g.write()
	return &Result{Config: &g.config, Text: text, Unanswered: g.unanswered}, findings
}

func (g *generator) generate() {
	g.config.Regions = g.answers.Regions
	for i, r := range g.answers.Regions {
		at := jsonc.Element("regions", i)
		g.from(jsonc.Join(at, "name"), jsonc.Join(at, "name"))
		g.from(jsonc.Join(at, "failure_domains"), jsonc.Join(at, "failure_domains"))
		if r.CallerURL != "" {
			g.from(jsonc.Join(at, "caller_url"), jsonc.Join(at, "caller_url"))
		}
	}
	for i := range g.answers.Services {
		g.service(i)
	}
	for i := range g.answers.Tenants {
		g.tenant(i)
	}
	g.link()
	g.because("version", "set by blctl apply")
	g.because("out.failure_domains", "kept by blctl apply; changed by blctl out and in")
	g.because("out.vms", "kept by blctl apply; changed by blctl out and in")
	g.because("out.targets", "kept by blctl apply; changed by blctl out and in")
}

func (g *generator) link() {
	const at = "link_bytes_per_second"
	link := g.answers.Link
	switch {
	case link != nil:
		g.checkLink(link)
		share := link.BitsPerSecond / bitsPerByte * linkPercent / 100 / max(link.RoutersPerRegion, 1)
		g.config.LinkBytesPerSecond = share
		g.fromNote(at, "link", fmt.Sprintf("%d%% of the capacity, divided by the routers of a region", linkPercent))
	case len(g.answers.Regions) > 1:
		g.config.LinkBytesPerSecond = defaultLinkBytes
		g.assume(at, "link", fmt.Sprintf("%d bytes/s per router", defaultLinkBytes), "the link may be slow or billed by volume")
	default:
		g.because(at, "a single region has no link")
	}
}

func (g *generator) tenant(i int) {
	t := &g.answers.Tenants[i]
	at := jsonc.Element("tenants", i)
	homePath := jsonc.Join(at, "home_regions")
	tenant := config.Tenant{Name: t.Name}
	g.from(jsonc.Join(at, "name"), jsonc.Join(at, "name"))
	g.from(homePath, homePath)
	if t.HomeRegions == nil {
		g.Fail(homePath, "unanswered, and no safe assumption exists", "a list of regions; [] for any region")
	} else {
		tenant.HomeRegions = *t.HomeRegions
	}
	g.config.Tenants = append(g.config.Tenants, tenant)
}

// service generates the pool and the routes of a service.
func (g *generator) service(i int) {
	s := &g.answers.Services[i]
	from := jsonc.Element("services", i)
	to := jsonc.Element("pools", len(g.config.Pools))
	g.checkService(from, s)
	p := config.Pool{Name: s.Name, Targets: s.Targets}
	g.from(jsonc.Join(to, "name"), jsonc.Join(from, "name"))
	g.from(jsonc.Join(to, "targets"), jsonc.Join(from, "targets"))
	for j := range s.Targets {
		g.from(jsonc.Element(jsonc.Join(to, "targets"), j), jsonc.Element(jsonc.Join(from, "targets"), j))
	}
	b := poolBuilder{generator: g, service: s, from: from, to: to}
	b.keyed(&p)
	b.limits(&p)
	b.trust(&p)
	b.times(&p)
	g.config.Pools = append(g.config.Pools, p)
	for j := range s.Requests {
		g.route(from, s, &p, j)
	}
}

// poolBuilder generates the settings of one pool.
type poolBuilder struct {
	*generator
	service  *Service
	from, to string
}

// paths returns the path of a setting and of the answer that it comes from.
func (b *poolBuilder) paths(setting, answer string) (string, string) {
	return jsonc.Join(b.to, setting), jsonc.Join(b.from, answer)
}

func (b *poolBuilder) keyed(p *config.Pool) {
	to, from := b.paths("keyed", "divided_by_key")
	switch {
	case b.service.DividedByKey != nil:
		p.Keyed = *b.service.DividedByKey
		b.generator.from(to, from)
	case b.service.Key != nil:
		p.Keyed = true
		b.assume(to, from, "true", "a place of the key is answered")
	default:
		b.assume(to, from, "false", "no place of a key is answered")
	}
	sliceTo, sliceFrom := b.paths("slices_per_target", "slices_per_target")
	moveTo, moveFrom := b.paths("moves_per_minute", "moves_per_minute")
	if !p.Keyed {
		b.because(sliceTo, "unused, since the pool is not keyed")
		b.because(moveTo, "unused, since the pool is not keyed")
		return
	}
	p.SlicesPerTarget = derive(b.generator, sliceTo, sliceFrom, b.service.SlicesPerTarget, defaultSlicesPerTarget, "default")
	p.MovesPerMinute = derive(b.generator, moveTo, moveFrom, b.service.MovesPerMinute, defaultMovesPerMinute, "default")
}

func (b *poolBuilder) limits(p *config.Pool) {
	to, from := b.paths("slots", "slots")
	p.Slots = choose(b.generator, to, from, b.service.Slots, defaultSlots, "no target is given more than one request at once")
	to, from = b.paths("connections", "connections")
	p.Connections = choose(b.generator, to, from, b.service.Connections, p.Slots+1, "one connection per slot and one for grants and health")
	to, from = b.paths("cold_concurrency", "cold_concurrency")
	p.ColdConcurrency = choose(b.generator, to, from, b.service.ColdConcurrency, defaultColdConcurrency, "a cold target bears one request at once")
	to, from = b.paths("queue_limit", "queue_limit")
	limit := queueServiceTimes * p.Slots * topology.MaxGroupTargets
	p.QueueLimit = derive(b.generator, to, from, b.service.QueueLimit, limit,
		fmt.Sprintf("%d service times of a full group, from %s", queueServiceTimes, b.shown(jsonc.Join(b.from, "slots"))))
}

func (b *poolBuilder) trust(p *config.Pool) {
	to, from := b.paths("grants_checked", "targets_check_grants")
	p.GrantsChecked = choose(b.generator, to, from, b.service.TargetsCheckGrants, false, "exclusion then relies on time and draining")
	to, from = b.paths("not_run_trusted", "not_run_reports_hold")
	p.NotRunTrusted = choose(b.generator, to, from, b.service.NotRunReportsHold, false, "only unsent requests then count as not run")
	to, from = b.paths("deduplicates", "targets_deduplicate")
	p.Deduplicates = choose(b.generator, to, from, b.service.TargetsDeduplicate, false, "the gateways then deduplicate alone")
}

func (b *poolBuilder) times(p *config.Pool) {
	longest := config.Milliseconds(0)
	for i := range b.service.Requests {
		longest = max(longest, b.deadline(p, i))
	}
	to, from := b.paths("max_deadline_ms", "longest_execution_ms")
	p.MaxDeadline = choose(b.generator, to, from, b.service.LongestExecution, max(longest, 1), "the longest deadline of the service's requests")
	b.checkTakeover(b.from, b.service, p)
	b.repeatWindow(p, longest)
}

// repeatWindow never ends before a request that is still running.
func (b *poolBuilder) repeatWindow(p *config.Pool, longest config.Milliseconds) {
	to, from := b.paths("repeat_window_ms", "callers_repeat_for_ms")
	p.RepeatWindow = choose(b.generator, to, from, b.service.CallersRepeatFor, max(defaultRepeatWindow, longest), "callers repeat for up to a minute")
	if p.RepeatWindow < longest {
		p.RepeatWindow = longest
		b.fromNote(to, from, "raised to the longest deadline of the service's requests")
	}
}

func (b *poolBuilder) deadline(p *config.Pool, i int) config.Milliseconds {
	if answer := b.service.Requests[i].Deadline; answer != nil {
		return *answer
	}
	if p.Keyed {
		return defaultKeyedDeadline
	}
	return defaultDeadline
}

func (g *generator) route(serviceFrom string, s *Service, p *config.Pool, i int) {
	q := &s.Requests[i]
	from := jsonc.Element(jsonc.Join(serviceFrom, "requests"), i)
	to := jsonc.Element("routes", len(g.config.Routes))
	b := poolBuilder{generator: g, service: s, from: from, to: to}
	r := config.Route{Name: s.Name + "-" + q.Name, PathPrefix: q.PathPrefix, Methods: q.Methods, Pool: s.Name, Class: q.Class}
	for _, field := range []string{"name", "path_prefix", "methods"} {
		g.from(jsonc.Join(to, field), jsonc.Join(from, field))
	}
	g.from(jsonc.Join(to, "pool"), jsonc.Join(serviceFrom, "name"))
	g.from(jsonc.Join(to, "class"), jsonc.Join(from, "class"))
	if r.Class == "" {
		r.Class = q.Name
		g.fromNote(jsonc.Join(to, "class"), jsonc.Join(from, "name"), "no class is answered")
	}
	r.Weight = choose(g, jsonc.Join(to, "weight"), jsonc.Join(from, "class_weight"), q.ClassWeight, defaultWeight, "all classes count the same")
	r.Idempotent = g.idempotent(serviceFrom, jsonc.Join(to, "idempotent"), s, q.Name)
	r.HomeRegions = b.homeRegions(q)
	r.Key = b.key(serviceFrom, p)
	fallback, reason := defaultDeadline, "default"
	if p.Keyed {
		fallback, reason = defaultKeyedDeadline, "keys are then served again within 2 s of a loss"
	}
	r.Deadline = choose(g, jsonc.Join(to, "deadline_ms"), jsonc.Join(from, "deadline_ms"), q.Deadline, fallback, reason)
	r.MaxBodyBytes = choose(g, jsonc.Join(to, "max_body_bytes"), jsonc.Join(from, "max_body_bytes"), q.MaxBodyBytes, defaultMaxBody, "default")
	g.config.Routes = append(g.config.Routes, r)
}

// homeRegions takes the only region of the service if the question is unanswered.
func (b *poolBuilder) homeRegions(q *Request) []string {
	to, from := b.paths("home_regions", "home_regions")
	if q.HomeRegions != nil {
		b.generator.from(to, from)
		return *q.HomeRegions
	}
	regions := b.regionsOf(b.service)
	if len(regions) != 1 {
		b.Fail(from, "unanswered, and no safe assumption exists for a service in several regions", "a list of regions; [] for any region")
		return nil
	}
	b.assume(to, from, regions[0], "the service has targets nowhere else")
	return regions
}

func (b *poolBuilder) key(serviceFrom string, p *config.Pool) config.KeySource {
	to := jsonc.Join(b.to, "key")
	if !p.Keyed || b.service.Key == nil {
		b.fromNote(to, jsonc.Join(serviceFrom, "divided_by_key"), "the pool is not keyed")
		return config.KeySource{}
	}
	b.generator.from(to, jsonc.Join(serviceFrom, "key"))
	return *b.service.Key
}
