package settings

import "time"

// Gateway configures sycamore-gateway. A field's name ends with its unit.
type Gateway struct {
	// Name is unique among the entries.
	Name string `json:"name"`
	// Zone is the availability zone that the process runs in.
	Zone string `json:"zone"`
	// CallersAddress (IP:port) is where callers send requests, DirectoryAddress
	// where they ask which entries to use, ReadyAddress where the platform asks
	// whether this one is ready, MetricsAddress where metrics are read.
	CallersAddress   string `json:"callers_address"`
	DirectoryAddress string `json:"directory_address"`
	ReadyAddress     string `json:"ready_address"`
	MetricsAddress   string `json:"metrics_address"`
	// LinksAddress (UDP) is where the other entries send to.
	LinksAddress string `json:"links_address"`
	// LinksTold is the address that the others are told to send to, where it is not
	// LinksAddress: behind an address translation.
	LinksTold string `json:"links_told"`
	// StoreAddress is where the platform's metadata store is.
	StoreAddress string `json:"store_address"`
	// MemoryMB is what the process may use.
	MemoryMB int `json:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may open.
	MaxDescriptors int `json:"max_descriptors"`
	// Bounds are what the operators have promised to callers.
	Bounds GatewayBounds `json:"bounds"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// GatewayBounds are the operators' promises that the process has to keep.
type GatewayBounds struct {
	// DrainMS is the time from the register's word that a target is leaving to the
	// last request that it may get.
	DrainMS int `json:"drain_ms"`
	// ConfigurationMS is the time within which a configuration is in force.
	ConfigurationMS int `json:"configuration_ms"`
	// GraceS is the time from the order to stop to the kill.
	GraceS float64 `json:"grace_s"`
	// ListLifeS is the longest that callers keep a list of entries.
	ListLifeS float64 `json:"list_life_s"`
	// RetryRatio, RetryExtra and RetryWindowS are the retry budget over all entries.
	RetryRatio   float64 `json:"retry_ratio"`
	RetryExtra   float64 `json:"retry_extra"`
	RetryWindowS float64 `json:"retry_window_s"`
	// QuotaWindowS is the sliding window of quotas. An organisation may exceed its
	// quota in it by the part QuotaOvershoot and by QuotaSlack units of cost.
	QuotaWindowS   float64 `json:"quota_window_s"`
	QuotaOvershoot float64 `json:"quota_overshoot"`
	QuotaSlack     float64 `json:"quota_slack"`
	// ExposureShare is the part of a service's requests that a bad new version may get
	// during its roll-out, RollbackMS the time in which one that has been shown to be bad
	// has to get nothing any more.
	ExposureShare float64 `json:"exposure_share"`
	RollbackMS    int     `json:"rollback_ms"`
}

// DefaultGateway is what fields that a file leaves out are.
func DefaultGateway() Gateway {
	return Gateway{
		MemoryMB: 256, MaxDescriptors: 4096, LogLevel: "info",
		Bounds: GatewayBounds{
			DrainMS: 2000, ConfigurationMS: 2000, GraceS: 8, ListLifeS: 5,
			RetryRatio: 0.2, RetryExtra: 50, RetryWindowS: 10, QuotaWindowS: 8,
			ExposureShare: 0.1, RollbackMS: 5000,
		},
	}
}

// Milliseconds turns a setting into a duration.
func Milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// Seconds turns a setting into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (s *Gateway) check(faults *Faults) {
	checkName("name", s.Name, faults)
	checkName("zone", s.Zone, faults)
	checkOwnAddress("callers_address", s.CallersAddress, faults)
	checkOwnAddress("directory_address", s.DirectoryAddress, faults)
	checkOwnAddress("ready_address", s.ReadyAddress, faults)
	checkOwnAddress("links_address", s.LinksAddress, faults)
	if s.LinksTold != "" {
		checkAddress("links_told", s.LinksTold, faults)
	}
	if s.MetricsAddress != "" {
		checkOwnAddress("metrics_address", s.MetricsAddress, faults)
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
