package daemon

import (
	"net/http"
	"strings"
	"testing"

	"rowancart/internal/testpeer"
)

func TestAdminInterface(t *testing.T) {
	e := testpeer.StartEndpoint(t, testpeer.RespondWith(testpeer.OKResponse, testpeer.KeepConn))
	s := startDaemon(t, poolBlock("one", e.Addr)+routeBlock("x", "/x", "read", "one", ""))
	s.request(http.MethodGet, "/x")
	testpeer.WaitUntil(t, "the request is counted, which happens after its response is written", func() bool {
		metrics := s.requestAdmin(http.MethodGet, "/metrics").body
		return strings.Contains(metrics, `rowancart_answer_seconds_count{route="x"} 1`)
	})
	for path, wants := range map[string][]string{
		"/healthz": {"ok"},
		"/status":  {`"generation": 1`, `"name": "one"`, `"ready": 1`, `"class": "read"`},
		"/metrics": {
			`rowancart_answers_total{kind="served",route="x"} 1`,
			`rowancart_endpoints{pool="one",state="ready"} 1`,
			"rowancart_generation 1",
			`rowancart_answer_seconds_count{route="x"} 1`,
			`rowancart_worth_total{kind="served",route="x"} 1`,
		},
	} {
		got := s.requestAdmin(http.MethodGet, path)
		for _, want := range wants {
			if got.status != http.StatusOK || !strings.Contains(got.body, want) {
				t.Errorf("the response of %s does not contain %s: status %d\n%s", path, want, got.status, got.body)
			}
		}
	}
	s.writeConfig("x")
	got := s.requestAdmin(http.MethodPost, "/reload")
	if got.status != http.StatusUnprocessableEntity || !strings.Contains(got.body, "rowancart.hcl:") {
		t.Errorf("reload of an invalid file: status %d, body %q", got.status, got.body)
	}
}
