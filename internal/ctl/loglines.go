package ctl

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// maxLogLine bounds the length of a log line, in bytes. Decision lines have some
// hundred bytes.
const maxLogLine = 1 << 20

// logLine is a parsed line of an entry's log.
type logLine struct {
	time, event, entry string
	fields             map[string]any
}

// readLines returns the matching lines of the files, or of standard input if no file
// is given, sorted by time. Lines that are not JSON are skipped.
func readLines(stdin io.Reader, paths []string, match func(logLine) bool) ([]logLine, error) {
	if len(paths) == 0 {
		return sortByTime(scan(stdin, match))
	}
	var lines []logLine
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		found, err := scan(file, match)
		_ = file.Close() // it was only read
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		lines = append(lines, found...)
	}
	return sortByTime(lines, nil)
}

func sortByTime(lines []logLine, err error) ([]logLine, error) {
	slices.SortStableFunc(lines, func(x, y logLine) int { return strings.Compare(x.time, y.time) })
	return lines, err
}

func scan(from io.Reader, match func(logLine) bool) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if line, valid := parseLine(scanner.Text()); valid && match(line) {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// parseLine parses the JSON object of a line. Text before the object, such as a
// collector's prefix, is ignored.
func parseLine(text string) (logLine, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return logLine{}, false
	}
	line := logLine{}
	if json.Unmarshal([]byte(text[begin:]), &line.fields) != nil {
		return logLine{}, false
	}
	line.time = line.text("time")
	line.event = line.text("msg")
	line.entry = line.text("entry")
	return line, true
}

// text returns the named field, or "" if it is missing or not a string.
func (l logLine) text(name string) string {
	text, _ := l.fields[name].(string)
	return text
}

// number returns the named field, or 0 if it is missing or not a number.
func (l logLine) number(name string) float64 {
	number, _ := l.fields[name].(float64)
	return number
}

// shownFirst lists the fields that String omits from the list of other fields.
var shownFirst = []string{"time", "msg", "entry", "level", "id"}

// String formats the line for reading: time, entry and event, then the other
// fields sorted by name.
func (l logLine) String() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !slices.Contains(shownFirst, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %s", l.time, l.entry, l.event)
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%v", name, l.fields[name])
	}
	return text.String()
}
