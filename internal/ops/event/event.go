// Package event logs what happens as numbered events through zap. The catalogue
// of all events is docs/EVENTS.md.
package event

import (
	"io"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one kind of occurrence. Its number never changes its meaning.
type Event struct {
	Number int
	Level  zapcore.Level
	Text   string
}

// Log writes numbered events. It is safe for concurrent use.
type Log struct {
	Zap *zap.Logger
}

// New returns a Log that writes events of the level and above to writer, one
// JSON object a line. Bearer keys are taken out of every line.
func New(level zapcore.Level, writer io.Writer) *Log {
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		MessageKey:     "text",
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
		LineEnding:     zapcore.DefaultLineEnding,
	})
	sink := zapcore.Lock(zapcore.AddSync(&redactor{writer: writer}))
	return &Log{Zap: zap.New(zapcore.NewCore(encoder, sink, level))}
}

// NewNop returns a Log that writes nothing.
func NewNop() *Log { return &Log{Zap: zap.NewNop()} }

// maxCause is the longest text of an error, bytes. Some quote what came from outside.
const maxCause = 500

// Cause is the field of an error, without the stack that some errors carry: many
// lines a second are written of failed attempts.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	text := err.Error()
	if len(text) > maxCause {
		text = strings.ToValidUTF8(text[:maxCause], "") + "..."
	}
	return zap.String("error", text)
}

// Write logs one event with its fields.
func (l *Log) Write(event Event, fields ...zap.Field) {
	checked := l.Zap.Check(event.Level, event.Text)
	if checked == nil {
		return
	}
	// The number goes into a slice of its own: appending to the caller's could
	// write into memory that another goroutine shares.
	all := make([]zap.Field, 0, len(fields)+1)
	all = append(all, zap.Int("event", event.Number))
	checked.Write(append(all, fields...)...)
}
