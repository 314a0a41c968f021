package bench

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzelever/bronzelever/internal/child"
)

// usage is what the kernel counted for a process.
type usage struct {
	cpu      time.Duration
	sent     int64
	received int64
	resident int64
	at       time.Time
}

// clockTick is the unit of processor time in /proc on Linux.
const clockTick = 10 * time.Millisecond

// usageOf reads the counters of /proc. Bytes are those of all read and write calls: sockets, and a few bytes for log lines and
// wake-ups, so that they are an upper bound of what was sent and received.
func usageOf(p *child.Process) (usage, error) {
	u := usage{at: time.Now()}
	dir := fmt.Sprintf("/proc/%d/", p.PID())
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, trace.ConvertSystemError(err)
	}
	if u.cpu, err = parseCPU(string(stat)); err != nil {
		return u, trace.Wrap(err)
	}
	io, err := os.ReadFile(dir + "io")
	if err != nil {
		return u, trace.ConvertSystemError(err)
	}
	if _, err := fmt.Sscanf(string(io), "rchar: %d\nwchar: %d", &u.received, &u.sent); err != nil {
		return u, trace.Wrap(err)
	}
	u.resident = p.ResidentBytes()
	return u, nil
}

// parseCPU returns user and system time from /proc/PID/stat. The name of the command may contain spaces and brackets.
func parseCPU(stat string) (time.Duration, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	// utime and stime are the fields 14 and 15 of the file, counted from 1; the fields after the name begin with 3.
	if len(fields) < 13 {
		return 0, errors.New("/proc/PID/stat has another format")
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// rates are differences of two usages per second; resident is the later one.
type rates struct {
	// cpu is the share of a core.
	cpu      float64
	sent     float64
	received float64
	resident int64
}

func between(a, b usage) rates {
	seconds := b.at.Sub(a.at).Seconds()
	return rates{
		cpu:      (b.cpu - a.cpu).Seconds() / seconds,
		sent:     float64(b.sent-a.sent) / seconds,
		received: float64(b.received-a.received) / seconds,
		resident: b.resident,
	}
}

func (r rates) plus(o rates) rates {
	return rates{cpu: r.cpu + o.cpu, sent: r.sent + o.sent, received: r.received + o.received, resident: r.resident + o.resident}
}

// String implements fmt.Stringer.
func (r rates) String() string {
	return fmt.Sprintf("%.2f%% of a core, %.1f MB, sent %.0f B/s, received %.0f B/s", 100*r.cpu, megabytes(r.resident), r.sent, r.received)
}
