// Package entry is the process of an entry VM on a platform that provides the store and the targets' registrations.
package entry

import "time"

// Settings are fixed while a process runs.
type Settings struct {
	VM     string
	IP     string
	Domain string
	Region string
	// RegionOf maps failure domains to regions.
	RegionOf map[string]string
	// ListenCallers and ListenReady are host:port.
	ListenCallers string
	ListenReady   string
	// FirstPort to LastPort are free for connections between VMs.
	FirstPort, LastPort int
	// Advertise is the host:port at which other VMs reach this one, if it isn't IP and FirstPort.
	Advertise    string
	StoreAddress string
	// CoreShare is the part of a core that the VM has, LinkMbps the rate of its network link in Mbit/s.
	CoreShare float64
	LinkMbps  float64
	// MemoryBytes is the memory after which the process is killed.
	MemoryBytes int64
	// ShutdownGrace is the time between the request to stop and the kill.
	ShutdownGrace time.Duration
	// RepeatRatio, RepeatExtra and RepeatWindow bound the repeats of all VMs together.
	RepeatRatio  float64
	RepeatExtra  float64
	RepeatWindow time.Duration
	// ConfigApply is the time in which a change that the store has acknowledged must be in force on every VM.
	ConfigApply time.Duration
}
