package measurer

import (
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"galenawharf.example/galenawharf/coder"
)

func TestDocsListEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../docs/METRICS.md")
	must.NoError(t, err)
	source, err := os.ReadFile("names.go")
	must.NoError(t, err)
	var names, rows []string
	for _, m := range regexp.MustCompile(` = "(\w+)"`).FindAllStringSubmatch(string(source), -1) {
		names = append(names, m[1])
	}
	for _, m := range regexp.MustCompile(`(?m)^\| galenawharf_(\w+) \|`).FindAllStringSubmatch(string(page), -1) {
		rows = append(rows, m[1])
	}
	must.SliceContainsAll(t, names, rows)
	// Results and TenantRefused are in none of the lists, since they have a counter for each result
	// code and for each tenant.
	must.Len(t, len(counters)+len(gauges)+len(tenantGauges)+len(timers)+2, names)
}

func TestScrape(t *testing.T) {
	defer goleak.VerifyNone(t)
	m := New("entry-1", "a")
	m.Add(Starts, 3)
	m.Set(OwnedShards, 2)
	m.CountResult(coder.NotRun)
	// An unknown code is ignored.
	m.CountResult(coder.Code(-1))
	m.Close()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	must.StrContains(t, w.Body.String(), `galenawharf_task_starts{daemon="entry-1",data_centre="a"} 3`)
	must.StrContains(t, w.Body.String(), `galenawharf_owned_shards{daemon="entry-1",data_centre="a"} 2`)
	must.StrContains(t, w.Body.String(), `galenawharf_request_results{code="GW3001",daemon="entry-1",data_centre="a"} 1`)
}
