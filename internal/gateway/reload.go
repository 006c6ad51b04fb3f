package gateway

import (
	"reflect"

	"sycamoretrail/internal/core/budget"
	"sycamoretrail/internal/core/quota"
	"sycamoretrail/internal/eventlog"
	"sycamoretrail/internal/settings"
	"sycamoretrail/internal/telemetry"
)

// Reload applies changed settings without interruption: the log level, the retry budget,
// the quota's window and slack and the allowed causes are in force at once. Addresses, names and the intervals of
// reads change only with a restart of the process; the log line reports whether one is needed.
func (g *Gateway) Reload(s settings.Gateway) {
	err := telemetry.SetLevel(g.logger, s.LogLevel)
	g.state.mutex.Lock()
	g.state.quota.SetConfig(quotaConfig(s.Bounds))
	g.state.policer.SetWindow(settings.Seconds(s.Bounds.QuotaWindowS))
	g.state.budget.SetConfig(budgetConfig(s.Bounds))
	g.state.causes.SetAllowed(s.AllowedCauses)
	g.state.mutex.Unlock()
	kept := g.settings
	kept.LogLevel, kept.Bounds, kept.AllowedCauses = s.LogLevel, s.Bounds, s.AllowedCauses
	fields := eventlog.Fields{"accepted": true, "restart_needed": !reflect.DeepEqual(kept, s)}
	if err != nil {
		fields["error"] = err.Error()
	}
	g.log.Write(eventlog.StateChange, eventReload, fields)
}

// RejectReload logs that a changed settings file is invalid; the previous settings stay in
// force.
func (g *Gateway) RejectReload(err error) {
	g.log.Write(eventlog.StateChange, eventReload, eventlog.Fields{"accepted": false, "error": err.Error()})
}

func quotaConfig(b settings.GatewayBounds) quota.Config {
	return quota.Config{Window: settings.Seconds(b.QuotaWindowS), Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack}
}

func budgetConfig(b settings.GatewayBounds) budget.Config {
	return budget.Config{Window: settings.Seconds(b.RetryWindowS), Ratio: b.RetryRatio, Extra: b.RetryExtra}
}
