package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/bronzelever/bronzelever/pkg/check"
	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/jsonc"
	"github.com/bronzelever/bronzelever/pkg/settings"
)

// maxDumpBytes bounds what Dump reads from a process.
const maxDumpBytes = 64 << 20

// Settings is the operators' settings file. docs/settings.md describes it.
type Settings struct {
	// Operator is the name that the history shows.
	Operator string `json:"operator"`
	// Store may be missing for commands that only ask controllers.
	Store *settings.Store `json:"store"`
	Cells []Cell          `json:"cells"`
	// StoreTimeoutMillis and AcceptTimeoutMillis replace the defaults if not 0.
	StoreTimeoutMillis  int64  `json:"store_timeout_ms"`
	AcceptTimeoutMillis int64  `json:"accept_timeout_ms"`
	LogLevel            string `json:"log_level"`
}

// SetDefaults implements settings.Defaulter.
func (s *Settings) SetDefaults() {
	if s.StoreTimeoutMillis == 0 {
		s.StoreTimeoutMillis = DefaultStoreTimeout.Milliseconds()
	}
	if s.AcceptTimeoutMillis == 0 {
		s.AcceptTimeoutMillis = DefaultAcceptTimeout.Milliseconds()
	}
	if s.LogLevel == "" {
		s.LogLevel = "error"
	}
}

// Validate implements settings.Validator.
func (s Settings) Validate() finding.List {
	const maxTimeoutMillis = 600_000
	var c check.Checker
	c.Name("operator", s.Operator)
	c.Within("store_timeout_ms", s.StoreTimeoutMillis, 1, maxTimeoutMillis)
	c.Within("accept_timeout_ms", s.AcceptTimeoutMillis, 1, maxTimeoutMillis)
	settings.CheckLogLevel(&c, s.LogLevel)
	if s.Store != nil {
		for _, f := range s.Store.Validate() {
			f.Path = jsonc.Join("store", f.Path)
			c.Findings.Add(f)
		}
	}
	if len(s.Cells) == 0 {
		c.Fail("cells", "no cell", "at least one cell with its controllers")
	}
	seen := map[string]bool{}
	for i, cell := range s.Cells {
		checkCell(&c, jsonc.Element("cells", i), cell, seen)
	}
	return c.Findings
}

func checkCell(c *check.Checker, path string, cell Cell, seen map[string]bool) {
	c.Name(jsonc.Join(path, "cell"), cell.Name)
	if seen[cell.Name] {
		c.Fail(jsonc.Join(path, "cell"), fmt.Sprintf("cell %q is given twice", cell.Name), "each cell once")
	}
	seen[cell.Name] = true
	at := jsonc.Join(path, "controllers")
	if len(cell.Controllers) == 0 {
		c.Fail(at, "no controller", "the addresses of the cell's controller candidates")
	}
	for i, address := range cell.Controllers {
		c.Address(jsonc.Element(at, i), address)
	}
}

// Dump returns the state of a process as JSON, from its admin address.
func Dump(ctx context.Context, adminAddress string) ([]byte, error) {
	if err := check.ParseAddress(adminAddress); err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adminAddress+"/dump", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answered %s", adminAddress, strconv.Itoa(response.StatusCode))
	}
	return io.ReadAll(io.LimitReader(response.Body, maxDumpBytes))
}
