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

// Errors of reading the resource use of daemons.
var (
	ErrProcess = errors.New("process cannot be read")
	ErrMetrics = errors.New("metrics cannot be read")
)

// Usage is the resource use of a process.
type Usage struct {
	// CPU is the user and system time since the start of the process.
	CPU time.Duration
	// Resident is the resident memory in bytes.
	Resident int64
}

// Fields of /proc/PID/stat, counted from the one after the name in brackets.
const (
	statUser     = 11
	statSystem   = 12
	statResident = 21
	// ticksPerSecond is USER_HZ, which is fixed in the Linux user-space interface.
	ticksPerSecond = 100
)

// ReadUsage reads the usage of a process from /proc.
func ReadUsage(pid int) (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("%w: %w", ErrProcess, err)
	}
	// The name may contain spaces and brackets, the fields after its last bracket not.
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

// LoadAverage returns the machine's load average of the last minute, or 0 if it is
// not available.
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

// Gauge returns the value of a metric that has a single series.
func (s Series) Gauge(name string) float64 {
	for key, value := range s {
		if strings.HasPrefix(key, metricsPrefix+name+"{") {
			return value
		}
	}
	return 0
}

// By returns the series of a metric by the value of one label.
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

// Sum returns the sum of the series of a metric whose label has the value.
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
	status, body, err := client.GetTimeout(nil, "http://"+address+"/metrics", requestTimeout)
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
