package main

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/operator"
	"github.com/bronzelever/bronzelever/pkg/peer"
	"github.com/bronzelever/bronzelever/pkg/settings"
	"github.com/charmbracelet/log"
)

// operator loads the settings and connects.
func (e *environment) operator() (*operator.Operator, error) {
	s, findings := settings.Load[operator.Settings](e.settings)
	if findings.Err() != nil {
		return nil, e.invalid(findings)
	}
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, &exitError{code: exitInvalid, err: err}
	}
	o := operator.Options{
		Caller:        peer.NewClient("operator-" + s.Operator),
		Cells:         s.Cells,
		By:            s.Operator,
		Log:           event.NewLogger(e.stderr, level, "operator", s.Operator),
		StoreTimeout:  time.Duration(s.StoreTimeoutMillis) * time.Millisecond,
		AcceptTimeout: time.Duration(s.AcceptTimeoutMillis) * time.Millisecond,
	}
	if s.Store != nil {
		if o.Store, err = openStore(*s.Store); err != nil {
			return nil, err
		}
	}
	return operator.New(o), nil
}

// print writes a value as JSON, or as text.
func (e *environment) print(value any, text func(io.Writer)) error {
	if !e.json {
		text(e.stdout)
		return nil
	}
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// report prints findings.
func (e *environment) report(list finding.List) error {
	value := struct {
		Findings []finding.View `json:"findings"`
	}{list.Views()}
	return e.print(value, func(w io.Writer) {
		for _, f := range list {
			_, _ = io.WriteString(w, f.String()+"\n")
		}
	})
}

// invalid prints findings and returns the error that ends the command.
func (e *environment) invalid(list finding.List) error {
	if err := e.report(list); err != nil {
		return err
	}
	return &exitError{code: exitInvalid}
}

// readConfig reads a configuration file. Warnings are returned with it.
func (e *environment) readConfig(path string) (*config.Config, finding.List, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	c, findings := config.Parse(data, path)
	if findings.Err() != nil {
		return nil, nil, e.invalid(findings)
	}
	return c, findings, nil
}

// outcomeCodes maps outcomes to exit codes.
var outcomeCodes = map[operator.Outcome]int{
	operator.Accepted:    exitOK,
	operator.Unchanged:   exitOK,
	operator.Superseded:  exitOK,
	operator.Stored:      exitStored,
	operator.Invalid:     exitInvalid,
	operator.Conflict:    exitConflict,
	operator.NotAccepted: exitNotAccepted,
	operator.Pending:     exitPending,
}

// finish prints a result and returns the error that carries the exit code.
func (e *environment) finish(result operator.Result) error {
	value := struct {
		operator.Result
		Findings []finding.View `json:"findings,omitempty"`
	}{result, result.Findings.Views()}
	if err := e.print(value, result.WriteText); err != nil {
		return err
	}
	code, ok := outcomeCodes[result.Outcome]
	if !ok {
		code = exitFailed
	}
	if code == exitOK {
		return nil
	}
	return &exitError{code: code}
}
