package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/store"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// HeadKey is the row that names the version in force.
const HeadKey = "config/head"

// Head is the value of the head row.
type Head struct {
	Version uint64 `json:"version"`
}

// Change describes how a version came about. It is stored as an object next to the configuration, before the head names
// the version; a version that the head never named isn't part of the history.
type Change struct {
	Version  uint64 `json:"version"`
	Previous uint64 `json:"previous"`
	By       string `json:"by"`
	// At is the wall clock of the operator's machine, for people only.
	At      time.Time       `json:"at"`
	Reason  string          `json:"reason"`
	Token   string          `json:"token"`
	Changes []config.Change `json:"changes"`
}

// ConfigKey is the object with a configuration.
func ConfigKey(version uint64) string {
	return fmt.Sprintf("config/%d", version)
}

// ChangeKey is the object that describes a version.
func ChangeKey(version uint64) string {
	return fmt.Sprintf("config/%d/change", version)
}

// State is the configuration that the head names.
type State struct {
	Head     Head
	Revision store.Revision
	// Config is nil if nothing has been applied yet.
	Config *config.Config
}

// errNoStore means that the operator has no store.
var errNoStore = errors.New("no store is configured")

// Current reads the configuration in force. It retries until StoreTimeout.
func (o *Operator) Current(ctx context.Context) (State, error) {
	row, head, err := o.readHead(ctx)
	if err != nil {
		return State{}, err
	}
	state := State{Head: head, Revision: row.Revision}
	if head.Version == 0 {
		return state, nil
	}
	state.Config, err = o.ReadConfig(ctx, head.Version)
	return state, err
}

// readHead returns a zero row if there is none.
func (o *Operator) readHead(ctx context.Context) (store.Row, Head, error) {
	var row store.Row
	var head Head
	err := o.retryRead(ctx, func(ctx context.Context) error {
		var err error
		row, err = o.o.Store.Get(ctx, HeadKey)
		return err
	})
	if errors.Is(err, store.ErrNotFound) {
		return store.Row{}, head, nil
	}
	if err != nil {
		return row, head, fmt.Errorf("cannot read %s: %w", HeadKey, err)
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return row, head, fmt.Errorf("cannot decode %s: %w", HeadKey, err)
	}
	return row, head, nil
}

// retryRead repeats a read until it succeeds, finds nothing or StoreTimeout has passed.
func (o *Operator) retryRead(ctx context.Context, read func(context.Context) error) error {
	if o.o.Store == nil {
		return errNoStore
	}
	ctx, cancel := context.WithTimeout(ctx, o.o.StoreTimeout)
	defer cancel()
	for {
		err := read(ctx)
		if err == nil || errors.Is(err, store.ErrNotFound) {
			return err
		}
		if !o.pause(ctx) {
			return err
		}
	}
}

func (o *Operator) readObject(ctx context.Context, key string) ([]byte, error) {
	var body []byte
	err := o.retryRead(ctx, func(ctx context.Context) error {
		var err error
		body, err = o.o.Store.GetObject(ctx, key)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("cannot read %s: %w", key, err)
	}
	return body, nil
}

// ReadConfig reads a version from the object store.
func (o *Operator) ReadConfig(ctx context.Context, version uint64) (*config.Config, error) {
	key := ConfigKey(version)
	body, err := o.readObject(ctx, key)
	if err != nil {
		return nil, err
	}
	return parseConfig(body, key)
}

// parseConfig refuses a configuration with errors. Warnings were reported when it was applied.
func parseConfig(body []byte, name string) (*config.Config, error) {
	c, findings := config.Parse(body, name)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// ReadChange reads how a version came about.
func (o *Operator) ReadChange(ctx context.Context, version uint64) (Change, error) {
	var change Change
	body, err := o.readObject(ctx, ChangeKey(version))
	if err != nil {
		return change, err
	}
	if err := json.Unmarshal(body, &change); err != nil {
		return change, fmt.Errorf("cannot decode %s: %w", ChangeKey(version), err)
	}
	return change, nil
}

// History returns the last n changes, the newest first.
func (o *Operator) History(ctx context.Context, n int) ([]Change, error) {
	_, head, err := o.readHead(ctx)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for version := head.Version; version != 0 && len(changes) < n; {
		change, err := o.ReadChange(ctx, version)
		if err != nil {
			return changes, err
		}
		changes = append(changes, change)
		version = change.Previous
	}
	return changes, nil
}

// lookTimeout bounds the store's part of Status and Explain, which also work without it.
const lookTimeout = 2 * time.Second

// fromStore is the origin of a configuration that the store's head names.
const fromStore = "store"

// knownConfig returns the configuration in force and where it was read: from the store, or else from a controller. The
// error is that of the store, also if a controller knew the configuration; the configuration is nil if nobody did.
func (o *Operator) knownConfig(ctx context.Context) (*config.Config, string, error) {
	storeCtx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	state, err := o.Current(storeCtx)
	if err == nil && state.Config != nil {
		return state.Config, fromStore, nil
	}
	for _, cell := range o.o.Cells {
		for _, address := range cell.Controllers {
			if c := o.fetchConfig(ctx, address); c != nil {
				return c, "controller " + address, err
			}
		}
	}
	return nil, "", err
}

func (o *Operator) fetchConfig(ctx context.Context, address string) *config.Config {
	var reply wire.ConfigReply
	if err := o.call(ctx, address, wire.TypeFetchConfig, &wire.FetchConfig{}, wire.TypeConfigReply, &reply); err != nil {
		return nil
	}
	c, err := parseConfig(reply.Body, address)
	if err != nil {
		return nil
	}
	return c
}

func (o *Operator) call(ctx context.Context, address string, t wire.Type, request any, replyType wire.Type, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return o.o.Caller.Call(ctx, address, t, request, replyType, reply)
}
