package controller

import (
	"encoding/json"
	"fmt"

	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// headKey is the key of the row that names the configuration in force.
const headKey = "config/head"

func termKey(cell string) string {
	return fmt.Sprintf("cells/%s/term", cell)
}

// ConfirmationKey returns the key of the row in which an operator confirms that no router process from before a term
// runs any more.
func ConfirmationKey(cell string) string {
	return fmt.Sprintf("cells/%s/confirm", cell)
}

// Confirmation is the value of the confirmation row. An operator has verified that no router process runs that is
// silent, or from before the term, as of a table of the cell. It is needed only if more routers were lost than
// tolerated.
type Confirmation struct {
	// Term is the term of the controller that waits for the confirmation; a confirmation for another term is ignored.
	Term uint64 `json:"term"`
	// Sequence is the sequence number of the newest table, 0 if the controller has none yet.
	Sequence uint64 `json:"sequence"`
}

func slicesKey(cell, pool string) string {
	return fmt.Sprintf("cells/%s/slices/%s", cell, pool)
}

func configKey(version uint64) string {
	return fmt.Sprintf("config/%d", version)
}

// TermRecord is the value of a cell's term row.
type TermRecord struct {
	Term uint64 `json:"term"`
	// Holder is the VM of the controller, Address its listen address.
	Holder  string `json:"holder"`
	Address string `json:"address"`
	// Released reports whether the holder has released the term: it grants nothing more, and a candidate needn't
	// wait.
	Released bool        `json:"released"`
	Roster   wire.Roster `json:"roster"`
	// Previous is the roster before Roster. It is kept until every possible holder has confirmed Roster.
	Previous *wire.Roster `json:"previous,omitempty"`
}

// FormerOwner is an owner whose requests may still be running.
type FormerOwner struct {
	Owner string         `json:"owner"`
	Epoch topology.Epoch `json:"epoch"`
}

// SliceRecord is the durable assignment of a slice.
type SliceRecord struct {
	Low        uint64         `json:"low"`
	High       uint64         `json:"high"`
	Owner      string         `json:"owner"`
	Epoch      topology.Epoch `json:"epoch"`
	Successors []string       `json:"successors"`
	// Former lists the owners that aren't yet known to have released the slice. Owner takes over once all have.
	Former []FormerOwner `json:"former,omitempty"`
}

// SlicesRecord is the value of the row that holds a pool's slices in a cell.
type SlicesRecord struct {
	// Term is the term of the controller that wrote the row. Each new controller writes the row once before it relies
	// on it, so that the condition of a late write by an older controller fails.
	Term   uint64        `json:"term"`
	Slices []SliceRecord `json:"slices"`
}

func mustMarshal(v any) []byte {
	// The records contain only strings, numbers, booleans, slices and structs, so encoding can't fail.
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func sliceRecords(all []topology.Slice) []SliceRecord {
	out := make([]SliceRecord, len(all))
	for i, s := range all {
		out[i] = SliceRecord{Low: s.Low, High: s.High, Owner: s.Owner, Epoch: s.Epoch, Successors: s.Successors}
	}
	return out
}
