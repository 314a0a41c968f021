package questionnaire

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/config"
)

const examples = "../../examples"

// Guards against examples whose committed configuration doesn't match their answers, and against unexpected findings.
func TestExamplesAreUpToDate(t *testing.T) {
	sizes := map[string][]int{"nastri-caruso": {20, 8, 8}, "vento-sul": {20, 10, 8}}
	for user, want := range sizes {
		t.Run(user, func(t *testing.T) {
			result := generateExample(t, user)
			committed, err := os.ReadFile(filepath.Join(examples, user, "config.json"))
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(committed, result.Text) {
				t.Errorf("config.json differs; run: go run ./cmd/blgen examples/%s/questionnaire.json -o examples/%s/config.json", user, user)
			}
			for i, n := range want {
				checkSpread(t, result.Config, &result.Config.Pools[i], n)
			}
		})
	}
}

func generateExample(t *testing.T, user string) *Result {
	t.Helper()
	path := filepath.Join(examples, user, "questionnaire.json")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	result, findings := Generate(data, path)
	if result == nil {
		t.Fatal(findings)
	}
	return result
}

// checkSpread checks the number of targets in a pool, and that the numbers per failure domain differ by at most one.
func checkSpread(t *testing.T, c *config.Config, p *config.Pool, want int) {
	t.Helper()
	if len(p.Targets) != want {
		t.Errorf("pool %s has %d targets, want %d", p.Name, len(p.Targets), want)
	}
	perDomain := map[string]int{}
	for _, target := range p.Targets {
		perDomain[target.Domain]++
	}
	for _, r := range c.Regions {
		for _, d := range r.Domains {
			if n := perDomain[d]; n < want/4 || n > (want+3)/4 {
				t.Errorf("pool %s has %d of %d targets in %s", p.Name, n, want, d)
			}
		}
	}
}

// Guards against a generated text that config.Parse decodes to something other than the generated configuration, and
// against settings without a comment that names their cause.
func TestTextMatchesConfigAndNamesCauses(t *testing.T) {
	for _, user := range []string{"nastri-caruso", "vento-sul"} {
		result := generateExample(t, user)
		parsed, findings := config.Parse(result.Text, "config.json")
		if findings.Err() != nil {
			t.Fatal(findings)
		}
		if changes := config.Diff(result.Config, parsed); len(changes) != 0 {
			t.Errorf("%s: text differs from the configuration: %v", user, changes)
		}
		for _, line := range strings.Split(string(result.Text), "\n") {
			opens := strings.HasSuffix(line, "{") || strings.HasSuffix(line, "[")
			if strings.Contains(line, `": `) && !opens && !strings.Contains(line, " // ") {
				t.Errorf("%s: no cause: %s", user, line)
			}
		}
	}
}

const minimalAnswers = `{
	"user": "test",
	"regions": [
		{"name": "north", "failure_domains": ["north-a"]},
		{"name": "south", "failure_domains": ["south-a"]},
	],
	"services": [
		{
			"name": "orders",
			"targets": [{"id": "o1", "address": "127.0.9.1:80", "failure_domain": "north-a"}],
			"requests": [{"name": "place", "path_prefix": "/orders", "methods": ["POST"]}],
			/* more */
		},
	],
}`

// Guards against unanswered questions that get an unsafe default or are not listed.
func TestUnansweredQuestionsGetSafeDefaults(t *testing.T) {
	result, findings := Generate([]byte(minimalAnswers), "q.json")
	if result == nil {
		t.Fatal(findings)
	}
	p, r := result.Config.Pools[0], result.Config.Routes[0]
	if r.Idempotent || p.GrantsChecked || p.NotRunTrusted || p.Deduplicates {
		t.Errorf("unsafe defaults for unanswered questions: %+v %+v", p, r)
	}
	if p.Slots != 1 || p.ColdConcurrency != 1 {
		t.Errorf("limits: %+v", p)
	}
	if len(r.HomeRegions) != 1 || r.HomeRegions[0] != "north" {
		t.Errorf("home regions: %v", r.HomeRegions)
	}
	listed := fmt.Sprint(result.Unanswered)
	for _, question := range []string{
		"link", "divided_by_key", "slots", "connections", "cold_concurrency", "targets_check_grants", "not_run_reports_hold",
		"targets_deduplicate", "never_twice", "longest_execution_ms", "callers_repeat_for_ms", "requests[place].class_weight",
		"requests[place].home_regions", "requests[place].deadline_ms", "requests[place].max_body_bytes",
	} {
		if !strings.Contains(listed, question+" ") && !strings.Contains(listed, "{"+question+" ") {
			t.Errorf("%s is not listed in %s", question, listed)
		}
	}
}

// Guards against a configuration being generated from contradictory answers, and against findings at a wrong position.
func TestContradictions(t *testing.T) {
	cases := map[string]struct{ answers, want string }{
		"both lists":       {`"may_be_repeated": ["place"], "never_twice": ["place"],`, `q.json:12:24: error: services[0].may_be_repeated[0]: request "place" is also in never_twice`},
		"unknown request":  {`"never_twice": ["plaice"],`, `q.json:12:20: error: services[0].never_twice[0]: the service has no request "plaice" (allowed: place)`},
		"key without need": {`"divided_by_key": false, "key": {"place": "path"},`, `q.json:12:36: error: services[0].key: the service is not divided by key`},
		"key missing":      {`"divided_by_key": true,`, `q.json:12:22: error: services[0].divided_by_key: the service is divided by key, but no place`},
		"cold above slots": {`"slots": 2, "cold_concurrency": 3,`, `q.json:12:36: error: services[0].cold_concurrency: a cold target accepts 3`},
		"few connections":  {`"slots": 9, "connections": 3,`, `q.json:12:31: error: services[0].connections: 3 connections can't carry 9`},
		"late takeover":    {`"key": {"place": "path"}, "longest_execution_ms": 3000, "served_again_within_ms": 4000,`, `q.json:12:86: error: services[0].served_again_within_ms: keys wait for the lease (1200 ms) and the longest execution (3000 ms), 4200 ms together`},
		"configuration":    {`"slots": 0,`, `q.json:12:13: error: services[0].slots: 0 is out of range`},
		"unknown domain":   {`"slots": 1}, {"name": "x", "targets": [{"id": "t", "address": "127.0.9.2:80", "failure_domain": "east"}],`, `q.json:12:100: error: services[1].targets[0].failure_domain: unknown failure domain "east"`},
		"unknown question": {`"slot": 2,`, `q.json:12:4: error: services[0].slot: unknown field "slot"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			data := strings.Replace(minimalAnswers, "/* more */", c.answers, 1)
			result, findings := Generate([]byte(data), "q.json")
			if result != nil {
				t.Error("a configuration was generated")
			}
			if !strings.Contains(findings.Error(), c.want) {
				t.Errorf("want %s\ngot:\n%v", c.want, findings)
			}
		})
	}
}

// Guards against output that depends on map iteration order or differs between runs.
func TestGenerateIsDeterministic(t *testing.T) {
	first := generateExample(t, "vento-sul")
	for range 20 {
		if again := generateExample(t, "vento-sul"); !bytes.Equal(first.Text, again.Text) {
			t.Fatal("two runs differ")
		}
	}
}

// manyServices returns answers with n services of 8 targets and 2 requests.
func manyServices(n int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"user": "many", "regions": [{"name": "r", "failure_domains": ["a", "b"]}], "services": [`)
	for i := range n {
		fmt.Fprintf(&b, `{"name": "s%d", "targets": [`, i)
		for j := range 8 {
			fmt.Fprintf(&b, `{"id": "s%d-%d", "address": "127.%d.%d.%d:80", "failure_domain": "%c"},`, i, j, i/250, i%250, j+1, 'a'+rune(j%2))
		}
		fmt.Fprintf(&b, `], "slots": 2, "requests": [{"name": "r", "path_prefix": "/s%d", "methods": ["GET"]}, {"name": "w", "path_prefix": "/s%d", "methods": ["POST"]}]},`, i, i)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// generateAndValidate returns the CPU time for generating a configuration and parsing it.
func generateAndValidate(t testing.TB, data []byte) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := threadTime(t)
	result, findings := Generate(data, "many.json")
	if result == nil {
		t.Fatal(findings)
	}
	if _, findings := config.Parse(result.Text, "config.json"); findings.Err() != nil {
		t.Fatal(findings)
	}
	return threadTime(t) - start
}

// threadTime returns the CPU time of the current thread, which excludes the time spent waiting for a CPU.
func threadTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_THREAD, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against run time that grows faster than linearly with the number of services: 1,000 services must be generated and
// validated within 1 s. With the race detector the limit is raceFactor times longer; make bench measures without it.
func TestThousandServicesWithinOneSecond(t *testing.T) {
	data := manyServices(1_000)
	best := time.Hour
	// The best of three runs is not affected by a short disturbance on the machine.
	for range 3 {
		best = min(best, generateAndValidate(t, data))
	}
	t.Logf("1,000 services, 8,000 targets: generated and validated in %v", best)
	if bound := raceFactor * time.Second; best > bound {
		t.Errorf("took %v, more than %v", best, bound)
	}
}

func BenchmarkThousandServices(b *testing.B) {
	data := manyServices(1_000)
	for b.Loop() {
		generateAndValidate(b, data)
	}
}

// Guards against panics on arbitrary answers, and against generated configurations that are rejected or parsed differently.
func FuzzGenerate(f *testing.F) {
	f.Add([]byte(minimalAnswers))
	f.Add(manyServices(1))
	f.Add([]byte(`{"services": [{"requests": [{}], "key": {}, "targets": [{}]}], "tenants": [{}], "link": {}, "regions": [{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		result, _ := Generate(data, "f")
		if result == nil {
			return
		}
		parsed, findings := config.Parse(result.Text, "g")
		if findings.Err() != nil || len(config.Diff(result.Config, parsed)) != 0 {
			t.Errorf("generated text: %v\n%s", findings, result.Text)
		}
	})
}
