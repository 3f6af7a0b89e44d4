// Package measure measures processes of the system that a script has started on
// this machine: added latency, memory and processor time, the spreading of the
// configuration, and the withdrawal of a key. It starts no process itself. Every
// run is bounded in calls and in time.
package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// longest bounds one measurement.
const longest = 85 * time.Second

// Measure is one measurement. Set the exported fields, then call Run.
type Measure struct {
	Fleet      *Fleet
	Workspaces int // in the configuration; each has two keys
	Ghosts     int // agents in the list of VMs beyond those that run
}

// Table is the result of a measurement.
type Table struct {
	Name string     `json:"name"`
	Head []string   `json:"head"`
	Rows [][]string `json:"rows"`
	Note string     `json:"note"`
}

// measures are the measurements by name.
var measures = map[string]func(context.Context, *Measure) (*Table, error){
	"latency":  measureLatency,
	"memory":   measureMemory,
	"config":   measureConfig,
	"withdraw": measureWithdraw,
}

// Run publishes a configuration and takes one measurement. Error:
// chicoryrock.ErrInvalid for an unknown name, and those of the measurement.
func (m *Measure) Run(ctx context.Context, name string) (*Table, error) {
	run, found := measures[name]
	if !found {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "no measurement %q", name)
	}
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	if err := m.prepare(ctx); err != nil {
		return nil, err
	}
	table, err := run(ctx, m)
	if err != nil {
		return nil, err
	}
	table.Name = name
	return table, nil
}

// Write prints the table, and then the same as one line of JSON.
func (t *Table) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, cells := range append([][]string{t.Head}, t.Rows...) {
		if _, err := fmt.Fprintln(table, strings.Join(cells, "\t")); err != nil {
			return errors.WithStack(err)
		}
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	if _, err := fmt.Fprintln(out, t.Note); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(json.NewEncoder(out).Encode(t))
}

func (t *Table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		switch value := cell.(type) {
		case float64:
			row[i] = fmt.Sprintf("%.2f", value)
		case time.Duration:
			row[i] = value.Round(time.Microsecond).String()
		default:
			row[i] = fmt.Sprint(value)
		}
	}
	t.Rows = append(t.Rows, row)
}

// median returns the middle value, or zero for none.
func median(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// slope returns the least-squares slope of y over x.
func slope(x, y []float64) float64 {
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	n := float64(len(x))
	return (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
}

// sleep returns the context's error when that ends first.
func sleep(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-timer.C:
		return nil
	}
}

// await polls every interval until done returns true. The last error of done
// explains a wait in vain.
func await(ctx context.Context, interval time.Duration, done func() (bool, error)) error {
	for {
		over, err := done()
		if over {
			return nil
		}
		if waitErr := sleep(ctx, interval); waitErr != nil {
			return errors.Wrapf(waitErr, "last: %v", err)
		}
	}
}
