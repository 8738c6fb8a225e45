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

// storedReports are the names of reports that together contain every field.
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
			rewritten := filepath.Join(t.TempDir(), name)
			if err := got.WriteJSON(rewritten); err != nil {
				t.Fatal(err)
			}
			written, err := os.ReadFile(rewritten)
			if err != nil || !bytes.Equal(written, stored) {
				t.Errorf("the rewritten report differs from the stored one, error %v", err)
			}
		})
	}
}

// storedVariants returns the variants in a stored report with one point, by name.
func storedVariants(t *testing.T, name string) map[string]map[string]any {
	t.Helper()
	stored, err := os.ReadFile(reportPath(name))
	if err != nil {
		t.Fatal(err)
	}
	value := decode(t, stored)
	variants := map[string]map[string]any{}
	for i := range object(t, value)["arms"].([]any) {
		variant := object(t, value, "arms", i)
		variants[variant["name"].(string)] = variant
	}
	return variants
}

// number returns a number in a stored JSON object.
func number(t *testing.T, holder map[string]any, name string) float64 {
	t.Helper()
	text, _ := holder[name].(json.Number)
	value, err := text.Float64()
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

// The text form of a report is a table with each stored number in its column.
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
	for name, variant := range storedVariants(t, "calm.json") {
		offered := number(t, variant, "offered")
		want := []string{fmt.Sprintf("%.0f", offered)}
		for _, field := range []string{"served_in_time", "late", "refused", "failed"} {
			want = append(want, fmt.Sprintf("%.2f%%", 100*number(t, variant, field)/offered))
		}
		want = append(want, fmt.Sprintf("%.4f", number(t, variant, "worth")))
		for _, field := range []string{"p50", "p90", "p99", "p999"} {
			want = append(want, fmt.Sprintf("%.1f", number(t, object(t, variant, "latency_ms"), field)))
		}
		want = append(want, fmt.Sprintf("%.3f", number(t, variant, "attempts_per_request")))
		if fmt.Sprint(rows[name]) != fmt.Sprint(want) {
			t.Errorf("%s: columns %v, want %v", name, rows[name], want)
		}
	}
}

// Comparing a stored report with itself gives rows with equal values. Comparing it with a report of
// another experiment returns an error.
func TestStoredReportsAreCompared(t *testing.T) {
	stored, err := report.ReadJSON(reportPath("sweep.json"))
	if err != nil {
		t.Fatal(err)
	}
	differences, err := report.Compare(stored, stored)
	if err != nil || len(differences) == 0 {
		t.Fatalf("comparing a report with itself gives %d rows, want some; error %v", len(differences), err)
	}
	for _, d := range differences {
		if d.A != d.B || math.IsNaN(d.Noise) { // two repeats, so the noise is known
			t.Errorf("a report differs from itself: %+v", d)
		}
	}
	other, err := report.ReadJSON(reportPath("calm.json"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := report.Compare(stored, other); err == nil {
		t.Error("Compare returned no error for reports of different experiments")
	}
}
