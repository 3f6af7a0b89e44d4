package measure

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
)

const (
	// tick is the kernel's unit of processor time in /proc.
	tick = 10 * time.Millisecond
	// userField and systemField are the places of the processor times in
	// /proc/PID/stat, counted from the field after the program's name.
	userField   = 11
	systemField = 12
	megabyte    = 1 << 20
)

// sample is what the kernel knows of a process at one moment.
type sample struct {
	at       time.Time
	resident float64       // bytes
	busy     time.Duration // processor time since the start
	moved    float64       // bytes read and written since the start: sockets, files and log together
}

// take reads /proc of a process that the script has started.
func (p *Process) take(now time.Time) (sample, error) {
	folder := filepath.Join("/proc", strconv.Itoa(p.PID))
	stat, err := os.ReadFile(filepath.Join(folder, "stat")) //nolint:gosec // The path is made from a number.
	if err != nil {
		return sample{}, errors.WithStack(err)
	}
	busy, err := busyOf(stat)
	if err != nil {
		return sample{}, err
	}
	status, err := fields(filepath.Join(folder, "status"))
	if err != nil {
		return sample{}, err
	}
	moved, err := fields(filepath.Join(folder, "io"))
	if err != nil {
		return sample{}, err
	}
	return sample{at: now, busy: busy, resident: status["VmRSS"] * 1024, moved: moved["rchar"] + moved["wchar"]}, nil
}

// busyOf reads the processor time from a line of /proc/PID/stat. The program's
// name in it may hold spaces and ends at the last bracket.
func busyOf(stat []byte) (time.Duration, error) {
	parts := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(parts) <= systemField {
		return 0, errors.Wrap(chicoryrock.ErrInvalid, "short /proc/PID/stat")
	}
	sum := 0
	for _, field := range []int{userField, systemField} {
		ticks, err := strconv.Atoi(parts[field])
		if err != nil {
			return 0, errors.Wrap(chicoryrock.ErrInvalid, err.Error())
		}
		sum += ticks
	}
	return time.Duration(sum) * tick, nil
}

// fields reads the numbers of lines such as "VmRSS:  1234 kB".
func fields(path string) (map[string]float64, error) {
	text, err := os.ReadFile(path) //nolint:gosec // The path is made from a number.
	if err != nil {
		return nil, errors.WithStack(err)
	}
	numbers := make(map[string]float64)
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		parts := strings.Fields(rest)
		if len(parts) == 0 {
			continue
		}
		if number, err := strconv.ParseFloat(parts[0], 64); err == nil {
			numbers[name] = number
		}
	}
	return numbers, nil
}

// use is what a process used between two samples.
type use struct {
	core  float64 // share of a core, in percent
	bytes float64 // read and written a second
	megas float64 // resident at the end, MB
}

func between(a, b sample) use {
	span := b.at.Sub(a.at)
	return use{
		core:  100 * float64(b.busy-a.busy) / float64(span),
		bytes: (b.moved - a.moved) / span.Seconds(),
		megas: b.resident / megabyte,
	}
}

// takeAll samples processes one after the other.
func takeAll(processes []Process) ([]sample, error) {
	samples := make([]sample, len(processes))
	for i := range processes {
		var err error
		if samples[i], err = processes[i].take(time.Now()); err != nil {
			return nil, err
		}
	}
	return samples, nil
}

// taken returns when a process put a revision in force, by its log. Error:
// chicoryrock.ErrNotFound.
func (p *Process) taken(revision uint64) (time.Time, error) {
	text, err := os.ReadFile(filepath.Clean(p.Log))
	if err != nil {
		return time.Time{}, errors.WithStack(err)
	}
	for line := range bytes.Lines(text) {
		var entry struct {
			Time     time.Time `json:"time"`
			Event    int       `json:"event"`
			Revision uint64    `json:"revision"`
		}
		// Lines of another form are other events.
		if json.Unmarshal(line, &entry) == nil && entry.Event == event.ConfigTaken.Number && entry.Revision >= revision {
			return entry.Time, nil
		}
	}
	return time.Time{}, errors.WithStack(chicoryrock.ErrNotFound)
}
