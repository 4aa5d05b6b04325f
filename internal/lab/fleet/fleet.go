// Package fleet counts events in the logs of many senders, over the whole fleet and per time window. Behaviour that is
// harmless in one sender and harmful when all senders show it together cannot be seen in a single log. The package
// reads logs and writes a table; it depends on neither the sender's code nor the lab's model.
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

// maxLineBytes is the length of the longest line that is read.
const maxLineBytes = 1 << 20

// columns lists the counts in the order of the table. They count records; "held" is the number of messages held at the
// end of a window, and the columns after it count log messages by columnsByPrefix.
var columns = []string{
	"taken", "again", "restored", "load", "room", "began", "further", "ok", "full", "told", "error", "timeout",
	"connect_failed", "reset", "delivered", "handed_back", "given_up", "held",
	"starts", "lists_failed", "broken", "ramps", "storms",
}

// columnsByPrefix maps the first words of a log message to the column that counts it.
var columnsByPrefix = map[string]string{
	"started": "starts", "discovery does not answer": "lists_failed", "breaker open": "broken", "ramp": "ramps",
	"storm": "storms",
}

// Counter sums the events in the logs of a fleet. It is not safe for concurrent use.
type Counter struct {
	Interval     time.Duration          // length of a time window
	Dest         int                    // destination to count; -1: all
	firstSeconds float64                // time stamp of the first line that has one, in seconds of Unix time; 0: none yet
	windows      map[int]map[string]int // by window number and column; "held" is the change within the window
	SkippedLines int                    // number of lines without JSON or a time
}

// NewCounter returns an empty Counter for one destination, or for all if dest is -1.
func NewCounter(interval time.Duration, dest int) *Counter {
	return &Counter{Interval: interval, Dest: dest, windows: map[int]map[string]int{}}
}

// AddFolder adds every *.log file of a folder, one for each sender. It fails if there are none, or if one cannot be
// read.
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

// Add adds one sender's log. A line is the sender's JSON, alone or after the number of seconds at which the line was
// read. Add fails on a line longer than maxLineBytes.
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

// secondsSinceFirst returns the seconds from the time stamp of the first line to stamp, 0 if stamp is earlier, and -1
// if it is not valid.
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

// countRecord adds a log line to the counts of its time window: a record by its kind and fields, any other line by the
// first words of its message. If only one destination is counted, it ignores lines whose field dest is missing or names
// another.
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
			add("held", -1) // the earlier process run counted it
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

// WriteTable writes a row for each window with any counts, which begins with the window's start in seconds, and the
// number of skipped lines. It may be called only once, since it replaces the windows' changes in the number of held
// messages by the numbers held.
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
		row["held"] = held // number held at the end of the window
		fmt.Fprintf(w, "%.4g\t", float64(n)*c.Interval.Seconds())
		for _, column := range columns {
			fmt.Fprintf(w, "%d\t", row[column])
		}
		fmt.Fprintln(w)
	}
	w.Flush()
	if c.SkippedLines > 0 {
		fmt.Fprintf(out, "%d lines skipped: not JSON, or without a time\n", c.SkippedLines)
	}
}
