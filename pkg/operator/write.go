package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/store"
)

// maxSkippedVersions bounds the search for an unused version. Each operator that fails between object and head leaves one
// behind.
const maxSkippedVersions = 100

// verdict is what became of the write of the head.
type verdict int

const (
	// verdictUnknown: the write may have taken effect, or may do so later.
	verdictUnknown verdict = iota
	// verdictApplied: the head is ours.
	verdictApplied
	// verdictSuperseded: the head was ours and has been replaced.
	verdictSuperseded
	// verdictLost: the condition didn't hold and never will again.
	verdictLost
	// verdictRefused: the store refused every attempt without effect.
	verdictRefused
)

// headWrite is a write of the head that may be tried several times under the same condition.
type headWrite struct {
	version  uint64
	previous uint64
	expected store.Revision
	token    string
}

// errTaken means that the object exists with another content.
var errTaken = errors.New("the version is taken")

// writeObjects stores the configuration and its description under the first unused version. Without the head they have no
// effect, so that a failure here accepts nothing.
func (o *Operator) writeObjects(ctx context.Context, base State, next *config.Config, change Change) (headWrite, error) {
	first := base.Head.Version + 1
	for version := first; version < first+maxSkippedVersions; version++ {
		err := o.writeVersion(ctx, version, next, change)
		if err == nil {
			return headWrite{version: version, previous: change.Previous, expected: base.Revision, token: change.Token}, nil
		}
		if !errors.Is(err, errTaken) {
			return headWrite{}, err
		}
	}
	return headWrite{}, fmt.Errorf("versions %d to %d are taken", first, first+maxSkippedVersions-1)
}

// writeVersion stores the description first: it contains the token, which makes the version ours.
func (o *Operator) writeVersion(ctx context.Context, version uint64, next *config.Config, change Change) error {
	change.Version = version
	description, err := json.MarshalIndent(change, "", "\t")
	if err != nil {
		return err
	}
	next.Version = version
	body, err := config.Marshal(next)
	if err != nil {
		return err
	}
	if err := o.createObject(ctx, ChangeKey(version), description); err != nil {
		return err
	}
	return o.createObject(ctx, ConfigKey(version), body)
}

// createObject retries until StoreTimeout. An object that exists with the same content counts as written: an earlier
// attempt took effect.
func (o *Operator) createObject(ctx context.Context, key string, body []byte) error {
	if o.o.Store == nil {
		return errNoStore
	}
	ctx, cancel := context.WithTimeout(ctx, o.o.StoreTimeout)
	defer cancel()
	for {
		err := o.o.Store.CreateObject(ctx, key, body)
		if errors.Is(err, store.ErrConflict) {
			err = o.compareObject(ctx, key, body)
		}
		if err == nil || errors.Is(err, errTaken) {
			return err
		}
		if !o.pause(ctx) {
			return fmt.Errorf("cannot write %s: %w", key, err)
		}
	}
}

func (o *Operator) compareObject(ctx context.Context, key string, body []byte) error {
	have, err := o.o.Store.GetObject(ctx, key)
	if err != nil {
		return err
	}
	if !bytes.Equal(have, body) {
		return errTaken
	}
	return nil
}

// writeHead names the version in the head row. An attempt without an answer is resolved by reading, and by writing again
// under the same condition and token until the revision has changed. If the first attempt takes effect late, the condition
// of the later ones fails.
func (o *Operator) writeHead(ctx context.Context, w headWrite) (verdict, error) {
	value, err := json.Marshal(Head{Version: w.version})
	if err != nil {
		return verdictRefused, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.o.StoreTimeout)
	defer cancel()
	unanswered := false
	for {
		_, err := o.o.Store.Put(ctx, HeadKey, value, w.expected, w.token)
		if err == nil {
			return verdictApplied, nil
		}
		conflict := errors.Is(err, store.ErrConflict)
		if !conflict && !errors.Is(err, store.ErrUnavailable) {
			unanswered = true
		}
		if conflict || unanswered {
			if v := o.resolve(ctx, w); v != verdictUnknown {
				return v, nil
			}
		}
		if conflict && !unanswered {
			return verdictLost, nil
		}
		if !o.pause(ctx) {
			return verdictAfter(unanswered), err
		}
	}
}

// verdictAfter tells what is known when the attempts end without an answer.
func verdictAfter(unanswered bool) verdict {
	if unanswered {
		return verdictUnknown
	}
	return verdictRefused
}

// resolve reads the head once. It returns verdictUnknown if the write can still take effect, or if the store didn't answer.
func (o *Operator) resolve(ctx context.Context, w headWrite) verdict {
	row, err := o.o.Store.Get(ctx, HeadKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return verdictUnknown
	}
	switch {
	case row.Revision == w.expected:
		return verdictUnknown
	case row.Token == w.token:
		return verdictApplied
	}
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return verdictUnknown
	}
	return o.searchHistory(ctx, head.Version, w)
}

// searchHistory finds out whether the version was in force before the one that the head names now.
func (o *Operator) searchHistory(ctx context.Context, newest uint64, w headWrite) verdict {
	for version := newest; version > w.previous; {
		body, err := o.o.Store.GetObject(ctx, ChangeKey(version))
		if err != nil {
			return verdictUnknown
		}
		var change Change
		if err := json.Unmarshal(body, &change); err != nil {
			return verdictUnknown
		}
		if change.Token == w.token {
			return verdictSuperseded
		}
		version = change.Previous
	}
	return verdictLost
}

// Resolve finds out what became of a pending write. With cancel, a write that could still take effect is made impossible by
// writing the head again unchanged: its condition can't hold any more.
func (o *Operator) Resolve(ctx context.Context, p PendingWrite, cancel bool) Result {
	if o.o.Store == nil {
		return Result{Outcome: Pending, Pending: &p, Message: errNoStore.Error()}
	}
	w := headWrite{version: p.Version, expected: p.Expected, token: p.Token}
	change, err := o.ReadChange(ctx, p.Version)
	if err != nil {
		return o.pending(w, err)
	}
	if change.Token != p.Token {
		return Result{Outcome: NotAccepted, Version: p.Version,
			Message: fmt.Sprintf("version %d was written under another token; there is no such pending write", p.Version)}
	}
	w.previous = change.Previous
	verdict := o.resolve(ctx, w)
	if verdict == verdictUnknown && cancel {
		verdict = o.cancel(ctx, w)
	}
	return o.resolved(ctx, w, verdict)
}

func (o *Operator) resolved(ctx context.Context, w headWrite, v verdict) Result {
	switch v {
	case verdictApplied:
		c, err := o.ReadConfig(ctx, w.version)
		if err != nil {
			return Result{Outcome: Stored, Version: w.version, Message: fmt.Sprintf("version %d is stored; %v", w.version, err)}
		}
		return o.await(ctx, w.version, regionsOf(c), false)
	case verdictSuperseded:
		return superseded(w.version)
	case verdictLost, verdictRefused:
		return Result{Outcome: NotAccepted, Version: w.version,
			Message: fmt.Sprintf("version %d did not come into force and never will", w.version)}
	}
	return o.pending(w, errors.New("the write has not taken effect so far"))
}

// cancel raises the revision of the head without changing its value.
func (o *Operator) cancel(ctx context.Context, w headWrite) verdict {
	row, head, err := o.readHead(ctx)
	if err != nil || row.Revision != w.expected {
		return o.resolve(ctx, w)
	}
	fence := headWrite{version: head.Version, previous: head.Version, expected: w.expected, token: newToken(o.o.By)}
	if v, _ := o.writeHead(ctx, fence); v == verdictApplied {
		o.o.Log.Emit(event.OperatorCancelled, "version", w.version)
	}
	return o.resolve(ctx, w)
}
