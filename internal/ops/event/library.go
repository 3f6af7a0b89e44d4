package event

import (
	"fmt"
	"log"
	"strings"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/zap"
)

// Attach sends what go-zero logs through log, as the events 190 to 193, and
// turns its periodic statistics off. It acts on the whole process; call it once,
// before anything of go-zero is built.
func Attach(log *Log) error {
	// The first call of SetUp replaces the writer, and rest.NewServer calls it.
	// Calling it here first makes that later call do nothing.
	if err := logx.SetUp(logx.LogConf{Mode: "console", Level: "debug"}); err != nil {
		return errors.Wrap(err, "set up the log of go-zero")
	}
	logx.DisableStat()
	logx.SetWriter(&library{log: log})
	return nil
}

// DropCalls leaves out the lines that go-zero writes for each HTTP call. They cost
// time on the way of every request, and the events here say what matters of them.
func DropCalls() { logx.SetLevel(logx.SevereLevel) }

// Std returns a logger of the standard library that writes each line as an event
// LibraryWarn, for instance for http.Server.ErrorLog.
func (l *Log) Std() *log.Logger { return log.New(lineWriter{log: l}, "", 0) }

// lineWriter writes each line that it gets as one event.
type lineWriter struct {
	log *Log
}

// Write logs one line.
func (w lineWriter) Write(line []byte) (int, error) {
	w.log.Write(LibraryWarn, zap.String("message", strings.TrimSpace(string(line))))
	return len(line), nil
}

// library is a logx.Writer that writes to a Log.
type library struct {
	log *Log
}

func (l *library) write(event Event, message any, fields []logx.LogField) {
	inner := make([]zap.Field, 0, len(fields))
	for _, field := range fields {
		inner = append(inner, zap.Any(field.Key, field.Value))
	}
	// The library's fields stay below one name, so that they cannot pass for ours.
	l.log.Write(event, zap.String("message", fmt.Sprint(message)), zap.Dict("fields", inner...))
}

// Alert logs at the level error.
func (l *library) Alert(v any) { l.write(LibraryError, v, nil) }

// Close flushes the log.
func (l *library) Close() error { return l.log.Zap.Sync() }

// Debug logs at the level debug.
func (l *library) Debug(v any, fields ...logx.LogField) { l.write(LibraryDebug, v, fields) }

// Error logs at the level error.
func (l *library) Error(v any, fields ...logx.LogField) { l.write(LibraryError, v, fields) }

// Info logs at the level info.
func (l *library) Info(v any, fields ...logx.LogField) { l.write(LibraryInfo, v, fields) }

// Severe logs at the level error.
func (l *library) Severe(v any) { l.write(LibraryError, v, nil) }

// Slow logs at the level warn.
func (l *library) Slow(v any, fields ...logx.LogField) { l.write(LibraryWarn, v, fields) }

// Stack logs at the level error.
func (l *library) Stack(v any) { l.write(LibraryError, v, nil) }

// Stat logs at the level debug.
func (l *library) Stat(v any, fields ...logx.LogField) { l.write(LibraryDebug, v, fields) }
