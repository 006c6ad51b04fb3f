package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/catalog"
	"sycamoretrail/internal/core/dispatch"
	"sycamoretrail/internal/settings"
	"sycamoretrail/platform/platformtest"
)

// overload sends more requests of two ranks to one slot than it can serve, and returns the reply
// to one of the less urgent rank whose caller has waited for a second.
func overload(gateway *Gateway) *reply {
	gateway.state.setTargets([]catalog.Target{{ID: "i", Service: "desk", Slots: 1}})
	newCall := func(rank int, waits time.Duration) *call {
		now := time.Now()
		return &call{
			gateway: gateway, envelope: Envelope{ID: "id-1", WaitLimit: waits}, service: "desk",
			route: &catalog.Route{
				Prefix: fmt.Sprintf("/%d", rank), Priority: rank, Objective: time.Duration(3-2*rank) * time.Second, Timeout: 4 * time.Second,
			},
			config:  &catalog.Configuration{},
			arrived: now, expires: now.Add(waits), disconnected: make(chan struct{}),
		}
	}
	for rank := range 2 {
		ticket, _ := gateway.state.submit(newCall(rank, 4*time.Second).schedulerRequest())
		time.Sleep(50 * time.Millisecond)
		gateway.state.release(ticket, dispatch.Report{Outcome: dispatch.Answered, Latency: time.Millisecond})
	}
	for range 40 {
		gateway.state.submit(newCall(0, 10*time.Second).schedulerRequest())
	}
	// The forecast of 40 requests must exceed the objective for a while.
	for range 30 {
		time.Sleep(10 * time.Millisecond)
		ticket, wait := gateway.state.submit(newCall(1, 4*time.Second).schedulerRequest())
		if !gateway.state.cancel(ticket) {
			<-wait
		}
	}
	c := newCall(1, 3*time.Second)
	_, wait := gateway.state.submit(c.schedulerRequest())
	select {
	case result := <-wait:
		_, answer := c.handleSlotResult(result)
		return answer
	default:
		return nil
	}
}

func gatewayWith(load settings.GatewayLoad) (*Gateway, *platformtest.Log) {
	log := &platformtest.Log{}
	logger := logrus.New()
	logger.SetOutput(log)
	logger.SetFormatter(&logrus.JSONFormatter{})
	s := settings.DefaultGateway()
	s.Name, s.Zone, s.Load = "entry-1", "a", load
	return New(s, nil, logger), log
}

// Guards against refusals at the door that cannot be told from others in the log, and against
// retry delays that are spread a second time.
func TestAdmissionIsLoggedAndCounted(t *testing.T) {
	g := NewWithT(t)
	gateway, log := gatewayWith(settings.GatewayLoad{Admission: true})
	answer := overload(gateway)
	g.Expect(answer).NotTo(BeNil())
	g.Expect(answer.retryAfter).To(And(BeNumerically("<=", time.Second), BeNumerically(">=", 900*time.Millisecond)), "the end of a third of the time left")
	gateway.log.Close(time.Minute)
	g.Expect(log.String()).To(MatchRegexp(`"age_ms":0,"backlog":[0-9.]+,"capacity":1,"closed":1,.*"forecast_ms":[1-9][0-9]+,.*"msg":"admission","rank":1,"service":"desk"`))
	g.Expect(log.String()).To(MatchRegexp(`"closed":[1-9],"forecast_ms":[1-9][0-9]+,"id":"id-1",.*"msg":"refused".*"returned":true`))

	gateway.reportAdmissions(gateway.state.sched.AdmissionLoads(time.Now()))
	g.Expect(gateway.metrics.Close()).To(Succeed())
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, nil, nil)
	gateway.metrics.Handler(&ctx)
	g.Expect(string(ctx.Response.Body())).To(MatchRegexp(`gateway_closed_ranks\{[^}]*service="desk"[^}]*\} [1-9]`))
}

// Guards against admission control that ignores the setting.
func TestAdmissionSettingOff(t *testing.T) {
	g := NewWithT(t)
	gateway, log := gatewayWith(settings.GatewayLoad{})
	overload(gateway)
	gateway.log.Close(time.Minute)
	g.Expect(log.String()).NotTo(ContainSubstring(`"msg":"admission"`))
	g.Expect(gateway.state.sched.AdmissionLoads(time.Now())).To(BeEmpty())
}
