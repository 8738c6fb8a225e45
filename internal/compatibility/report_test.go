package compatibility

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"rowancart/internal/experiment/report"
)

// storedReports are reports that together hold every field.
var storedReports = []string{"calm.json", "sweep.json", "sockets-stopped.json", "sockets-void.json"}

func reportPath(name string) string { return filepath.Join("testdata/report", name) }

func TestReportsAreReadAndWrittenAsStored(t *testing.T) {
	for _, name := range storedReports {
		t.Run(name, func(t *testing.T) {
			stored, err := os.ReadFile(reportPath(name))
			if err != nil {
				t.Fatal(err)
			}
			got, err := report.ReadJSON(reportPath(name))
			if err != nil {
				t.Fatal(err)
			}
			checkEncodedAsStored(t, got, stored)
			again := filepath.Join(t.TempDir(), name)
			if err := got.WriteJSON(again); err != nil {
				t.Fatal(err)
			}
			written, err := os.ReadFile(again)
			if err != nil || !bytes.Equal(written, stored) {
				t.Errorf("written again, the report has other bytes, %v", err)
			}
		})
	}
}

// storedArms returns the arms of a stored report's only point, by name.
func storedArms(t *testing.T, name string) map[string]map[string]any {
	t.Helper()
	stored, err := os.ReadFile(reportPath(name))
	if err != nil {
		t.Fatal(err)
	}
	value := decode(t, stored)
	arms := map[string]map[string]any{}
	for i := range object(t, value)["arms"].([]any) {
		arm := object(t, value, "arms", i)
		arms[arm["name"].(string)] = arm
	}
	return arms
}

// number returns a stored number.
func number(t *testing.T, holder map[string]any, name string) float64 {
	t.Helper()
	text, _ := holder[name].(json.Number)
	value, err := text.Float64()
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

// The table on a terminal shows the stored numbers, each in its column.
func TestReportTextHasStoredNumbers(t *testing.T) {
	got, err := report.ReadJSON(reportPath("calm.json"))
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	got.Text(&text)
	rows := map[string][]string{}
	for line := range strings.Lines(text.String()) {
		if columns := strings.Fields(line); len(columns) > 0 {
			rows[columns[0]] = columns[1:]
		}
	}
	for name, arm := range storedArms(t, "calm.json") {
		offered := number(t, arm, "offered")
		want := []string{fmt.Sprintf("%.0f", offered)}
		for _, field := range []string{"served_in_time", "late", "refused", "failed"} {
			want = append(want, fmt.Sprintf("%.2f%%", 100*number(t, arm, field)/offered))
		}
		want = append(want, fmt.Sprintf("%.4f", number(t, arm, "worth")))
		for _, field := range []string{"p50", "p90", "p99", "p999"} {
			want = append(want, fmt.Sprintf("%.1f", number(t, object(t, arm, "latency_ms"), field)))
		}
		want = append(want, fmt.Sprintf("%.3f", number(t, arm, "attempts_per_request")))
		if fmt.Sprint(rows[name]) != fmt.Sprint(want) {
			t.Errorf("%s: %v, stored is %v", name, rows[name], want)
		}
	}
}

// Two stored reports can be told apart, and one of them from itself cannot.
func TestStoredReportsAreCompared(t *testing.T) {
	stored, err := report.ReadJSON(reportPath("sweep.json"))
	if err != nil {
		t.Fatal(err)
	}
	differences, err := report.Compare(stored, stored)
	if err != nil || len(differences) == 0 {
		t.Fatalf("%d differences, %v", len(differences), err)
	}
	for _, d := range differences {
		if d.A != d.B || math.IsNaN(d.Noise) { // two repeats: noise can be told
			t.Errorf("a report differs from itself: %+v", d)
		}
	}
	other, err := report.ReadJSON(reportPath("calm.json"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := report.Compare(stored, other); err == nil {
		t.Error("reports of two experiments were compared")
	}
}
