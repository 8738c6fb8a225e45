package compatibility

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"rowancart/internal/experiment/search"
)

const (
	searchBoundsPath  = "testdata/search/wide.hcl"
	searchResultsPath = "testdata/search/results.jsonl"
	searchSeed        = 1
	searchSites       = 3
)

func TestSearchResultsAreReadAsStored(t *testing.T) {
	text, err := os.ReadFile(searchResultsPath)
	if err != nil {
		t.Fatal(err)
	}
	sites, err := search.Read(searchResultsPath)
	if err != nil {
		t.Fatal(err)
	}
	stored := map[any][]byte{}
	for line := range bytes.Lines(text) {
		stored[object(t, decode(t, line))["site"]] = line
	}
	delete(stored, nil) // the first line is a header, not a site
	if len(sites) != searchSites || len(stored) != searchSites {
		t.Fatalf("%d sites read, %d stored", len(sites), len(stored))
	}
	for i, site := range sites { // in the order of their numbers
		checkEncodedAsStored(t, site, stored[json.Number(strconv.Itoa(i))])
	}
}

// A search resumes from stored results: sites that have results are not run again. Results of a
// search with another seed or other bounds are rejected.
func TestSearchResumesFromStoredResults(t *testing.T) {
	stored, err := os.ReadFile(searchResultsPath)
	if err != nil {
		t.Fatal(err)
	}
	bounds, err := search.Load(searchBoundsPath)
	if err != nil {
		t.Fatal(err)
	}
	otherBounds := *bounds
	otherBounds.Digest++
	for name, row := range map[string]struct {
		bounds   *search.Bounds
		seed     uint64
		rejected bool
	}{
		"the same search": {bounds, searchSeed, false},
		"another seed":    {bounds, searchSeed + 1, true},
		"other bounds":    {&otherBounds, searchSeed, true},
	} {
		path := filepath.Join(t.TempDir(), "results.jsonl")
		if err := os.WriteFile(path, stored, 0o600); err != nil {
			t.Fatal(err)
		}
		options := search.Options{Seed: row.seed, To: searchSites, Out: path}
		if err := search.Run(context.Background(), row.bounds, options); (err != nil) != row.rejected {
			t.Errorf("%s: error %v", name, err)
		}
		if after, err := os.ReadFile(path); err != nil || !bytes.Equal(after, stored) {
			t.Errorf("%s: the stored results were changed, error %v", name, err)
		}
	}
}

// The header of new results is the stored one, so that an earlier version can read them.
func TestSearchHeaderIsWrittenAsStored(t *testing.T) {
	stored, err := os.ReadFile(searchResultsPath)
	if err != nil {
		t.Fatal(err)
	}
	bounds, err := search.Load(searchBoundsPath)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "results.jsonl")
	if err := search.Run(context.Background(), bounds, search.Options{Seed: searchSeed, Out: path}); err != nil {
		t.Fatal(err)
	}
	first, _, _ := bytes.Cut(stored, []byte("\n"))
	if written, err := os.ReadFile(path); err != nil || string(written) != string(first)+"\n" {
		t.Errorf("header %q, want %q, error %v", written, first, err)
	}
}
