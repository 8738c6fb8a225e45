package search

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"rowancart/internal/experiment/report"
)

// SiteResult holds the results of one site. It is one line of a results file.
type SiteResult struct {
	N             int                  `json:"site"`
	ServedWeight  map[string][]float64 `json:"worth"`            // served weight, by policy and repeat
	Failed        []float64            `json:"failed"`           // fraction that the design did not serve, by repeat
	Reasons       report.Reasons       `json:"why,omitempty"`    // why requests were not served, in the first repeat
	ViolatedRules map[string][]string  `json:"broken,omitempty"` // by policy, over all repeats
	Requests      int64                `json:"requests"`         // offered in the first repeat
}

// header is the first line of a results file. It holds the inputs that determine the results, apart
// from the version of the program.
type header struct {
	Search string `json:"search"`
	Digest uint64 `json:"bounds"`
	Seed   uint64 `json:"seed"`
}

// writeLine writes a value as a line of JSON.
func writeLine(w io.Writer, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = w.Write(append(text, '\n'))
	return err
}

// openResults opens a results file for appending and returns the numbers of the sites that it
// contains. It creates the file if needed. An existing file must have header h.
func openResults(path string, h header) (f *os.File, done map[int]bool, err error) {
	done = map[int]bool{}
	checkHeader := func(found header) error {
		if found != h {
			return fmt.Errorf("%s holds results of other bounds or another seed (search %q, seed %d)", path, found.Search,
				found.Seed)
		}
		return nil
	}
	complete, err := scanResults(path, checkHeader, func(s SiteResult) { done[s.N] = true })
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, err
	}
	f, err = os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, nil, err
	}
	if err := prepareAppend(f, complete, h); err != nil {
		f.Close()
		return nil, nil, err
	}
	return f, done, nil
}

// prepareAppend truncates a file to its complete lines, whose length in bytes is complete, and
// writes the header if there are none.
func prepareAppend(f *os.File, complete int64, h header) error {
	if err := f.Truncate(complete); err != nil {
		return err
	}
	if _, err := f.Seek(complete, io.SeekStart); err != nil {
		return err
	}
	if complete == 0 {
		return writeLine(f, h)
	}
	return nil
}

// Read returns the sites of a results file, ordered by number and without duplicates.
func Read(path string) ([]SiteResult, error) {
	var sites []SiteResult
	anyHeader := func(header) error { return nil }
	if _, err := scanResults(path, anyHeader, func(s SiteResult) { sites = append(sites, s) }); err != nil {
		return nil, err
	}
	slices.SortFunc(sites, func(x, y SiteResult) int { return x.N - y.N })
	return slices.CompactFunc(sites, func(x, y SiteResult) bool { return x.N == y.N }), nil
}

// scanResults reads a results file. It returns the length of its complete lines in bytes, and
// ignores an incomplete last line.
func scanResults(path string, checkHeader func(header) error, addSite func(SiteResult)) (complete int64, err error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	r := bufio.NewReader(f)
	for n := 1; ; n++ {
		text, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return complete, nil
		}
		if err != nil {
			return complete, err
		}
		if n == 1 {
			var h header
			if err := json.Unmarshal(text, &h); err != nil || h.Search == "" {
				return complete, fmt.Errorf("%s:1: not a file of search results", path)
			}
			if err := checkHeader(h); err != nil {
				return complete, err
			}
		} else {
			var s SiteResult
			if err := json.Unmarshal(text, &s); err != nil {
				return complete, fmt.Errorf("%s:%d: %w", path, n, err)
			}
			addSite(s)
		}
		complete += int64(len(text))
	}
}
