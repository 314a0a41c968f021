// Package entry implements the process of an entry VM on a platform that provides the store and the registrations of
// targets.
package entry

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/sharedrate"
)

// Settings holds the settings of a process. They are fixed while it runs.
type Settings struct {
	VM     string
	IP     string
	Domain string
	Region string
	// RegionOf maps failure domains to regions.
	RegionOf map[string]string
	// CallerListenAddress and ReadyListenAddress are the listen addresses, host:port, for callers and readiness checks.
	CallerListenAddress string
	ReadyListenAddress  string
	// FirstPort to LastPort are available for connections between VMs.
	FirstPort, LastPort int
	// AdvertiseAddress is the host:port at which other VMs reach this one, if it isn't IP and FirstPort.
	AdvertiseAddress string
	StoreAddress     string
	// CPUShare is the share of a core that the VM has, LinkMbps the rate of its network link in Mbit/s.
	CPUShare float64
	LinkMbps float64
	// MemoryBytes is the memory limit above which the process is killed.
	MemoryBytes int64
	// FirstStart is set if the whole deployment is started for the first time.
	FirstStart bool
	// ShutdownGrace is the time between the request to stop and the kill.
	ShutdownGrace time.Duration
	// RetryRatio, RetryExtra and RetryWindow limit the retries of all VMs together: within any RetryWindow there are at
	// most RetryRatio times the requests plus RetryExtra retries.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// Quota is by how much the requests of an organisation within a window may exceed its quota.
	Quota sharedrate.Allowance
	// MaxConfigApplyTime is the longest time until a change that the store has acknowledged must be in force on every
	// VM.
	MaxConfigApplyTime time.Duration
	// MaxConfigurationAge is the age of the newest information about the configuration above which this VM refuses requests
	// that need a credential, since the credential may have been removed. Zero sets no limit.
	MaxConfigurationAge time.Duration
	// HedgeExtraShare is the share of extra requests that may be sent to shorten slow responses, at most
	// placing.MaxHedgeExtraShare. Zero sends none.
	HedgeExtraShare float64
	// AdmitByValue makes this VM, while it is the coordinator, admit requests by the value of their answers in all pools.
	AdmitByValue bool
	// LogInterRegionBytes writes a log line with the bytes sent to and received from other regions every interRegionLogInterval.
	LogInterRegionBytes bool
}

// quotaAllowance returns Quota, or the platform's default if it isn't set.
func (s Settings) quotaAllowance() sharedrate.Allowance {
	if s.Quota.Window == 0 {
		return sharedrate.DefaultAllowance
	}
	return s.Quota
}

// sendBy returns until when a request with a quota may be sent that got its token at a time, 0 if it has none.
func (s Settings) sendBy(limited bool, at clock.Instant) clock.Instant {
	if !limited {
		return 0
	}
	return at.Add(s.quotaAllowance().MaxSendDelay())
}
