package callers_test

import (
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"sycamoretrail/internal/core/document"
	"sycamoretrail/internal/core/entry"
	"sycamoretrail/internal/core/ident"
)

var _ = Describe("a request whose idempotency key belongs to another request", func() {
	const path = "/v1/services/slots/reserve"

	counted := func(calls *atomic.Int32) string {
		return serve(func(ctx *fasthttp.RequestCtx) {
			calls.Add(1)
			ctx.SetStatusCode(fasthttp.StatusCreated)
			ctx.SetBodyString("slot 7")
		})
	}
	with := func(id ident.RequestID) map[string]string {
		return map[string]string{"X-Request-Id": string(id), "Idempotency-Key": "k"}
	}

	// The caller lost the answer of its reservation and resends it with the same key
	// and a new id. The core replies that the first request holds the key; the caller
	// receives the first answer, and the service is called once.
	It("receives the answer of the first request if this entry holds it", func() {
		var calls atomic.Int32
		n := newNode("", counted(&calls))
		first, again := prefix.ID("first"), prefix.ID("again")
		resp, body := n.call("POST", path, "", with(first))
		Expect(resp.StatusCode).To(Equal(http.StatusCreated))
		n.core.answerWith(func(s entry.Submit) { n.flights.Join(entry.Join{ID: s.Request.ID, Of: first}) })
		resp, same := n.call("POST", path, "", with(again))
		Expect(resp.StatusCode).To(Equal(http.StatusCreated))
		Expect(same).To(Equal(body))
		Expect(resp.Header.Get("X-Request-Id")).To(Equal(string(first)))
		Expect(calls.Load()).To(Equal(int32(1)))
	})

	// Another entry holds the answer. The caller is redirected there with a token,
	// reads the answer by GET, and nothing is sent to the service a second time.
	It("is redirected to the entry that holds the answer", func() {
		var calls atomic.Int32
		service := counted(&calls)
		owner, other := newNode("", service), newNode("", service)
		first, again := prefix.ID("first"), prefix.ID("again")
		_, body := owner.call("POST", path, "", with(first))
		other.core.answerWith(func(s entry.Submit) {
			other.flights.SeeOther(entry.SeeOther{ID: s.Request.ID, Of: first, Target: "s1", Address: owner.address})
		})
		resp := noRedirect(other, path, with(again))
		Expect(resp.StatusCode).To(Equal(http.StatusSeeOther))
		location := resp.Header.Get("Location")
		Expect(location).To(HavePrefix("http://" + owner.address + "/v1/streams/"))
		resp, same := owner.call("GET", strings.TrimPrefix(location, "http://"+owner.address), "", nil)
		Expect(resp.StatusCode).To(Equal(http.StatusCreated))
		Expect(same).To(Equal(body))
		Expect(calls.Load()).To(Equal(int32(1)))
	})

	// Some clients keep POST when they follow a 303. They must not receive "not run":
	// the first request ran, and its answer is held at this address.
	It("is never refused as not run when it follows with another method", func() {
		n := newNode("", "")
		for _, method := range []string{"POST", "PUT", "DELETE", "HEAD"} {
			resp, _ := n.call(method, "/v1/streams/pAFv", "", nil)
			Expect(resp.StatusCode).To(Equal(405), method)
			Expect(resp.Header.Get("X-Outcome")).To(Equal("unknown"), method)
			Expect(resp.Header.Get("Allow")).To(Equal("GET"), method)
		}
	})

	// An organisation sends the id of another organisation's request. It is refused
	// with answer_no_longer_held and does not receive the answer.
	It("does not receive the answer of another organisation", func() {
		var calls atomic.Int32
		n := newNode("", counted(&calls), func(d *document.Document) {
			d.Organisations[1].Services = []string{"slots"}
		})
		first := prefix.ID("first")
		n.call("POST", path, "", with(first))
		n.core.answerWith(func(s entry.Submit) { n.flights.Join(entry.Join{ID: s.Request.ID, Of: first}) })
		header := with(prefix.ID("foreign"))
		header["Authorization"] = "Bearer " + otherKey
		resp, body := n.call("POST", path, "", header)
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(string(body)).NotTo(ContainSubstring("slot 7"))
	})
})

// noRedirect makes one POST and returns the response without following redirects.
func noRedirect(n *node, path string, header map[string]string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.address+path, nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	resp, err := client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
	return resp
}
