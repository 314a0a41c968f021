package config

import (
	"bytes"
	"strings"
	"testing"
)

const valid = `{
	"version": 7, // set by apply
	"regions": [
		{"name": "catania", "failure_domains": ["catania-a", "catania-b"]},
		{"name": "palermo", "failure_domains": ["palermo-a"]},
	],
	"pools": [
		{
			"name": "stato", "keyed": true, "slots": 2, "connections": 120, "cold_concurrency": 1, "queue_limit": 100,
			"max_deadline_ms": 800, "slices_per_target": 16, "moves_per_minute": 60,
			"targets": [
				{"id": "s1", "address": "127.0.3.1:80", "failure_domain": "catania-a"},
				{"id": "s2", "address": "127.0.3.2:80", "failure_domain": "palermo-a"},
			],
		},
		{
			"name": "ordini", "slots": 2, "connections": 120, "cold_concurrency": 1, "max_deadline_ms": 5000,
			"repeat_window_ms": 60000,
			"targets": [{"id": "o1", "address": "127.0.3.3:80", "failure_domain": "catania-b"}],
		},
	],
	"routes": [
		{
			"name": "read", "path_prefix": "/stato", "methods": ["GET"], "pool": "stato", "class": "read", "weight": 1,
			"idempotent": true, "key": {"place": "path", "segment": 1}, "deadline_ms": 800,
		},
		{
			"name": "order", "path_prefix": "/ordini", "methods": ["POST"], "pool": "ordini", "class": "order", "weight": 5,
			"deadline_ms": 5000, "max_body_bytes": 1000, "home_regions": ["catania"],
		},
	],
	"tenants": [{"name": "acme", "home_regions": ["catania"]}],
	"out": {"failure_domains": [], "vms": [], "targets": []},
	"link_bytes_per_second": 1000000,
}`

// Guards against Parse rejecting a valid configuration, and against Marshal output that Parse rejects or decodes differently.
func TestParseAndMarshal(t *testing.T) {
	c, findings := Parse([]byte(valid), "c.json")
	if len(findings) != 0 {
		t.Fatal(findings)
	}
	first, err := Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	again, findings := Parse(first, "again.json")
	if len(findings) != 0 {
		t.Fatal(findings)
	}
	second, err := Marshal(again)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(first, second) {
		t.Errorf("Marshal is not stable:\n%s\n%s", first, second)
	}
	if changes := Diff(c, again); len(changes) != 0 {
		t.Errorf("differences: %v", changes)
	}
}

// Guards against an invalid configuration being accepted; each case violates one rule.
func TestParseFindings(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"unknown pool":           {`"pool": "ordini"`, `"pool": "orders"`, `routes[1].pool: unknown pool "orders" (allowed: ordini, stato)`},
		"unknown domain":         {`"catania-b"}]`, `"catania-c"}]`, `unknown failure domain "catania-c"`},
		"unknown region":         {`"home_regions": ["catania"],`, `"home_regions": ["siracusa"],`, `c.json:29:66: error: routes[1].home_regions[0]: unknown region "siracusa" (allowed: catania, palermo)`},
		"home without targets":   {`"home_regions": ["catania"],`, `"home_regions": ["palermo"],`, `pool "ordini" has no target in any home region`},
		"tenant without targets": {`"name": "acme", "home_regions": ["catania"]`, `"name": "acme", "home_regions": ["palermo"]`, `warning: tenants[0].home_regions: no target in these regions may serve the routes order`},
		"domain in two regions":  {`["palermo-a"]`, `["palermo-a", "catania-a"]`, `failure domain "catania-a" is already part of region "catania"`},
		"shared address":         {`127.0.3.2:80`, `127.0.3.1:80`, `address "127.0.3.1:80" is also that of pools[0].targets[0]`},
		"slots":                  {`"stato", "keyed": true, "slots": 2`, `"stato", "keyed": true, "slots": 0`, `pools[0].slots: 0 is out of range (allowed: 1 to 10000)`},
		"connections":            {`"connections": 120, "cold_concurrency": 1, "queue_limit"`, `"connections": 1, "cold_concurrency": 1, "queue_limit"`, `pools[0].connections: 1 is out of range (allowed: 2 to 100000)`},
		"late takeover":          {`"max_deadline_ms": 800`, `"max_deadline_ms": 2801`, `warning: pools[0].max_deadline_ms: after a loss, keys wait for the lease (1200 ms) and this deadline (2801 ms): 4001 ms, more than 4000 ms (allowed: at most 2800`},
		"no repeat window":       {`"repeat_window_ms": 60000,`, ``, `routes[1].idempotent: the route is not idempotent and pool "ordini" has no repeat_window_ms`},
		"short repeat window":    {`"repeat_window_ms": 60000`, `"repeat_window_ms": 4999`, `ends before the route's deadline (5000 ms)`},
		"keyed without key":      {`"key": {"place": "path", "segment": 1}, `, ``, `pool "stato" is keyed and the route specifies no place of the key`},
		"key without name":       {`"place": "path", "segment": 1`, `"place": "header"`, `routes[0].key.name: missing`},
		"ambiguous route":        {`"/ordini", "methods": ["POST"]`, `"/stato", "methods": ["POST", "GET"]`, `GET /stato is also matched by route "read"`},
		"unknown method":         {`["POST"]`, `["post"]`, `unknown method "post"`},
		"unknown target in out":  {`"targets": []}`, `"targets": ["x9"]}`, `out.targets[0]: unknown target "x9"`},
		"pool out of service":    {`"targets": []}`, `"targets": ["o1"]}`, `warning: out: every target of pool "ordini" is out of service`},
		"no link limit":          {`"link_bytes_per_second": 1000000,`, ``, `link_bytes_per_second: 0 is out of range`},
		"number too large":       {`"version": 7`, `"version": 1e3`, `the number 1e3 does not fit`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			data := strings.Replace(valid, c.old, c.new, 1)
			if data == valid {
				t.Fatalf("%q is not in the configuration", c.old)
			}
			_, findings := Parse([]byte(data), "c.json")
			if !strings.Contains(findings.Error(), c.want) {
				t.Errorf("want %s\ngot:\n%v", c.want, findings)
			}
			if wantWarning := strings.HasPrefix(c.want, "warning"); wantWarning != (findings.Errors() == 0) {
				t.Errorf("%d errors in:\n%v", findings.Errors(), findings)
			}
		})
	}
}

// Guards against two owners of one key, in different cells, when routes of a keyed pool have different home regions.
func TestKeyedRoutesShareHomeRegions(t *testing.T) {
	other := `{
		"name": "other", "path_prefix": "/altro", "methods": ["GET"], "pool": "stato", "class": "read", "weight": 1,
		"idempotent": true, "key": {"place": "header", "name": "X-Key"}, "deadline_ms": 800, "home_regions": ["palermo"],
	},
	{
			"name": "order"`
	data := strings.Replace(valid, "{\n\t\t\t\"name\": \"order\"", other, 1)
	_, findings := Parse([]byte(data), "c.json")
	if !strings.Contains(findings.Error(), "the same key would have two owners") || findings.Errors() != 1 {
		t.Error(findings)
	}
}

// Guards against requests that leave the home regions of a route because their method matches only a route with a shorter
// prefix.
func TestNestedRouteKeepsHomeRegions(t *testing.T) {
	nested := `{
		"name": "any", "path_prefix": "/", "methods": ["DELETE", "POST"], "pool": "ordini", "class": "any", "weight": 1,
		"idempotent": true, "deadline_ms": 800,
	},
	{
			"name": "order"`
	data := strings.Replace(valid, "{\n\t\t\t\"name\": \"order\"", nested, 1)
	_, findings := Parse([]byte(data), "c.json")
	want := `c.json:32:58: error: routes[2].methods: DELETE below /ordini is matched by route "any", which doesn't have these home regions`
	if !strings.Contains(findings.Error(), want) || findings.Errors() != 1 {
		t.Error(findings)
	}
	data = strings.Replace(data, `"idempotent": true, "deadline_ms": 800,
	}`, `"idempotent": true, "deadline_ms": 800, "home_regions": ["catania"],
	}`, 1)
	if _, findings := Parse([]byte(data), "c.json"); findings.Errors() != 0 {
		t.Error(findings)
	}
}

// Guards against panics in the decoder and the validation on arbitrary input, and against an accepted configuration that
// Marshal and Parse change or reject.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"pools": [{"targets": [{}]}], "routes": [{}], "tenants": [{}], "out": {"vms": [""]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, findings := Parse(data, "f")
		if findings.Err() != nil {
			return
		}
		body, err := Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		again, findings := Parse(body, "again")
		if findings.Err() != nil || len(Diff(c, again)) != 0 {
			t.Errorf("after Marshal: %v", findings)
		}
	})
}

// Guards against a diff that omits a change, reports reordered elements or is unreadable.
func TestDiff(t *testing.T) {
	older, _ := Parse([]byte(valid), "old")
	newer := older.Clone()
	newer.Version++
	newer.Pools[0].Targets[0].Address = "127.0.3.9:80"
	newer.Pools[1].Slots = 4
	newer.Tenants = nil
	newer.Out.Domains = append(newer.Out.Domains, "palermo-a")
	newer.Routes[0], newer.Routes[1] = newer.Routes[1], newer.Routes[0]
	want := []string{
		`~ pools[ordini].slots: 2 -> 4`,
		`~ pools[stato].targets[s1].address: "127.0.3.1:80" -> "127.0.3.9:80"`,
		`- tenants[acme]: {"name":"acme","home_regions":["catania"]}`,
		`+ out.failure_domains[palermo-a]: "palermo-a"`,
	}
	changes := Diff(older, newer)
	if len(changes) != len(want) {
		t.Fatalf("%v", changes)
	}
	for i, c := range changes {
		if c.String() != want[i] {
			t.Errorf("got  %s\nwant %s", c, want[i])
		}
	}
	if older.Pools[0].Targets[0].Address != "127.0.3.1:80" {
		t.Error("Clone shares targets")
	}
}

// Guards against a non-idempotent request that runs twice because its claim stays with the old group when the slice of its
// key moves to another group.
func TestNonIdempotentRoutesOnKeyedPoolsNeedDeduplication(t *testing.T) {
	other := `{
		"name": "calibrate", "path_prefix": "/taratura", "methods": ["POST"], "pool": "stato", "class": "order", "weight": 1,
		"idempotent": false, "key": {"place": "header", "name": "X-Key"}, "deadline_ms": 800, "home_regions": [],
	},
	{
			"name": "order"`
	data := strings.Replace(valid, "{\n\t\t\t\"name\": \"order\"", other, 1)
	_, findings := Parse([]byte(data), "c.json")
	if !strings.Contains(findings.Error(), "do not deduplicate") {
		t.Error(findings)
	}
}
