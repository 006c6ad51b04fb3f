package capacity

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Errors of reading what daemons used.
var (
	ErrProcess = errors.New("process cannot be read")
	ErrMetrics = errors.New("metrics cannot be read")
)

// Usage is what a process has used of the machine.
type Usage struct {
	// CPU is user and system time since its start.
	CPU time.Duration
	// Resident is its memory in bytes.
	Resident int64
}

// Fields of /proc/PID/stat, counted from the one behind the name in brackets.
const (
	statUser     = 11
	statSystem   = 12
	statResident = 21
	// ticksPerSecond is USER_HZ, which Linux fixes for what it shows to programs.
	ticksPerSecond = 100
)

// ReadUsage reads it from the system.
func ReadUsage(pid int) (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("%w: %w", ErrProcess, err)
	}
	// The name may hold spaces and brackets; what follows its last bracket not.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) <= statResident {
		return Usage{}, fmt.Errorf("%w: %d fields", ErrProcess, len(fields))
	}
	var values [3]int64
	for i, field := range []int{statUser, statSystem, statResident} {
		if values[i], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return Usage{}, fmt.Errorf("%w: %w", ErrProcess, err)
		}
	}
	return Usage{
		CPU:      time.Duration(values[0]+values[1]) * time.Second / ticksPerSecond,
		Resident: values[2] * int64(os.Getpagesize()),
	}, nil
}

// LoadAverage is the machine's of the last minute; 0 where it is not told.
func LoadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	value, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return value
}

// Series are the readings of a /metrics page, by name and labels.
type Series map[string]float64

const metricsPrefix = "sycamoretrail_"

// Gauge reads a series without labels of its own.
func (s Series) Gauge(name string) float64 {
	for key, value := range s {
		if strings.HasPrefix(key, metricsPrefix+name+"{") {
			return value
		}
	}
	return 0
}

// By reads the series of a name by the value of one label.
func (s Series) By(name, label string) map[string]float64 {
	values := map[string]float64{}
	for key, value := range s {
		if !strings.HasPrefix(key, metricsPrefix+name+"{") {
			continue
		}
		_, rest, found := strings.Cut(key, label+`="`)
		if !found {
			continue
		}
		text, _, _ := strings.Cut(rest, `"`)
		values[text] = value
	}
	return values
}

// Sum adds the series of a name up whose label has the value.
func (s Series) Sum(name, label, value string) float64 {
	sum := 0.0
	for key, reading := range s {
		if strings.HasPrefix(key, metricsPrefix+name+"{") && strings.Contains(key, label+`="`+value+`"`) {
			sum += reading
		}
	}
	return sum
}

// ReadMetrics reads the /metrics page at an entry's callers' address.
func ReadMetrics(client *fasthttp.Client, address string) (Series, error) {
	status, body, err := client.GetTimeout(nil, "http://"+address+"/metrics", patience)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrMetrics, address, err)
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("%w: %s: status %d", ErrMetrics, address, status)
	}
	series := Series{}
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		line := lines.Text()
		at := strings.LastIndexByte(line, ' ')
		if at < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		if value, err := strconv.ParseFloat(line[at+1:], 64); err == nil {
			series[line[:at]] = value
		}
	}
	return series, nil
}
