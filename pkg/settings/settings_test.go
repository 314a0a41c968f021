package settings

import (
	"strings"
	"testing"
)

const validRouter = `// VM 1 of Catania
{
	"vm": "vm-1", "cell": "catania", "region": "catania", "failure_domain": "catania-a",
	"caller_listen": "127.0.1.1:8080", "peer_listen": "127.0.1.1:7300", "admin_listen": "127.0.1.1:9090",
	"peers": [{"vm": "vm-2", "router": "127.0.1.2:7300", "controller": "127.0.1.2:7400", "cell": "catania"}],
	"store": {
		"table_endpoint": "http://127.0.0.1:8000", "object_endpoint": "http://127.0.0.1:8001", "region": "local",
		"table": "bronzelever", "bucket": "bronzelever", "access_key_env": "KEY", "secret_key_env": "SECRET",
	},
}`

// Guards against embedded fields that are not decoded and defaults that are not applied.
func TestParseAcceptsValidRouter(t *testing.T) {
	r, findings := Parse[Router]([]byte(validRouter), "router.json")
	if len(findings) != 0 {
		t.Fatalf("findings: %v", findings)
	}
	if r.VM != "vm-1" || r.Domain != "catania-a" {
		t.Errorf("identity: %+v", r.Identity)
	}
	if r.LogLevel != DefaultLogLevel || r.Drain.TimeoutMillis != DefaultDrainMillis {
		t.Errorf("defaults: %q %+v", r.LogLevel, r.Drain)
	}
}

// Guards against reporting only the first problem in a file, and against findings with a wrong position.
func TestParseReportsAllFindings(t *testing.T) {
	data := `{
  "vm": "VM 1", "vm": "vm-1",
  "cell": 3,
  "colour": "red",
  "peer_listen": "127.0.1.1:0", // no such port
  "store": {"table": null},
}`
	_, findings := Parse[Router]([]byte(data), "r.json")
	text := findings.Error()
	for _, want := range []string{
		`r.json:2:9: error: vm: "VM 1" is not a name`,
		`r.json:2:17: error: vm: duplicate key "vm", first given at line 2`,
		`r.json:3:11: error: cell: found a number (allowed: a string)`,
		`r.json:4:3: error: colour: unknown field "colour" (allowed: admin_listen, `,
		`r.json:5:18: error: peer_listen: "127.0.1.1:0" has no valid port`,
		`r.json:6:22: error: store.table: found null (allowed: a string)`,
		`r.json:1:1: error: region: missing`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("missing %s\nin:\n%s", want, text)
		}
	}
	if strings.Contains(text, `cell: missing`) {
		t.Errorf("a rejected value is reported twice:\n%s", text)
	}
}

// Guards against syntax errors that are reported without a position.
func TestParseReportsSyntaxError(t *testing.T) {
	_, findings := Parse[Router]([]byte("{\n  \"vm\": \"x\"\n  \"cell\": 1}"), "r.json")
	if !strings.Contains(findings.Error(), "r.json:3:3: error: .: syntax error") {
		t.Error(findings)
	}
}

// Guards against panics, and against findings without a position or with a line number beyond the end of the file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validRouter))
	f.Add([]byte(`{"peers": [{}, null, 3], "drain": [], "vm": "\u00e9", /* x */}`))
	f.Add([]byte("{\"\x00\": {\".\": 1}, \"[\": 2}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		lines := 1 + strings.Count(string(data), "\n")
		_, router := Parse[Router](data, "f")
		_, controller := Parse[Controller](data, "f")
		for _, found := range append(router, controller...) {
			if found.Position.Line < 1 || found.Position.Line > lines || found.Position.Column < 1 {
				t.Errorf("position %v of %v is outside the file", found.Position, found)
			}
		}
	})
}
