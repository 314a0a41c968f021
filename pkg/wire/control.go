package wire

import (
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// Incarnation distinguishes successive processes of the same VM name. It is random per process start.
type Incarnation uint64

// Member is a router of a cell's roster.
type Member struct {
	VM          string      `msgpack:"vm" json:"vm"`
	Incarnation Incarnation `msgpack:"inc" json:"incarnation"`
	// Address is the peer address, host:port.
	Address string `msgpack:"addr" json:"address"`
	Domain  string `msgpack:"domain" json:"failure_domain"`
}

// Roster is the recorded set of routers of a cell.
type Roster struct {
	Version uint64   `msgpack:"version" json:"version"`
	Members []Member `msgpack:"members" json:"members"`
}

// HoldState is the state of a group at its gateway.
type HoldState string

const (
	// HoldActive means that the gateway serves the group.
	HoldActive HoldState = "active"
	// HoldDraining means that the gateway takes no new work for the group; some is still in flight.
	HoldDraining HoldState = "draining"
	// HoldReleased means that nothing is in flight; the group may be granted again.
	HoldReleased HoldState = "released"
)

// Held reports a group that a router holds.
type Held struct {
	Group topology.GroupID `msgpack:"group"`
	Epoch topology.Epoch   `msgpack:"epoch"`
	State HoldState        `msgpack:"state"`
}

// SliceState is the state of a slice at the gateway of its owner.
type SliceState string

const (
	// SliceReleased means that the former owner's last possible request has ended.
	SliceReleased SliceState = "released"
	// SlicePromoted means that the gateway itself has promoted a recorded successor.
	SlicePromoted SliceState = "promoted"
)

// SliceReport tells the controller about a slice that changed hands at a gateway.
type SliceReport struct {
	Pool  string         `msgpack:"pool"`
	Low   uint64         `msgpack:"lo"`
	High  uint64         `msgpack:"hi"`
	Epoch topology.Epoch `msgpack:"epoch"`
	Owner string         `msgpack:"owner"`
	State SliceState     `msgpack:"state"`
}

// TargetState is a gateway's view of a target.
type TargetState string

const (
	// TargetServing takes work.
	TargetServing TargetState = "serving"
	// TargetCold ramps up.
	TargetCold TargetState = "cold"
	// TargetSlow answers much later than its group.
	TargetSlow TargetState = "slow"
	// TargetLost doesn't answer; its grant has lapsed or been revoked.
	TargetLost TargetState = "lost"
	// TargetDraining has announced that it leaves.
	TargetDraining TargetState = "draining"
)

// TargetReport is what a gateway knows of a target.
type TargetReport struct {
	Target string      `msgpack:"target" json:"target"`
	State  TargetState `msgpack:"state" json:"state"`
	// InFlight is the number of requests at the target.
	InFlight int `msgpack:"inflight" json:"in_flight"`
	Queued   int `msgpack:"queued" json:"queued"`
	Limit    int `msgpack:"limit" json:"limit"`
	// Rate is requests per second over the last interval.
	Rate float64 `msgpack:"rate" json:"rate"`
	// LatencyMicros is the smoothed in-band latency.
	LatencyMicros int64 `msgpack:"lat" json:"latency_us"`
}

// SliceLoad is the request rate of a slice.
type SliceLoad struct {
	Pool string  `msgpack:"pool"`
	Low  uint64  `msgpack:"lo"`
	Rate float64 `msgpack:"rate"`
	// HotHash is the most frequent key hash; HotRate its rate, 0 if none stands out.
	HotHash uint64  `msgpack:"hot"`
	HotRate float64 `msgpack:"hotrate"`
}

// Heartbeat is sent by a router to its cell's controller. It asks for a lease.
type Heartbeat struct {
	Cell    string `msgpack:"cell"`
	Member  Member `msgpack:"member"`
	Term    uint64 `msgpack:"term"`
	Leaving bool   `msgpack:"leaving"`
	// TableVersion is the newest table of the own cell that the router has.
	TableVersion  topology.Version            `msgpack:"table"`
	OtherTables   map[string]topology.Version `msgpack:"others"`
	ConfigVersion uint64                      `msgpack:"config"`
	RosterVersion uint64                      `msgpack:"roster"`
	Held          []Held                      `msgpack:"held"`
	Slices        []SliceReport               `msgpack:"slices"`
	Targets       []TargetReport              `msgpack:"targets"`
	Loads         []SliceLoad                 `msgpack:"loads"`
}

// HeartbeatReply grants the lease.
type HeartbeatReply struct {
	// Active tells whether the sender is the cell's controller; else Leader may name it and nothing else counts.
	Active bool   `msgpack:"active"`
	Leader string `msgpack:"leader"`
	Term   uint64 `msgpack:"term"`
	// LeaseMillis is counted by the router from before it sent the heartbeat.
	LeaseMillis int64 `msgpack:"lease"`
	// Table is set if the router's table is older.
	Table *topology.Table `msgpack:"table"`
	// OtherTables are newer tables of other cells.
	OtherTables   []*topology.Table `msgpack:"others"`
	ConfigVersion uint64            `msgpack:"config"`
	Roster        *Roster           `msgpack:"roster"`
	// Previous is the roster before, while some holder hasn't confirmed Roster.
	Previous *Roster `msgpack:"prev"`
	// StoreDown tells that the controller can't reach the store at the moment.
	StoreDown bool `msgpack:"storedown"`
}

// AnnounceTerm is sent by a new controller to every router of the rosters.
type AnnounceTerm struct {
	Cell    string `msgpack:"cell"`
	Term    uint64 `msgpack:"term"`
	Address string `msgpack:"addr"`
}

// AnnounceTermReply accepts a term. A router that knows a higher term answers with that one.
type AnnounceTermReply struct {
	Term   uint64 `msgpack:"term"`
	Member Member `msgpack:"member"`
	Held   []Held `msgpack:"held"`
}

// Witness asks a router of the roster for the highest term and configuration version it knows.
type Witness struct {
	Cell string `msgpack:"cell"`
	From Member `msgpack:"from"`
	Term uint64 `msgpack:"term"`
}

// WitnessReply answers Witness.
type WitnessReply struct {
	Member        Member `msgpack:"member"`
	Term          uint64 `msgpack:"term"`
	ConfigVersion uint64 `msgpack:"config"`
	// TableVersion is the newest table of the cell that the router has. An asker with an older table doesn't count the
	// answer: the controller of the same term may have granted the asker's groups again.
	TableVersion topology.Version `msgpack:"table"`
	// Leader is the controller address that the router knows.
	Leader string `msgpack:"leader"`
	// AuthorityMillis is the remaining authority of the router's own lease or roster rule, 0 if it has none. A router
	// without any lease serves callers as long as one with authority confirms its configuration.
	AuthorityMillis int64 `msgpack:"auth"`
}

// FetchConfig asks a controller or router for a configuration version or newer.
type FetchConfig struct {
	Version uint64 `msgpack:"version"`
}

// ConfigReply carries a configuration as JSON.
type ConfigReply struct {
	Version uint64 `msgpack:"version"`
	Body    []byte `msgpack:"body"`
}

// FetchTable asks a controller or router for the table of a cell.
type FetchTable struct {
	Cell string           `msgpack:"cell"`
	Have topology.Version `msgpack:"have"`
}

// TableReply carries the table if the asker's version is older.
type TableReply struct {
	Table *topology.Table `msgpack:"table"`
}

// Status asks a controller for its view of the cell.
type Status struct{}

// MemberStatus is a router as seen by the controller.
type MemberStatus struct {
	Member        Member `msgpack:"member" json:"member"`
	ConfigVersion uint64 `msgpack:"config" json:"config_version"`
	// AgeMillis is the time since the last heartbeat.
	AgeMillis int64          `msgpack:"age" json:"age_ms"`
	Leaving   bool           `msgpack:"leaving" json:"leaving"`
	Targets   []TargetReport `msgpack:"targets" json:"targets"`
}

// StatusReply answers Status.
type StatusReply struct {
	Cell          string          `msgpack:"cell" json:"cell"`
	Active        bool            `msgpack:"active" json:"active"`
	Leader        string          `msgpack:"leader" json:"leader"`
	Term          uint64          `msgpack:"term" json:"term"`
	ConfigVersion uint64          `msgpack:"config" json:"config_version"`
	StoreDown     bool            `msgpack:"storedown" json:"store_down"`
	Members       []MemberStatus  `msgpack:"members" json:"members"`
	Table         *topology.Table `msgpack:"table" json:"table"`
}
