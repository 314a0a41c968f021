package wire

import (
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// Incarnation distinguishes successive processes of the same VM. Each process chooses a random one when it starts.
type Incarnation uint64

// Member is a router in a cell's roster.
type Member struct {
	VM          string      `msgpack:"vm" json:"vm"`
	Incarnation Incarnation `msgpack:"inc" json:"incarnation"`
	// Address is the host:port at which other processes reach the router.
	Address string `msgpack:"addr" json:"address"`
	Domain  string `msgpack:"domain" json:"failure_domain"`
}

// Roster is the stored set of the routers of a cell.
type Roster struct {
	Version uint64   `msgpack:"version" json:"version"`
	Members []Member `msgpack:"members" json:"members"`
}

// HoldState is the state of a group at its gateway.
type HoldState string

const (
	// HoldActive means that the gateway serves the group.
	HoldActive HoldState = "active"
	// HoldDraining means that the gateway accepts no new requests for the group while some are still in flight.
	HoldDraining HoldState = "draining"
	// HoldReleased means that no request is in flight, so that the group may be granted again.
	HoldReleased HoldState = "released"
)

// HeldGroup is a group that a router holds.
type HeldGroup struct {
	Group topology.GroupID `msgpack:"group"`
	Epoch topology.Epoch   `msgpack:"epoch"`
	State HoldState        `msgpack:"state"`
}

// SliceState is the state of a slice at the gateway of its owner.
type SliceState string

const (
	// SliceReleased means that the previous owner can't be executing a request for the slice any more.
	SliceReleased SliceState = "released"
	// SlicePromoted means that the gateway has promoted a recorded successor without the controller.
	SlicePromoted SliceState = "promoted"
)

// SliceReport informs the controller of a change of a slice's owner at a gateway.
type SliceReport struct {
	Pool  string         `msgpack:"pool"`
	Low   uint64         `msgpack:"lo"`
	High  uint64         `msgpack:"hi"`
	Epoch topology.Epoch `msgpack:"epoch"`
	Owner string         `msgpack:"owner"`
	State SliceState     `msgpack:"state"`
}

// TargetState is the state of a target as seen by a gateway.
type TargetState string

const (
	// TargetServing means that the target accepts requests and is neither cold nor slow.
	TargetServing TargetState = "serving"
	// TargetCold means that the target is warming up and its load is raised gradually.
	TargetCold TargetState = "cold"
	// TargetSlow means that the target responds much later than the other targets of its group.
	TargetSlow TargetState = "slow"
	// TargetLost means that the target doesn't respond and that its grant has expired or been revoked.
	TargetLost TargetState = "lost"
	// TargetDraining means that the target has announced that it leaves.
	TargetDraining TargetState = "draining"
)

// TargetReport is a gateway's state and load of a target.
type TargetReport struct {
	Target string      `msgpack:"target" json:"target"`
	State  TargetState `msgpack:"state" json:"state"`
	// InFlight is the number of requests that the gateway has sent to the target and that haven't ended.
	InFlight int `msgpack:"inflight" json:"in_flight"`
	Queued   int `msgpack:"queued" json:"queued"`
	Limit    int `msgpack:"limit" json:"limit"`
	// Rate is the number of requests per second in the last interval.
	Rate float64 `msgpack:"rate" json:"rate"`
	// LatencyMicros is the smoothed latency, measured in band on the requests to the target.
	LatencyMicros int64 `msgpack:"lat" json:"latency_us"`
}

// SliceLoad is the request rate of a slice.
type SliceLoad struct {
	Pool string  `msgpack:"pool"`
	Low  uint64  `msgpack:"lo"`
	Rate float64 `msgpack:"rate"`
	// HotHash is the hash of the most frequent key and HotRate its request rate. HotRate is 0 if no key stands out.
	HotHash uint64  `msgpack:"hot"`
	HotRate float64 `msgpack:"hotrate"`
}

// Heartbeat reports a router's state to its cell's controller and requests a lease.
type Heartbeat struct {
	Cell    string `msgpack:"cell"`
	Member  Member `msgpack:"member"`
	Term    uint64 `msgpack:"term"`
	Leaving bool   `msgpack:"leaving"`
	// TableVersion is the version of the newest table of its own cell that the router has.
	TableVersion  topology.Version            `msgpack:"table"`
	OtherTables   map[string]topology.Version `msgpack:"others"`
	ConfigVersion uint64                      `msgpack:"config"`
	RosterVersion uint64                      `msgpack:"roster"`
	Held          []HeldGroup                 `msgpack:"held"`
	Slices        []SliceReport               `msgpack:"slices"`
	Targets       []TargetReport              `msgpack:"targets"`
	Loads         []SliceLoad                 `msgpack:"loads"`
}

// HeartbeatReply answers Heartbeat. An active controller grants the lease.
type HeartbeatReply struct {
	// Active reports whether the sender is the cell's active controller. If it isn't, Leader may hold the address of the active one and the
	// other fields have no meaning.
	Active bool   `msgpack:"active"`
	Leader string `msgpack:"leader"`
	Term   uint64 `msgpack:"term"`
	// LeaseMillis is the duration of the lease. It starts when the router sent the heartbeat.
	LeaseMillis int64 `msgpack:"lease"`
	// Table is the table of the router's cell. It is set only if the router's table is older.
	Table *topology.Table `msgpack:"table"`
	// OtherTables are the tables of other cells that are newer than the router's.
	OtherTables   []*topology.Table `msgpack:"others"`
	ConfigVersion uint64            `msgpack:"config"`
	Roster        *Roster           `msgpack:"roster"`
	// Previous is the preceding roster. It is set while some holder of groups hasn't confirmed Roster.
	Previous *Roster `msgpack:"prev"`
	// StoreDown reports that the controller can't reach the store at the moment.
	StoreDown bool `msgpack:"storedown"`
}

// AnnounceTerm is sent by a new controller to every router in the current and the previous roster.
type AnnounceTerm struct {
	Cell    string `msgpack:"cell"`
	Term    uint64 `msgpack:"term"`
	Address string `msgpack:"addr"`
}

// AnnounceTermReply accepts a term. A router that knows a higher term replies with the higher one.
type AnnounceTermReply struct {
	Term   uint64      `msgpack:"term"`
	Member Member      `msgpack:"member"`
	Held   []HeldGroup `msgpack:"held"`
}

// Witness asks a router of the roster for the highest term and configuration version that it knows.
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
	// TableVersion is the version of the newest table of the cell that the router has. A router with an older table must not count this
	// reply, because the controller of the same term may have granted its groups to others.
	TableVersion topology.Version `msgpack:"table"`
	// Leader is the address of the active controller, if the router knows it.
	Leader string `msgpack:"leader"`
	// AuthorityMillis is how long the router's authority from its own lease or from the roster rule still lasts, 0 if it has none. A router
	// without a lease serves callers as long as a router with authority confirms its configuration.
	AuthorityMillis int64 `msgpack:"auth"`
}

// FetchConfig asks a controller or a router for the given version of the configuration or a newer one.
type FetchConfig struct {
	Version uint64 `msgpack:"version"`
}

// ConfigReply answers FetchConfig with a configuration in JSON.
type ConfigReply struct {
	Version uint64 `msgpack:"version"`
	Body    []byte `msgpack:"body"`
}

// FetchTable asks a controller or a router for the table of a cell if it is newer than Have.
type FetchTable struct {
	Cell string           `msgpack:"cell"`
	Have topology.Version `msgpack:"have"`
}

// TableReply answers FetchTable. Table is nil if the sender has no newer one.
type TableReply struct {
	Table *topology.Table `msgpack:"table"`
}

// Status asks a controller for the state of its cell.
type Status struct{}

// MemberStatus is a router as seen by the controller.
type MemberStatus struct {
	Member        Member `msgpack:"member" json:"member"`
	ConfigVersion uint64 `msgpack:"config" json:"config_version"`
	// AgeMillis is the time since the router's last heartbeat.
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
