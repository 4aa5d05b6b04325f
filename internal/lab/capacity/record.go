package capacity

import (
	"encoding/json"
	"fmt"
	"os"
)

// Record holds the results of one run of the measurements.
type Record struct {
	Cores      int      `json:"cores"`
	GoVersion  string   `json:"go_version"`
	LoadBefore float64  `json:"load_before"` // runnable processes, averaged over a minute
	LoadAfter  float64  `json:"load_after"`
	Seconds    float64  `json:"seconds"` // duration of all measurements
	Series     []Series `json:"series"`
}

// SeriesByName returns the series with the given name, or nil if it was not measured.
func (r *Record) SeriesByName(name string) *Series {
	for i := range r.Series {
		if r.Series[i].Name == name {
			return &r.Series[i]
		}
	}
	return nil
}

// LoadRecord reads a record from a JSON file. Each series needs five points: four to fit and the largest to check.
func LoadRecord(path string) (*Record, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, s := range r.Series {
		if len(s.Points) < 5 {
			return nil, fmt.Errorf("%s: series %s has %d sizes; at least 5 are required, of which the last is forecast from the others",
				path, s.Name, len(s.Points))
		}
	}
	return &r, nil
}

// Save writes the record to a JSON file.
func (r *Record) Save(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
