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

// maxLogLine bounds a line of a log; decision lines have some hundred bytes.
const maxLogLine = 1 << 20

// logLine is a line of an entry's log.
type logLine struct {
	time, event, entry string
	fields             map[string]any
}

// readLines reads the lines that are wanted from files, or from standard input where none
// is given, in order of time. Lines that are not JSON are passed over.
func readLines(stdin io.Reader, paths []string, wanted func(logLine) bool) ([]logLine, error) {
	if len(paths) == 0 {
		return sorted(scan(stdin, wanted))
	}
	var lines []logLine
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		found, err := scan(file, wanted)
		_ = file.Close() // it was only read
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		lines = append(lines, found...)
	}
	return sorted(lines, nil)
}

func sorted(lines []logLine, err error) ([]logLine, error) {
	slices.SortStableFunc(lines, func(x, y logLine) int { return strings.Compare(x.time, y.time) })
	return lines, err
}

func scan(from io.Reader, wanted func(logLine) bool) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if line, valid := parseLine(scanner.Text()); valid && wanted(line) {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// parseLine reads the object of a line; text before it, such as a collector's prefix, is
// ignored.
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

// text is a field that holds text; empty: it has none.
func (l logLine) text(name string) string {
	text, _ := l.fields[name].(string)
	return text
}

// number is a field that holds a number; 0: it has none.
func (l logLine) number(name string) float64 {
	number, _ := l.fields[name].(float64)
	return number
}

// shownFirst are the fields that String leaves out of the inputs.
var shownFirst = []string{"time", "msg", "entry", "level", "id"}

// String forms the line that a person reads: time, entry, event, then the inputs.
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
