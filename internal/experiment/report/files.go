package report

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// WriteJSON writes the report to a file in its JSON format.
func (r *Report) WriteJSON(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// ReadJSON reads a report that WriteJSON wrote.
func ReadJSON(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Report
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Version != Version {
		return nil, fmt.Errorf("%s: the report has format version %d, but this program reads only version %d", path,
			r.Version, Version)
	}
	return &r, nil
}

// Write writes index.html and report.json into a directory, which it creates if needed.
func (r *Report) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := r.WriteJSON(filepath.Join(dir, "report.json")); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "index.html"))
	if err != nil {
		return err
	}
	if err := r.HTML(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
