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
	defaultMaxBodyBytes    = int64(1) << 20
	// defaultKeyedDeadline allows a takeover to complete within 2 s of a loss: 1.2 s for the lease plus this deadline.
	defaultKeyedDeadline = config.Milliseconds(800)
	defaultDeadline      = config.Milliseconds(5_000)
	defaultRepeatWindow  = config.Milliseconds(60_000)
	// defaultLinkBytesPerSecond is used if the question about the link is unanswered. It is small, since the link may be
	// billed by volume.
	defaultLinkBytesPerSecond = int64(100_000)
	// queueServiceTimes determines the default queue limit: the number of requests that a full group executes in this many
	// service times.
	queueServiceTimes = 4
	// linkPercent leaves a tenth of the link's capacity for headers and control traffic.
	linkPercent = 90
	bitsPerByte = 8
)

// Unanswered is a question that was not answered.
type Unanswered struct {
	// Question is the path of the missing answer.
	Question string `json:"question"`
	// Assumed is the value that is used instead, with the reason.
	Assumed string `json:"assumed"`
}

// Result is a generated configuration.
type Result struct {
	Config *config.Config
	// Text is the configuration as JSON with comments. A comment on each setting names its cause.
	Text       []byte
	Unanswered []Unanswered
}

// Generate decodes answers and generates the configuration. The output is deterministic: equal answers produce equal
// bytes. The result is nil if the findings contain an error. The positions of the findings refer to the answers.
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
		g.recordAnswer(jsonc.Join(at, "name"), jsonc.Join(at, "name"))
		g.recordAnswer(jsonc.Join(at, "failure_domains"), jsonc.Join(at, "failure_domains"))
		if r.CallerURL != "" {
			g.recordAnswer(jsonc.Join(at, "caller_url"), jsonc.Join(at, "caller_url"))
		}
	}
	for i := range g.answers.Services {
		g.generateService(i)
	}
	for i := range g.answers.Tenants {
		g.generateTenant(i)
	}
	g.generateLink()
	g.recordReason("version", "set by blctl apply")
	g.recordReason("out.failure_domains", "kept by blctl apply; changed by blctl out and in")
	g.recordReason("out.vms", "kept by blctl apply; changed by blctl out and in")
	g.recordReason("out.targets", "kept by blctl apply; changed by blctl out and in")
}

func (g *generator) generateLink() {
	const at = "link_bytes_per_second"
	link := g.answers.Link
	switch {
	case link != nil:
		g.checkLink(link)
		share := link.BitsPerSecond / bitsPerByte * linkPercent / 100 / max(link.RoutersPerRegion, 1)
		g.config.LinkBytesPerSecond = share
		g.recordAnswerWithNote(at, "link", fmt.Sprintf("%d%% of the capacity, divided by the routers of a region", linkPercent))
	case len(g.answers.Regions) > 1:
		g.config.LinkBytesPerSecond = defaultLinkBytesPerSecond
		g.recordAssumption(at, "link", fmt.Sprintf("%d bytes/s per router", defaultLinkBytesPerSecond), "the link may be slow or billed by volume")
	default:
		g.recordReason(at, "a single region has no link")
	}
}

func (g *generator) generateTenant(i int) {
	t := &g.answers.Tenants[i]
	at := jsonc.Element("tenants", i)
	homePath := jsonc.Join(at, "home_regions")
	tenant := config.Tenant{Name: t.Name}
	g.recordAnswer(jsonc.Join(at, "name"), jsonc.Join(at, "name"))
	g.recordAnswer(homePath, homePath)
	if t.HomeRegions == nil {
		g.Fail(homePath, "unanswered, and no safe assumption exists", "a list of regions; [] for any region")
	} else {
		tenant.HomeRegions = *t.HomeRegions
	}
	g.config.Tenants = append(g.config.Tenants, tenant)
}

// generateService generates the pool and the routes of a service.
func (g *generator) generateService(i int) {
	s := &g.answers.Services[i]
	from := jsonc.Element("services", i)
	to := jsonc.Element("pools", len(g.config.Pools))
	g.checkService(from, s)
	p := config.Pool{Name: s.Name, Targets: s.Targets}
	g.recordAnswer(jsonc.Join(to, "name"), jsonc.Join(from, "name"))
	g.recordAnswer(jsonc.Join(to, "targets"), jsonc.Join(from, "targets"))
	for j := range s.Targets {
		g.recordAnswer(jsonc.Element(jsonc.Join(to, "targets"), j), jsonc.Element(jsonc.Join(from, "targets"), j))
	}
	b := sectionBuilder{generator: g, service: s, from: from, to: to}
	b.setKeying(&p)
	b.setLimits(&p)
	b.setTrust(&p)
	b.setTimes(&p)
	g.config.Pools = append(g.config.Pools, p)
	for j := range s.Requests {
		g.generateRoute(from, s, &p, j)
	}
}

// sectionBuilder generates the settings of one pool or route.
type sectionBuilder struct {
	*generator
	service  *Service
	from, to string
}

// paths returns the path of a setting and the path of the answer that determines it.
func (b *sectionBuilder) paths(setting, answer string) (string, string) {
	return jsonc.Join(b.to, setting), jsonc.Join(b.from, answer)
}

func (b *sectionBuilder) setKeying(p *config.Pool) {
	to, from := b.paths("keyed", "divided_by_key")
	switch {
	case b.service.DividedByKey != nil:
		p.Keyed = *b.service.DividedByKey
		b.generator.recordAnswer(to, from)
	case b.service.Key != nil:
		p.Keyed = true
		b.recordAssumption(to, from, "true", "a place of the key is answered")
	default:
		b.recordAssumption(to, from, "false", "no place of a key is answered")
	}
	sliceTo, sliceFrom := b.paths("slices_per_target", "slices_per_target")
	moveTo, moveFrom := b.paths("moves_per_minute", "moves_per_minute")
	if !p.Keyed {
		b.recordReason(sliceTo, "unused, since the pool is not keyed")
		b.recordReason(moveTo, "unused, since the pool is not keyed")
		return
	}
	p.SlicesPerTarget = answerOrDerived(b.generator, sliceTo, sliceFrom, b.service.SlicesPerTarget, defaultSlicesPerTarget, "default")
	p.MovesPerMinute = answerOrDerived(b.generator, moveTo, moveFrom, b.service.MovesPerMinute, defaultMovesPerMinute, "default")
}

func (b *sectionBuilder) setLimits(p *config.Pool) {
	to, from := b.paths("slots", "slots")
	p.Slots = answerOrSafe(b.generator, to, from, b.service.Slots, defaultSlots, "no target is given more than one request at once")
	to, from = b.paths("connections", "connections")
	p.Connections = answerOrSafe(b.generator, to, from, b.service.Connections, p.Slots+1, "one connection per slot and one for grants and health")
	to, from = b.paths("cold_concurrency", "cold_concurrency")
	p.ColdConcurrency = answerOrSafe(b.generator, to, from, b.service.ColdConcurrency, defaultColdConcurrency, "a cold target bears one request at once")
	to, from = b.paths("queue_limit", "queue_limit")
	limit := queueServiceTimes * p.Slots * topology.MaxGroupTargets
	p.QueueLimit = answerOrDerived(b.generator, to, from, b.service.QueueLimit, limit,
		fmt.Sprintf("%d service times of a full group, from %s", queueServiceTimes, b.displayPath(jsonc.Join(b.from, "slots"))))
}

func (b *sectionBuilder) setTrust(p *config.Pool) {
	to, from := b.paths("grants_checked", "targets_check_grants")
	p.GrantsChecked = answerOrSafe(b.generator, to, from, b.service.TargetsCheckGrants, false, "exclusion then relies on time and draining")
	to, from = b.paths("not_run_trusted", "not_run_reports_hold")
	p.NotRunTrusted = answerOrSafe(b.generator, to, from, b.service.NotRunReportsHold, false, "only unsent requests then count as not run")
	to, from = b.paths("deduplicates", "targets_deduplicate")
	p.Deduplicates = answerOrSafe(b.generator, to, from, b.service.TargetsDeduplicate, false, "the gateways then deduplicate alone")
}

func (b *sectionBuilder) setTimes(p *config.Pool) {
	longest := config.Milliseconds(0)
	for i := range b.service.Requests {
		longest = max(longest, b.deadline(p, i))
	}
	to, from := b.paths("max_deadline_ms", "longest_execution_ms")
	p.MaxDeadline = answerOrSafe(b.generator, to, from, b.service.LongestExecution, max(longest, 1), "the longest deadline of the service's requests")
	b.checkTakeover(b.from, b.service, p)
	b.setRepeatWindow(p, longest)
}

// setRepeatWindow sets the repeat window. It is at least the longest deadline, so that it never ends while a request is
// still running.
func (b *sectionBuilder) setRepeatWindow(p *config.Pool, longest config.Milliseconds) {
	to, from := b.paths("repeat_window_ms", "callers_repeat_for_ms")
	p.RepeatWindow = answerOrSafe(b.generator, to, from, b.service.CallersRepeatFor, max(defaultRepeatWindow, longest), "callers repeat for up to a minute")
	if p.RepeatWindow < longest {
		p.RepeatWindow = longest
		b.recordAnswerWithNote(to, from, "raised to the longest deadline of the service's requests")
	}
}

func (b *sectionBuilder) deadline(p *config.Pool, i int) config.Milliseconds {
	if answer := b.service.Requests[i].Deadline; answer != nil {
		return *answer
	}
	if p.Keyed {
		return defaultKeyedDeadline
	}
	return defaultDeadline
}

func (g *generator) generateRoute(serviceFrom string, s *Service, p *config.Pool, i int) {
	q := &s.Requests[i]
	from := jsonc.Element(jsonc.Join(serviceFrom, "requests"), i)
	to := jsonc.Element("routes", len(g.config.Routes))
	b := sectionBuilder{generator: g, service: s, from: from, to: to}
	r := config.Route{Name: s.Name + "-" + q.Name, PathPrefix: q.PathPrefix, Methods: q.Methods, Pool: s.Name, Class: q.Class}
	for _, field := range []string{"name", "path_prefix", "methods"} {
		g.recordAnswer(jsonc.Join(to, field), jsonc.Join(from, field))
	}
	g.recordAnswer(jsonc.Join(to, "pool"), jsonc.Join(serviceFrom, "name"))
	g.recordAnswer(jsonc.Join(to, "class"), jsonc.Join(from, "class"))
	if r.Class == "" {
		r.Class = q.Name
		g.recordAnswerWithNote(jsonc.Join(to, "class"), jsonc.Join(from, "name"), "no class is answered")
	}
	r.Weight = answerOrSafe(g, jsonc.Join(to, "weight"), jsonc.Join(from, "class_weight"), q.ClassWeight, defaultWeight, "all classes count the same")
	r.Idempotent = g.idempotent(serviceFrom, jsonc.Join(to, "idempotent"), s, q.Name)
	r.HomeRegions = b.homeRegions(q)
	r.Key = b.key(serviceFrom, p)
	fallback, reason := defaultDeadline, "default"
	if p.Keyed {
		fallback, reason = defaultKeyedDeadline, "keys are then served again within 2 s of a loss"
	}
	r.Deadline = answerOrSafe(g, jsonc.Join(to, "deadline_ms"), jsonc.Join(from, "deadline_ms"), q.Deadline, fallback, reason)
	r.MaxBodyBytes = answerOrSafe(g, jsonc.Join(to, "max_body_bytes"), jsonc.Join(from, "max_body_bytes"), q.MaxBodyBytes, defaultMaxBodyBytes, "default")
	g.config.Routes = append(g.config.Routes, r)
}

// homeRegions returns the answer. If the question is unanswered, it returns the only region of the service, or reports an
// error if there are several.
func (b *sectionBuilder) homeRegions(q *Request) []string {
	to, from := b.paths("home_regions", "home_regions")
	if q.HomeRegions != nil {
		b.generator.recordAnswer(to, from)
		return *q.HomeRegions
	}
	regions := b.regionsOf(b.service)
	if len(regions) != 1 {
		b.Fail(from, "unanswered, and no safe assumption exists for a service in several regions", "a list of regions; [] for any region")
		return nil
	}
	b.recordAssumption(to, from, regions[0], "the service has targets nowhere else")
	return regions
}

func (b *sectionBuilder) key(serviceFrom string, p *config.Pool) config.KeySource {
	to := jsonc.Join(b.to, "key")
	if !p.Keyed || b.service.Key == nil {
		b.recordAnswerWithNote(to, jsonc.Join(serviceFrom, "divided_by_key"), "the pool is not keyed")
		return config.KeySource{}
	}
	b.generator.recordAnswer(to, jsonc.Join(serviceFrom, "key"))
	return *b.service.Key
}
