package settings

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// Gateway configures sycamore-gateway. A field's name ends with its unit.
type Gateway struct {
	// Name is unique among the entries.
	Name string `json:"name"`
	// Zone is the availability zone that the process runs in.
	Zone string `json:"zone"`
	// Regions holds the region of each availability zone. Requests are handed off to entries of
	// the same region only. Without it all zones count as one region.
	Regions map[string]string `json:"regions"`
	// CallersAddress (IP:port) is where callers send requests, DirectoryAddress
	// where they query which entries to use, ReadyAddress where the platform checks
	// the readiness of this entry, MetricsAddress where metrics are read.
	CallersAddress   string `json:"callers_address"`
	DirectoryAddress string `json:"directory_address"`
	ReadyAddress     string `json:"ready_address"`
	MetricsAddress   string `json:"metrics_address"`
	// LinksAddress is where the process receives datagrams of other entries (UDP), and requests
	// that they hand off (TCP).
	LinksAddress string `json:"links_address"`
	// AnnouncedLinksAddress is the address that is announced to other entries. It is set where it
	// differs from LinksAddress, as behind network address translation.
	AnnouncedLinksAddress string `json:"links_told"`
	// SourceAddress is the IP from which connections to targets are opened; empty: the kernel
	// chooses it.
	SourceAddress string `json:"source_address"`
	// StoreAddress is the address of the platform's metadata store.
	StoreAddress string `json:"store_address"`
	// MemoryMB is the memory limit of the process.
	MemoryMB int `json:"memory_mb"`
	// MaxDescriptors is the number of file descriptors that the process may open.
	MaxDescriptors int `json:"max_descriptors"`
	// Bounds are the operators' guarantees to callers.
	Bounds GatewayBounds `json:"bounds"`
	// Load switches decisions under load.
	Load GatewayLoad `json:"load"`
	// AllowedCauses are parts of prompts, by id, and requests, by fingerprint, that are not refused
	// for crashing targets.
	AllowedCauses []string `json:"allowed_causes,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// GatewayLoad switches the parts that decide under load. Each takes effect only where the
// configuration calls for it.
type GatewayLoad struct {
	// FairShare shares contended targets between organisations by their quotas.
	FairShare bool `json:"fair_share"`
	// LateLast serves late requests after all that can still be in time, of whatever rank,
	// instead of by their value for engine time.
	LateLast bool `json:"late_last"`
	// Admission refuses requests that cannot be served in time when they arrive, and spreads
	// the times at which their callers return.
	Admission bool `json:"admission"`
	// HandOff hands requests off to other entries while this entry reaches no target for them.
	HandOff bool `json:"hand_off"`
	// BindStreams continues streams only at the service and software version that began them, and
	// tells other entries of streams that begin.
	BindStreams bool `json:"bind_streams"`
	// Lending lends targets between cells.
	Lending bool `json:"lending"`
}

// GatewayBounds are the operators' guarantees that the process must meet.
type GatewayBounds struct {
	// DrainMS is the time from the write that marks a target as leaving in the registry to
	// the last request that may be sent to it.
	DrainMS int `json:"drain_ms"`
	// ConfigurationMS is the time within which a new configuration must be in force.
	ConfigurationMS int `json:"configuration_ms"`
	// GraceS is the time from the stop signal to the kill.
	GraceS float64 `json:"grace_s"`
	// ListLifeS is the longest time that callers keep a list of entries.
	ListLifeS float64 `json:"list_life_s"`
	// RetryRatio, RetryExtra and RetryWindowS define the retry budget of all entries.
	RetryRatio   float64 `json:"retry_ratio"`
	RetryExtra   float64 `json:"retry_extra"`
	RetryWindowS float64 `json:"retry_window_s"`
	// QuotaWindowS is the sliding window of quotas. An organisation may exceed its
	// quota in it by the part QuotaOvershoot and by QuotaSlack units of cost.
	QuotaWindowS   float64 `json:"quota_window_s"`
	QuotaOvershoot float64 `json:"quota_overshoot"`
	QuotaSlack     float64 `json:"quota_slack"`
	// ExposureShare is the part of a service's requests that a bad new version may
	// receive during its roll-out. RollbackMS is the time from the detection of a bad
	// version until it must receive no more requests.
	ExposureShare float64 `json:"exposure_share"`
	RollbackMS    int     `json:"rollback_ms"`
}

// DefaultGateway returns the defaults of fields that a file leaves out.
func DefaultGateway() Gateway {
	return Gateway{
		MemoryMB: 256, MaxDescriptors: 4096, LogLevel: "info",
		Load: GatewayLoad{FairShare: true, HandOff: true, BindStreams: true},
		Bounds: GatewayBounds{
			DrainMS: 2000, ConfigurationMS: 2000, GraceS: 8, ListLifeS: 5,
			RetryRatio: 0.2, RetryExtra: 50, RetryWindowS: 10, QuotaWindowS: 8,
			ExposureShare: 0.1, RollbackMS: 5000,
		},
	}
}

// Milliseconds converts a setting to a duration.
func Milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// Seconds converts a setting to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (s *Gateway) check(faults *Faults) {
	for i, id := range s.AllowedCauses {
		if id == "" || strings.Trim(id, "0123456789abcdef") != "" {
			faults.add(fmt.Sprintf("allowed_causes[%d]", i), fmt.Sprintf("%q is not a hexadecimal id in lower case", id), "copy the value of part or request from a log line")
		}
	}
	checkName("name", s.Name, faults)
	checkName("zone", s.Zone, faults)
	checkOwnAddress("callers_address", s.CallersAddress, faults)
	checkOwnAddress("directory_address", s.DirectoryAddress, faults)
	checkOwnAddress("ready_address", s.ReadyAddress, faults)
	checkOwnAddress("links_address", s.LinksAddress, faults)
	if s.AnnouncedLinksAddress != "" {
		checkAddress("links_told", s.AnnouncedLinksAddress, faults)
	}
	if s.MetricsAddress != "" {
		checkOwnAddress("metrics_address", s.MetricsAddress, faults)
	}
	if s.SourceAddress != "" && net.ParseIP(s.SourceAddress) == nil {
		faults.add("source_address", fmt.Sprintf("%q is not an IP address", s.SourceAddress), "write an IP address of this machine, such as \"10.0.0.1\"")
	}
	checkAddress("store_address", s.StoreAddress, faults)
	checkAtLeast("memory_mb", s.MemoryMB, 32, faults)
	checkAtLeast("max_descriptors", s.MaxDescriptors, 256, faults)
	checkOneOf("log_level", s.LogLevel, logLevels, faults)
	b := &s.Bounds
	checkAtLeast("bounds.drain_ms", b.DrainMS, 500, faults)
	checkAtLeast("bounds.configuration_ms", b.ConfigurationMS, 500, faults)
	checkPositive("bounds.grace_s", b.GraceS, faults)
	checkPositive("bounds.list_life_s", b.ListLifeS, faults)
	checkPositive("bounds.retry_window_s", b.RetryWindowS, faults)
	checkPositive("bounds.quota_window_s", b.QuotaWindowS, faults)
	checkNotNegative("bounds.retry_ratio", b.RetryRatio, faults)
	checkNotNegative("bounds.retry_extra", b.RetryExtra, faults)
	checkNotNegative("bounds.quota_overshoot", b.QuotaOvershoot, faults)
	checkNotNegative("bounds.quota_slack", b.QuotaSlack, faults)
	checkPositive("bounds.exposure_share", b.ExposureShare, faults)
	checkAtLeast("bounds.rollback_ms", b.RollbackMS, 1000, faults)
}
