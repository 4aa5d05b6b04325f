// Package fleet adds up what the logs of many senders hold, over the fleet and over time: what a sender does
// that is harmless alone, and harmful when every sender does it, shows in no single log. It reads logs and
// writes a table; it knows nothing of the module or of the lab's model.
package fleet

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/valyala/fastjson"
)

// lineMost is the longest line that is read, in bytes.
const maxLineBytes = 1 << 20

// columns are what is counted, in the order of the table. Messages, but for the last five.
var columns = []string{
	"taken", "again", "restored", "load", "room", "began", "further", "ok", "full", "told", "error", "timeout", "connect_failed", "reset",
	"delivered", "handed_back", "given_up", "held", "starts", "lists_failed", "broken", "ramps", "storms",
}

// texts are the log's messages that count, by how they begin.
var columnsByPrefix = map[string]string{
	"started": "starts", "discovery does not answer": "lists_failed", "breaker open": "broken", "ramp": "ramps", "storm": "storms",
}

// Count is the sums of a fleet's logs.
type Counter struct {
	Interval     time.Duration // length of a window
	Dest         int           // the destination that is counted; -1: all
	firstSeconds float64       // Unix seconds of the earliest line
	windows      map[int]map[string]int
	SkippedLines int // lines that are no JSON
}

// NewCount returns an empty count of one destination, or of all if dest is -1.
func NewCounter(every time.Duration, dest int) *Counter {
	return &Counter{Interval: every, Dest: dest, windows: map[int]map[string]int{}}
}

// Folder adds every *.log of a folder, one for each sender. Errors are the file system's.
func (c *Counter) AddFolder(dir string) error {
	names, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return err
	}
	if len(names) == 0 {
		return fmt.Errorf("%s: no *.log files", dir)
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = c.Add(f)
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// Add adds one sender's log. A line is the sender's JSON, alone or after the seconds at which it was read.
func (c *Counter) Add(in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	var parser fastjson.Parser
	for lines.Scan() {
		text := lines.Text()
		seconds, body := 0.0, text
		if prefix, rest, ok := strings.Cut(text, " "); ok && !strings.HasPrefix(text, "{") {
			if n, err := strconv.ParseFloat(prefix, 64); err == nil {
				seconds, body = n, strings.TrimSpace(rest)
			}
		}
		v, err := parser.Parse(body)
		if err != nil {
			c.SkippedLines++
			continue
		}
		if body == text {
			if seconds = c.secondsSinceFirst(string(v.GetStringBytes("time"))); seconds < 0 {
				c.SkippedLines++
				continue
			}
		}
		c.countRecord(seconds, v)
	}
	return lines.Err()
}

// since is the time of a line in seconds after the first one, -1 if it has none.
func (c *Counter) secondsSinceFirst(stamp string) float64 {
	t, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return -1
	}
	at := float64(t.UnixNano()) / 1e9
	if c.firstSeconds == 0 {
		c.firstSeconds = at
	}
	return max(at-c.firstSeconds, 0)
}

func (c *Counter) countRecord(seconds float64, v *fastjson.Value) {
	window := int(seconds / c.Interval.Seconds())
	add := func(column string, n int) {
		if c.windows[window] == nil {
			c.windows[window] = map[string]int{}
		}
		c.windows[window][column] += n
	}
	if c.Dest >= 0 && (v.Get("dest") == nil || v.GetInt("dest") != c.Dest) {
		return
	}
	switch string(v.GetStringBytes("record")) {
	case "taken":
		add("taken", 1)
		add("held", 1)
		if v.GetBool("again") {
			add("again", 1)
		}
		if v.GetBool("restored") {
			add("restored", 1)
			add("held", -1) // its first life counted it
		}
	case "refused":
		add(string(v.GetStringBytes("cause")), 1)
	case "began":
		add("began", 1)
		if v.GetInt("attempt") > 0 {
			add("further", 1)
		}
	case "ended":
		add(string(v.GetStringBytes("outcome")), 1)
		if v.GetFloat64("wait") > 0 {
			add("told", 1)
		}
	case "over":
		add(string(v.GetStringBytes("end")), 1)
		add("held", -1)
	case "":
		message := string(v.GetStringBytes("message"))
		for text, column := range columnsByPrefix {
			if strings.HasPrefix(message, text) {
				add(column, 1)
			}
		}
	}
}

// Write writes a row for each window, with its first second.
func (c *Counter) WriteTable(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "from\t"+strings.Join(columns, "\t")+"\t")
	var indexes []int
	for n := range c.windows {
		indexes = append(indexes, n)
	}
	slices.Sort(indexes)
	held := 0
	for _, n := range indexes {
		row := c.windows[n]
		held += row["held"]
		row["held"] = held // so many at its end
		fmt.Fprintf(w, "%.4g\t", float64(n)*c.Interval.Seconds())
		for _, column := range columns {
			fmt.Fprintf(w, "%d\t", row[column])
		}
		fmt.Fprintln(w)
	}
	w.Flush()
	if c.SkippedLines > 0 {
		fmt.Fprintf(out, "%d lines passed over: no JSON\n", c.SkippedLines)
	}
}
