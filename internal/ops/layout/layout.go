// Package layout writes the operators' reports, for programs and for a terminal.
package layout

import (
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// gap is the number of spaces between two columns.
const gap = 2

// JSON writes a report as one JSON object. Errors: those of w.
func JSON(w io.Writer, report any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(report), "write the report")
}

// Table writes a heading, an empty line and rows in columns. The rows have a tab
// between two columns, e.g. "POOL\tPAID\ngarland\t12.50\n". Errors: those of w.
func Table(w io.Writer, heading, rows string) error {
	var text strings.Builder
	text.WriteString(heading + "\n")
	if err := Columns(&text, rows); err != nil {
		return err
	}
	_, err := io.WriteString(w, text.String())
	return errors.Wrap(err, "write the report")
}

// Columns writes rows in columns, as Table does, without a heading. Errors: those
// of w.
func Columns(w io.Writer, rows string) error {
	table := tabwriter.NewWriter(w, 0, 0, gap, ' ', 0)
	if _, err := io.WriteString(table, rows); err != nil {
		return errors.Wrap(err, "lay out the report")
	}
	return errors.Wrap(table.Flush(), "lay out the report")
}
