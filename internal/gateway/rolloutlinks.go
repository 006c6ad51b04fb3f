package gateway

import (
	"math"
	"time"

	"sycamoretrail/internal/core/peerset"
	"sycamoretrail/internal/core/rollout"
	"sycamoretrail/internal/gossip"
)

// reportRollout sends this entry's observations to the leader.
func (l *links) reportRollout(leader, service string, report rollout.Report) {
	for _, member := range l.members() {
		if member.Name == leader {
			m := l.message()
			m.RolloutReport = &gossip.RolloutReport{
				Service: service, Order: report.Order, Phase: uint8(report.Phase), OldEngaged: report.OldOutstanding,
				New: observationMessages(report.New), Old: observationMessages(report.Old),
			}
			l.send(m, []peerset.Entry{member})
			return
		}
	}
}

// announceStep sends a step of a roll-out to all entries.
func (l *links) announceStep(step rollout.Step) {
	m := l.message()
	m.RolloutStep = &gossip.RolloutStep{
		Service: step.Service, Order: step.Order, Phase: uint8(step.Phase), Halt: step.Halt, ElapsedMS: step.Elapsed.Milliseconds(),
	}
	l.send(m, l.members())
}

func (l *links) handleRolloutStep(m *gossip.RolloutStep) {
	l.gateway.state.rollouts.applyStep(rollout.Step{
		Service: m.Service, Order: m.Order, Phase: rollout.Phase(m.Phase), Halt: m.Halt, Elapsed: milliseconds(m.ElapsedMS),
	})
}

func (l *links) handleRolloutReport(from string, incarnation uint64, m *gossip.RolloutReport) {
	isNew, isOld := true, false
	l.gateway.state.rollouts.applyReport(m.Service, from, incarnation, rollout.Report{
		Order: m.Order, Phase: rollout.Phase(m.Phase), OldOutstanding: m.OldEngaged,
		New: observationsOf(m.New, isNew), Old: observationsOf(m.Old, isOld),
	})
}

func observationMessages(observations []rollout.Observation) []gossip.Observation {
	messages := make([]gossip.Observation, 0, len(observations))
	for _, o := range observations {
		message := gossip.Observation{
			Number: o.Number, Route: o.Route, Target: o.Target, Load: uint8(min(o.Load, math.MaxUint8)),
			Pace: micros(o.Pace), First: micros(o.FirstEvent), TookMS: uint32(o.Duration.Milliseconds()),
		}
		if o.Failed {
			message.Flags |= gossip.ObservedFailed
		}
		if o.ConnectionLost {
			message.Flags |= gossip.ObservedConnectionLost
		}
		if o.Loaded {
			message.Flags |= gossip.ObservedLoaded
		}
		messages = append(messages, message)
	}
	return messages
}

func observationsOf(messages []gossip.Observation, isNew bool) []rollout.Observation {
	observations := make([]rollout.Observation, 0, len(messages))
	for _, m := range messages {
		observations = append(observations, rollout.Observation{
			Number: m.Number, Route: m.Route, Target: m.Target, New: isNew, Load: int(m.Load),
			Loaded: m.Flags&gossip.ObservedLoaded != 0,
			Failed: m.Flags&gossip.ObservedFailed != 0, ConnectionLost: m.Flags&gossip.ObservedConnectionLost != 0,
			Pace: time.Duration(m.Pace) * time.Microsecond, FirstEvent: time.Duration(m.First) * time.Microsecond, Duration: milliseconds(int64(m.TookMS)),
		})
	}
	return observations
}

func micros(d time.Duration) uint32 { return uint32(min(d.Microseconds(), math.MaxUint32)) }
